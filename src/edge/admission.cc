#include "tamarackdrum/gateway/admission.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace tamarackdrum::gateway {
namespace {

namespace asio = boost::asio;

/// Part of a host's share of the retry budget that its fallback may use. Less
/// than 1 because load differs between hosts and the coordinator has used some
/// of the budget.
constexpr double FallbackRetryShare = 0.5;

} // namespace

const char *toText(AdmissionPlace Value) noexcept {
  switch (Value) {
  case AdmissionPlace::Here:
    return "here";
  case AdmissionPlace::Coordinator:
    return "coordinator";
  case AdmissionPlace::Fallback:
    return "fallback";
  }
  return "unknown";
}

Admission::Admission(asio::any_io_executor Executor, AdmissionPolicy Policy,
                     DispatchPolicy Shared, Roster &Hosts, EventLog &Log)
    : m_executor(std::move(Executor)), m_policy(Policy),
      m_dispatchPolicy(Shared), m_hosts(Hosts), m_log(Log),
      m_dispatchers(Shared,
                    [this](const std::string &, const DispatchDecision &Made) {
                      if (Made.m_id.m_link == 0)
                        resolve(Made.m_id.m_number, Made);
                      else
                        m_network->reply(Made.m_id.m_link,
                                         DecisionMessage{Made});
                    }),
      m_fallbackDispatchers(
          Shared, [this](const std::string &, const DispatchDecision &Made) {
            resolve(Made.m_id.m_number, Made);
          }) {}

DispatchPolicy Admission::fallbackPolicy() const {
  DispatchPolicy Out = m_dispatchPolicy;
  const double Share = 1.0 / static_cast<double>(m_hosts.hostCount());
  Out.m_slotShare = Share;
  Out.m_rateShare = Share;
  Out.m_retries.m_baseRetries *= Share * FallbackRetryShare;
  return Out;
}

asio::awaitable<AdmissionResult> Admission::acquire(std::string Service,
                                                    DispatchRequest Ask,
                                                    AdmissionHandle &Handle) {
  const std::uint32_t Number = ++m_lastNumber;
  const PendingRequestPtr Item = std::make_shared<PendingRequest>(m_executor);
  Ask.m_id = {0, Number};
  Ask.m_zone = m_hosts.self().m_zone;
  Item->m_service = std::move(Service);
  Item->m_ask = std::move(Ask);
  Item->m_decisionEvent.expires_after(Item->m_ask.m_timeLeft);
  m_pending[Number] = Item;
  Handle.m_number = Number;
  submit(Item);
  if (!Item->m_isDecided)
    co_await Item->m_decisionEvent.async_wait(
        asio::as_tuple(asio::use_awaitable));
  Handle.m_number = 0;
  if (!Item->m_isDecided)
    endUndecided(*Item);
  m_pending.erase(Number);
  AdmissionResult Out{Item->m_decision, Number, Item->m_place};
  if (!Out.m_decision.m_server.empty())
    m_running[Number] = {Item->m_service,
                         Out.m_decision.m_server,
                         Item->m_ask.m_route,
                         Item->m_place,
                         Item->m_link,
                         BootClock::now(),
                         Item->m_sentAt + Item->m_ask.m_timeLeft};
  co_return Out;
}

void Admission::endUndecided(PendingRequest &Item) {
  m_log.write("dispatch-undecided", {{"service", Item.m_service},
                                     {"number", Item.m_ask.m_id.m_number},
                                     {"place", toText(Item.m_place)},
                                     {"acknowledged", Item.m_isAcknowledged}});
  withdraw(Item);
  Item.m_isDecided = true;
  Item.m_decision = {Item.m_ask.m_id, "", RefusalReason::NoDecision,
                     m_dispatchPolicy.m_defaultRetryAfter};
}

void Admission::submit(const PendingRequestPtr &Item) {
  const auto Found = m_coordinators.find(Item->m_service);
  const TimePoint Now = BootClock::now();
  m_hosts.noteRunning(Now);
  Item->m_sentAt = Now;
  Item->m_link = 0;
  Item->m_isAcknowledged = false;
  if (Found != m_coordinators.end() && Found->second == m_hosts.self().m_name) {
    Item->m_place = AdmissionPlace::Here;
    Item->m_isAcknowledged = true;
    m_dispatchers.submit(Item->m_service, Item->m_ask, Now);
    return;
  }
  if (Found != m_coordinators.end() && m_hosts.isAlive(Found->second, Now)) {
    Item->m_place = AdmissionPlace::Coordinator;
    Item->m_link = m_network->send(
        Found->second, DispatchRequestMessage{Item->m_service, Item->m_ask});
    if (Item->m_link != 0)
      return;
  }
  submitToFallback(Item, "no coordinator");
}

void Admission::submitToFallback(const PendingRequestPtr &Item,
                                 std::string_view Reason) {
  if (Item->m_isDecided)
    return;
  m_log.writeRequest("dispatch-fallback",
                     {{"service", Item->m_service},
                      {"number", Item->m_ask.m_id.m_number},
                      {"reason", Reason}});
  if (Item->m_place == AdmissionPlace::Coordinator && Item->m_link != 0)
    withdraw(*Item);
  Item->m_place = AdmissionPlace::Fallback;
  Item->m_link = 0;
  Item->m_isAcknowledged = true;
  const TimePoint Now = BootClock::now();
  m_fallbackDispatchers.setPolicy(fallbackPolicy(), Now);
  m_fallbackDispatchers.submit(Item->m_service, Item->m_ask, Now);
}

void Admission::resolve(std::uint32_t Number, const DispatchDecision &Made) {
  const auto Found = m_pending.find(Number);
  if (Found == m_pending.end() || Found->second->m_isDecided)
    return;
  Found->second->m_isDecided = true;
  Found->second->m_decision = Made;
  Found->second->m_decisionEvent.cancel();
}

void Admission::cancel(AdmissionHandle &Handle) {
  const auto Found = m_pending.find(Handle.m_number);
  if (Handle.m_number == 0 || Found == m_pending.end() ||
      Found->second->m_isDecided)
    return;
  withdraw(*Found->second);
  resolve(Handle.m_number,
          {DispatchId{0, Handle.m_number}, "", RefusalReason::None, Millis(0)});
}

void Admission::withdraw(const PendingRequest &Item) {
  const DispatchId &Id = Item.m_ask.m_id;
  if (Item.m_place == AdmissionPlace::Here)
    m_dispatchers.withdraw(Item.m_service, Id);
  else if (Item.m_place == AdmissionPlace::Fallback)
    m_fallbackDispatchers.withdraw(Item.m_service, Id);
  else
    m_network->reply(Item.m_link, WithdrawMessage{Item.m_service, Id.m_number});
}

void Admission::finish(const std::string &Service, const AdmissionResult &Taken,
                       DispatchResult Outcome, Millis ServiceTime,
                       const AnswerReport &Report) {
  const auto Found = m_running.find(Taken.m_number);
  if (Found == m_running.end())
    return;
  const StartedDispatch Item = Found->second;
  m_running.erase(Found);
  const TimePoint Now = BootClock::now();
  const DispatchId Id{0, Taken.m_number};
  if (Report.m_limit)
    noteLimit(Item, *Report.m_limit);
  if (Report.m_coldLeft)
    noteColdTime(Item, *Report.m_coldLeft);
  if (Item.m_place == AdmissionPlace::Fallback)
    m_fallbackDispatchers.finish(Service, Id, Outcome, ServiceTime, Now,
                                 Report.m_load);
  // The dispatchers here may have adopted a dispatch of another coordinator.
  m_dispatchers.finish(Service, Id, Outcome, ServiceTime, Now, Report.m_load);
  // Keeps the service times known here in case this host becomes coordinator.
  if (Item.m_place == AdmissionPlace::Coordinator)
    m_dispatchers.recordOutcome(Service, Item.m_server, Item.m_route, Outcome,
                                ServiceTime, Now, Report.m_load);
  if (Item.m_place == AdmissionPlace::Fallback)
    return;
  const FinishMessage Message{Service, Taken.m_number, Outcome, ServiceTime,
                              Report};
  // A service that a configuration has dropped has no coordinator, but requests
  // may still wait for slots at its last one.
  const auto Known = m_coordinators.find(Service);
  const auto Last = m_lastCoordinators.find(Service);
  std::string Coordinator;
  if (Known != m_coordinators.end())
    Coordinator = Known->second;
  else if (Last != m_lastCoordinators.end())
    Coordinator = Last->second;
  if (!Coordinator.empty() && Coordinator != m_hosts.self().m_name)
    m_network->send(Coordinator, Message);
}

void Admission::setCoordinators(
    std::map<std::string, std::string> Coordinators) {
  if (Coordinators == m_coordinators)
    return;
  const std::map<std::string, std::string> Old =
      std::exchange(m_coordinators, std::move(Coordinators));
  for (const auto &[Service, Host] : Old)
    m_lastCoordinators[Service] = Host;
  for (const auto &[Service, Host] : m_coordinators) {
    const auto Before = Old.find(Service);
    if (Before != Old.end() && Before->second == Host)
      continue;
    m_log.write("coordinator",
                {{"service", Service},
                 {"is", Host},
                 {"was", Before == Old.end() ? "" : Before->second}});
    moveToCoordinator(Host, Service);
  }
}

void Admission::moveToCoordinator(const std::string &Host,
                                  const std::string &Service) {
  const TimePoint Now = BootClock::now();
  if (Host == m_hosts.self().m_name) {
    m_dispatchers.clearRunning(Service);
    for (const auto &[Number, Item] : m_running)
      if (Item.m_service == Service)
        m_dispatchers.addRunning(
            Service, {0, Number}, Item.m_server, Item.m_route,
            std::chrono::duration_cast<Millis>(Item.m_deadline - Now), Now);
  } else {
    m_network->send(Host,
                    RunningMessage{dispatchesCoordinatedBy(Host),
                                   limitsFor(Host), coldServersFor(Host)});
  }
  std::vector<PendingRequestPtr> Waiting;
  for (const auto &[Number, Item] : m_pending)
    if (Item->m_service == Service && !Item->m_isDecided &&
        Item->m_place != AdmissionPlace::Fallback)
      Waiting.push_back(Item);
  for (const PendingRequestPtr &Item : Waiting) {
    withdraw(*Item);
    const Millis Waited =
        std::chrono::duration_cast<Millis>(Now - Item->m_sentAt);
    Item->m_ask.m_timeLeft -= Waited;
    Item->m_ask.m_objectiveLeft =
        std::max(Millis(0), Item->m_ask.m_objectiveLeft - Waited);
    submit(Item);
  }
}

void Admission::setServers(const std::map<std::string, ServerEntry> &Servers) {
  const TimePoint Now = BootClock::now();
  m_dispatchers.setServers(Servers, Now);
  m_fallbackDispatchers.setServers(Servers, Now);
}

bool Admission::setKeyMap(const std::string &Service, const KeyMap &Map) {
  const auto Known = m_keyMaps.find(Service);
  if (Known != m_keyMaps.end() &&
      (Map.version() < Known->second.version() || Map == Known->second))
    return false;
  m_keyMaps[Service] = Map;
  const TimePoint Now = BootClock::now();
  m_dispatchers.setKeyMap(Service, Map, Now);
  m_fallbackDispatchers.setKeyMap(Service, Map, Now);
  return true;
}

bool Admission::changeKeyMap(const std::string &Service,
                             const KeyMapUpdate &Change) {
  const KeyMap &Known = keyMap(Service);
  if (Change.m_version <= Known.version())
    return true;
  const std::optional<KeyMap> Next = applyUpdate(Known, Change);
  if (!Next)
    return false;
  setKeyMap(Service, *Next);
  return true;
}

const KeyMap &Admission::keyMap(const std::string &Service) const {
  static const KeyMap None;
  const auto Found = m_keyMaps.find(Service);
  return Found == m_keyMaps.end() ? None : Found->second;
}

void Admission::setServices(const std::vector<std::string> &Names) {
  m_dispatchers.retain(Names);
  m_fallbackDispatchers.retain(Names);
}

void Admission::onRunning(std::uint32_t Link,
                          const std::vector<RunningDispatch> &Items,
                          const std::vector<ToldLimit> &Limits,
                          const std::vector<ToldCold> &Cold) {
  const TimePoint Now = BootClock::now();
  for (const ToldCold &Item : Cold)
    m_dispatchers.dispatcher(Item.m_service, Now)
        .adoptCold(Item.m_server, Item.m_left, Now);
  for (const ToldLimit &Item : Limits)
    logLimit(Item.m_service,
             m_dispatchers.dispatcher(Item.m_service, Now)
                 .adoptLimit(Item.m_server, Item.m_perSecond, Item.m_age, Now),
             "hand-over", Item.m_age);
  for (const RunningDispatch &Item : Items)
    m_dispatchers.addRunning(Item.m_service, {Link, Item.m_number},
                             Item.m_server, Item.m_route, Item.m_timeLeft, Now);
}

void Admission::onAsk(std::uint32_t Link, const std::string &Zone,
                      DispatchRequestMessage &Message) {
  Message.m_request.m_id.m_link = Link;
  Message.m_request.m_zone = Zone;
  if (m_dispatchers.submit(Message.m_service, Message.m_request,
                           BootClock::now()))
    m_network->reply(Link, QueuedMessage{Message.m_request.m_id.m_number});
}

void Admission::onQueued(std::uint32_t Link, std::uint32_t Number) {
  const auto Found = m_pending.find(Number);
  if (Found != m_pending.end() && Found->second->m_link == Link)
    Found->second->m_isAcknowledged = true;
}

void Admission::onDecision(std::uint32_t Link, const DispatchDecision &Made) {
  const std::uint32_t Number = Made.m_id.m_number;
  const auto Found = m_pending.find(Number);
  const bool IsWanted = Found != m_pending.end() &&
                        !Found->second->m_isDecided &&
                        Found->second->m_link == Link;
  if (IsWanted) {
    resolve(Number, Made);
    return;
  }
  // The request no longer waits for this decision: releases the slot.
  const auto Running = m_running.find(Number);
  if (!Made.m_server.empty() &&
      (Running == m_running.end() || Running->second.m_link != Link)) {
    const std::string Service =
        Found == m_pending.end() ? std::string() : Found->second->m_service;
    m_network->reply(Link,
                     FinishMessage{Service, Number, DispatchResult::Withdrawn,
                                   Millis(0), AnswerReport{}});
  }
}

void Admission::onFinish(std::uint32_t Link, const FinishMessage &Message) {
  const TimePoint Now = BootClock::now();
  const DispatchId Id{Link, Message.m_number};
  if (!Message.m_service.empty()) {
    if (Message.m_report.m_limit)
      logLimit(Message.m_service,
               m_dispatchers.noteLimit(Message.m_service, Id,
                                       *Message.m_report.m_limit, Now),
               "report");
    const auto Known = m_dispatchers.all().find(Message.m_service);
    if (Message.m_report.m_coldLeft && Known != m_dispatchers.all().end())
      Known->second->noteColdTime(Id, *Message.m_report.m_coldLeft, Now);
    m_dispatchers.finish(Message.m_service, Id, Message.m_result,
                         Message.m_serviceTime, Now, Message.m_report.m_load);
    return;
  }
  for (const auto &[Service, Item] : m_dispatchers.all())
    m_dispatchers.finish(Service, Id, Message.m_result, Message.m_serviceTime,
                         Now);
}

void Admission::onWithdraw(std::uint32_t Link, const WithdrawMessage &Message) {
  m_dispatchers.withdraw(Message.m_service, {Link, Message.m_number});
}

void Admission::onLinkDown(std::uint32_t Link) {
  m_dispatchers.dropLink(Link, BootClock::now());
  std::vector<PendingRequestPtr> Stranded;
  for (const auto &[Number, Item] : m_pending)
    if (Item->m_place == AdmissionPlace::Coordinator && Item->m_link == Link)
      Stranded.push_back(Item);
  for (const PendingRequestPtr &Item : Stranded)
    submitToFallback(Item, "link down");
}

std::vector<RunningDispatch>
Admission::dispatchesCoordinatedBy(const std::string &Host) const {
  std::vector<RunningDispatch> Out;
  const TimePoint Now = BootClock::now();
  for (const auto &[Number, Item] : m_running) {
    const auto Found = m_coordinators.find(Item.m_service);
    if (Found != m_coordinators.end() && Found->second == Host)
      Out.push_back(
          {Number, Item.m_service, Item.m_server, Item.m_route,
           std::chrono::duration_cast<Millis>(Item.m_deadline - Now)});
  }
  return Out;
}

void Admission::tick() {
  const TimePoint Now = BootClock::now();
  m_hosts.noteRunning(Now);
  const bool HasPaused =
      Now - std::exchange(m_tickedAt, Now) > m_policy.m_maxTickPause;
  const bool HadPaused = std::exchange(m_hasPaused, HasPaused);
  const bool IsFirstPause = HasPaused && !HadPaused;
  std::vector<PendingRequestPtr> Silent;
  for (const auto &[Number, Item] : m_pending) {
    if (Item->m_place != AdmissionPlace::Coordinator || Item->m_isDecided)
      continue;
    const auto Found = m_coordinators.find(Item->m_service);
    const bool IsDead =
        Found == m_coordinators.end() || !m_hosts.isAlive(Found->second, Now);
    if (IsDead || (!IsFirstPause && !Item->m_isAcknowledged &&
                   Now - Item->m_sentAt > m_policy.m_ackTimeout))
      Silent.push_back(Item);
  }
  for (const PendingRequestPtr &Item : Silent)
    submitToFallback(Item, "coordinator silent");
  updateRateShares();
  m_dispatchers.tick(Now);
  m_fallbackDispatchers.tick(Now);
  logColdChanges(Now);
}

} // namespace tamarackdrum::gateway

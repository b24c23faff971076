#include "tamarackdrum/gateway/dispatcher.h"

#include <algorithm>
#include <cmath>

namespace tamarackdrum::gateway {
namespace {

double toMs(BootClock::duration Span) {
  return std::chrono::duration<double, std::milli>(Span).count();
}

Millis fromMs(double Value) { return Millis(static_cast<std::int64_t>(Value)); }

/// Weight of a new outcome in the shares of refused and failed requests of a
/// server.
constexpr double OutcomeWeight = 0.15;
/// Time constant with which the mean service time of a server without new
/// samples returns to that of the service.
constexpr Millis EstimateDecayTime{4000};
/// Factor on the service time of a server that warms up and has no samples.
constexpr double WarmUpFactor = 2.0;
/// A request that has run for more than the mean service time multiplied by
/// this factor shows that its server has become slow.
constexpr double OverdueFactor = 1.5;
/// Bounds of a sample for the factor of a route: a single answer may be late
/// for reasons that have nothing to do with the route.
constexpr double MinRouteFactor = 0.05;
constexpr double MaxRouteFactor = 10.0;
/// Expected time until moving keys have a new holder: a release and a grant.
constexpr Millis KeyMoveTime{600};

/// Returns whether a request of a service without keys must not go to
/// \p Server.
bool isExcluded(const DispatchRequest &Request, const std::string &Server) {
  const bool IsTried =
      std::find(Request.m_triedServers.begin(), Request.m_triedServers.end(),
                Server) != Request.m_triedServers.end();
  return IsTried ||
         std::any_of(Request.m_backoffs.begin(), Request.m_backoffs.end(),
                     [&Server](const ServerBackoff &Item) {
                       return Item.m_server == Server;
                     });
}

} // namespace

const char *toText(RefusalReason Value) noexcept {
  switch (Value) {
  case RefusalReason::None:
    return "none";
  case RefusalReason::NoServer:
    return "no-server";
  case RefusalReason::Overloaded:
    return "overloaded";
  case RefusalReason::NoRetryBudget:
    return "no-retry-budget";
  case RefusalReason::ServerBackoff:
    return "server-rests";
  case RefusalReason::ServerLimit:
    return "server-limit";
  }
  return "unknown";
}

Dispatcher::Dispatcher(DispatchPolicy Policy)
    : m_policy(Policy), m_retries(Policy.m_retries),
      m_meanServiceMs(
          static_cast<double>(Policy.m_initialServiceTime.count())) {}

void Dispatcher::setPolicy(const DispatchPolicy &Policy, TimePoint Now) {
  setRateShare(Policy.m_rateShare, Now);
  m_policy = Policy;
  m_retries.setPolicy(Policy.m_retries);
}

std::size_t Dispatcher::slotsOf(const Server &Item) const {
  const double Slots = std::ceil(m_policy.m_slotShare * Item.m_entry.m_slots);
  return std::max<std::size_t>(1, static_cast<std::size_t>(Slots));
}

bool Dispatcher::hasFreeSlot(const Server &Item, TimePoint Now,
                             bool OthersWait) const {
  if (Item.m_entry.m_isDraining || Now < Item.m_pausedUntil)
    return false;
  const std::size_t Limit =
      slotsOf(Item) + (OthersWait ? overcommitOf(Item) : 0);
  // After a pause, one request at a time probes whether the server works again.
  if (Item.m_pause.count() > 0)
    return Item.m_runningCount == 0;
  return Item.m_runningCount < Limit;
}

bool Dispatcher::mayAssign(const Server &Item, TimePoint Now,
                           bool OthersWait) const {
  return hasFreeSlot(Item, Now, OthersWait) && Item.m_rateLimit.hasPermit(Now);
}

void Dispatcher::countIfHeldBack(Server &Item, TimePoint Now) const {
  if (!Item.m_rateLimit.hasPermit(Now) && hasFreeSlot(Item, Now, false))
    ++Item.m_heldBack;
}

std::size_t Dispatcher::overcommitOf(const Server &Item) const {
  const double Slots = static_cast<double>(slotsOf(Item));
  const double IdleShare =
      std::min(m_meanIdleMs / m_meanServiceMs, m_policy.m_maxOvercommitShare);
  return static_cast<std::size_t>(std::lround(Slots * IdleShare));
}

double Dispatcher::expectedServiceMs(const Server &Item, TimePoint Now) const {
  double Mean = m_meanServiceMs;
  if (Item.m_meanServiceMs > 0) {
    const double Age = toMs(Now - Item.m_lastSampleAt);
    const double Weight =
        std::exp(-Age / static_cast<double>(EstimateDecayTime.count()));
    Mean = Item.m_meanServiceMs * Weight + m_meanServiceMs * (1 - Weight);
  }
  if (Item.m_entry.m_warmUpLeft.count() > 0 && Item.m_meanServiceMs == 0)
    Mean *= WarmUpFactor;
  return Mean;
}

double Dispatcher::routeFactor(const std::string &Route) const {
  const auto Found = m_routeFactors.find(Route);
  return Found == m_routeFactors.end() ? 1.0 : Found->second;
}

double Dispatcher::slotRate(const Server &Item, TimePoint Now) const {
  if (Item.m_entry.m_isDraining || Now < Item.m_pausedUntil)
    return 0;
  return static_cast<double>(slotsOf(Item)) / expectedServiceMs(Item, Now) *
         (1 - Item.m_refusedShare);
}

double Dispatcher::serviceRate(const Server &Item, TimePoint Now) const {
  return std::min(slotRate(Item, Now), Item.m_rateLimit.ratePerMs());
}

double Dispatcher::serviceRate(TimePoint Now) const {
  double Rate = 0;
  for (const auto &[Id, Item] : m_servers)
    Rate += serviceRate(Item, Now);
  return Rate;
}

std::optional<TimePoint> Dispatcher::earliestPauseEnd() const {
  std::optional<TimePoint> Out;
  for (const auto &[Id, Item] : m_servers)
    if (!Item.m_entry.m_isDraining && (!Out || Item.m_pausedUntil < *Out))
      Out = Item.m_pausedUntil;
  return Out;
}

void Dispatcher::setServers(const std::vector<ServerEntry> &Servers,
                            TimePoint Now, DispatchDecisions &Out) {
  std::set<std::string> Known;
  for (const ServerEntry &Entry : Servers) {
    Known.insert(Entry.m_id);
    const auto [Found, IsNew] = m_servers.try_emplace(Entry.m_id);
    Server &Item = Found->second;
    if (IsNew || Item.m_entry.m_startMs != Entry.m_startMs) {
      const std::size_t Count = Item.m_runningCount;
      Item = Server{};
      Item.m_runningCount = Count;
      restoreLimit(Entry, Item, Now);
    }
    Item.m_entry = Entry;
  }
  for (auto Item = m_servers.begin(); Item != m_servers.end();) {
    if (Known.count(Item->first) > 0) {
      ++Item;
      continue;
    }
    keepLimit(Item->second, Now);
    Item = m_servers.erase(Item);
  }
  fillAllSlots(Now, Out);
}

void Dispatcher::setKeyMap(KeyMap Map, TimePoint Now, DispatchDecisions &Out) {
  m_isKeyed = true;
  if (Map.ranges() != m_keys.ranges())
    for (auto &[Id, Item] : m_servers)
      if (Item.m_lacksKey) {
        // The holders have changed: the next request probes the server.
        Item.m_lacksKey = false;
        Item.m_pause = Millis(0);
        Item.m_pausedUntil = {};
      }
  m_keys = std::move(Map);
  fillAllSlots(Now, Out);
}

Dispatcher::Choice Dispatcher::chooseServer(const DispatchRequest &Request,
                                            TimePoint Now) {
  if (m_isKeyed) {
    const auto Found =
        m_servers.find(m_keys.holderOf(Request.m_key.value_or(0)));
    if (Found == m_servers.end())
      return {nullptr, Now};
    countIfHeldBack(Found->second, Now);
    const bool MayAssign = mayAssign(Found->second, Now, false);
    return {MayAssign ? &Found->second : nullptr, Now};
  }
  Server *Best = nullptr;
  Server *BestInZone = nullptr;
  double BestCost = 0;
  double BestInZoneCost = 0;
  for (auto &[Id, Item] : m_servers) {
    if (isExcluded(Request, Id))
      continue;
    countIfHeldBack(Item, Now);
    if (!mayAssign(Item, Now, false))
      continue;
    const double SuccessShare =
        std::max(0.05, (1 - Item.m_refusedShare) * (1 - Item.m_failedShare));
    const double Cost =
        expectedServiceMs(Item, Now) / (SuccessShare * SuccessShare);
    if (Best == nullptr || Cost < BestCost) {
      Best = &Item;
      BestCost = Cost;
    }
    if (Item.m_entry.m_zone == Request.m_zone &&
        (BestInZone == nullptr || Cost < BestInZoneCost)) {
      BestInZone = &Item;
      BestInZoneCost = Cost;
    }
  }
  const bool IsZoneFastEnough =
      BestInZone != nullptr && BestInZoneCost * routeFactor(Request.m_route) *
                                       m_policy.m_zoneSafetyFactor <=
                                   toMs(Request.m_objectiveLeft);
  if (IsZoneFastEnough)
    return {BestInZone, Now};
  const TimePoint OwnZoneUntil = zoneWaitEnd(Request, Now);
  return {OwnZoneUntil > Now ? nullptr : Best, OwnZoneUntil};
}

TimePoint Dispatcher::zoneWaitEnd(const DispatchRequest &Request,
                                  TimePoint Now) const {
  double Rate = 0;
  double Fastest = 0;
  for (const auto &[Id, Item] : m_servers) {
    if (Item.m_entry.m_zone != Request.m_zone || Item.m_entry.m_isDraining ||
        Now < Item.m_pausedUntil || isExcluded(Request, Id))
      continue;
    const double Service = expectedServiceMs(Item, Now);
    Rate += serviceRate(Item, Now);
    Fastest = Fastest == 0 ? Service : std::min(Fastest, Service);
  }
  if (Rate <= 0)
    return Now;
  const auto Ahead = std::count_if(
      m_waiting.begin(), m_waiting.end(), [&Request](const Waiting &Item) {
        return !Item.m_isLate && Item.m_request.m_zone == Request.m_zone &&
               Item.m_request.m_priority <= Request.m_priority;
      });
  const double Objective = toMs(Request.m_objectiveLeft);
  const double MaxWait =
      std::min(Objective * m_policy.m_zoneWaitShare,
               Objective - Fastest * routeFactor(Request.m_route) *
                               m_policy.m_zoneSafetyFactor);
  if (static_cast<double>(Ahead + 1) / Rate > MaxWait)
    return Now;
  return Now + fromMs(MaxWait);
}

void Dispatcher::assign(const DispatchRequest &Request, Server &Target,
                        TimePoint Now, DispatchDecisions &Out) {
  ++Target.m_runningCount;
  Target.m_rateLimit.takePermit(Now);
  m_running[Request.m_id] = {Target.m_entry.m_id, Request.m_route, Now,
                             Now + Request.m_timeLeft + m_policy.m_reportGrace,
                             false};
  Out.push_back({Request.m_id, Target.m_entry.m_id, RefusalReason::None, {}});
}

void Dispatcher::refuse(const DispatchRequest &Request, RefusalReason Reason,
                        Millis RetryAfter, DispatchDecisions &Out) const {
  // A host that decides by itself has little of a limit, but only until a
  // coordinator decides again.
  if (Reason == RefusalReason::ServerLimit && m_policy.m_rateShare < 1)
    RetryAfter = std::min(RetryAfter, m_policy.m_defaultRetryAfter);
  Out.push_back({Request.m_id, "", Reason,
                 std::max(RetryAfter, m_policy.m_minRetryAfter)});
}

std::optional<Millis>
Dispatcher::remainingBackoff(const DispatchRequest &Request) const {
  std::optional<Millis> Out;
  for (const ServerBackoff &Item : Request.m_backoffs)
    if (!m_isKeyed ||
        m_keys.holderOf(Request.m_key.value_or(0)) == Item.m_server)
      Out = Out ? std::min(*Out, Item.m_remaining) : Item.m_remaining;
  if (m_isKeyed || !Out)
    return Out;
  const bool HasOther = std::any_of(
      m_servers.begin(), m_servers.end(), [&Request](const auto &Item) {
        return !Item.second.m_entry.m_isDraining &&
               !isExcluded(Request, Item.first);
      });
  return HasOther ? std::nullopt : Out;
}

void Dispatcher::submit(const DispatchRequest &Request, TimePoint Now,
                        DispatchDecisions &Out) {
  if (Request.m_key)
    m_keyLoad.countArrival(*Request.m_key, Now);
  if (const std::optional<Millis> Backoff = remainingBackoff(Request)) {
    refuse(Request, RefusalReason::ServerBackoff, *Backoff, Out);
    return;
  }
  if (!Request.m_isRetry) {
    m_retries.recordRequest(Now);
  } else if (!m_retries.tryAcquire(Now)) {
    // When the client sends the request again, it counts as a new one, which
    // finds a slot once the requests that wait now have been served.
    const WaitEstimate Expected = estimateWait(Request, Now);
    const Millis RetryAfter = Expected.m_ratePerMs > 0
                                  ? fromMs(Expected.waitMs(m_waiting.size()))
                                  : m_policy.m_defaultRetryAfter;
    refuse(Request, RefusalReason::NoRetryBudget, RetryAfter, Out);
    return;
  }
  if (m_servers.empty()) {
    refuse(Request, RefusalReason::NoServer, m_policy.m_defaultRetryAfter, Out);
    return;
  }
  usePermits(Now, Out);
  const Choice Chosen = chooseServer(Request, Now);
  if (Chosen.m_server != nullptr)
    assign(Request, *Chosen.m_server, Now, Out);
  else
    enqueue(Request, Chosen.m_ownZoneUntil, Now, Out);
}

Dispatcher::WaitEstimate
Dispatcher::estimateWait(const DispatchRequest &Request, TimePoint Now) const {
  WaitEstimate Out;
  const double Factor = routeFactor(Request.m_route);
  Out.m_serviceMs = m_meanServiceMs * Factor;
  if (!m_isKeyed) {
    Out.m_ratePerMs = serviceRate(Now);
    Out.m_isLimited = areAllLimited(Now);
    if (Out.m_ratePerMs > 0)
      return Out;
    // All servers are paused: wait for the first pause to end.
    const std::optional<TimePoint> PauseEnd = earliestPauseEnd();
    Out.m_pauseMs = PauseEnd ? std::max(0.0, toMs(*PauseEnd - Now)) : 0;
    Out.m_ratePerMs = PauseEnd ? 1 / m_meanServiceMs : 0;
    return Out;
  }
  const auto Holder =
      m_servers.find(m_keys.holderOf(Request.m_key.value_or(0)));
  if (Holder == m_servers.end()) {
    // The keys are moving. Different ranges go to different servers, so all of
    // them count.
    Out.m_pauseMs = toMs(KeyMoveTime);
    Out.m_ratePerMs = serviceRate(Now);
    return Out;
  }
  const double HolderMs = expectedServiceMs(Holder->second, Now);
  Out.m_serviceMs = HolderMs * Factor;
  Out.m_ratePerMs = static_cast<double>(slotsOf(Holder->second)) / HolderMs;
  if (Now < Holder->second.m_pausedUntil)
    Out.m_pauseMs = toMs(Holder->second.m_pausedUntil - Now);
  const RateLimit &Limit = Holder->second.m_rateLimit;
  if (Limit.ratePerMs() < Out.m_ratePerMs) {
    Out.m_isLimited = true;
    Out.m_ratePerMs = Limit.ratePerMs();
    // waitMs() adds the interval of one permit for the first request.
    Out.m_pauseMs =
        std::max(Out.m_pauseMs, Limit.msUntilPermit(Now)) - 1 / Out.m_ratePerMs;
  }
  return Out;
}

void Dispatcher::enqueue(const DispatchRequest &Request, TimePoint OwnZoneUntil,
                         TimePoint Now, DispatchDecisions &Out) {
  Waiting Item{Request,
               Now + std::min(Request.m_objectiveLeft, Request.m_timeLeft),
               Now + Request.m_timeLeft, OwnZoneUntil, false};
  const WaitEstimate Expected = estimateWait(Request, Now);
  if (Expected.m_ratePerMs <= 0) {
    refuse(Request, RefusalReason::NoServer, m_policy.m_defaultRetryAfter, Out);
    return;
  }
  std::size_t Ahead = 0;
  std::size_t All = 0;
  const std::string &Holder = m_keys.holderOf(Request.m_key.value_or(0));
  for (const Waiting &Other : m_waiting) {
    if (Other.m_request.m_priority > Request.m_priority)
      break;
    if (m_isKeyed &&
        m_keys.holderOf(Other.m_request.m_key.value_or(0)) != Holder)
      continue;
    ++All;
    if (!Other.m_isLate && (Other.m_request.m_priority < Request.m_priority ||
                            Other.m_objectiveAt <= Item.m_objectiveAt))
      ++Ahead;
  }
  // Permits are used in the order of arrival; see firstRequestFor().
  const double Wait = Expected.waitMs(Expected.m_isLimited ? All : Ahead);
  Item.m_isLate = Wait + Expected.m_serviceMs > toMs(Request.m_objectiveLeft);
  if (Item.m_isLate) {
    const double LateWait = Expected.waitMs(All);
    const bool MustNotWait = Expected.m_isLimited && All > 0;
    if (MustNotWait ||
        LateWait + Expected.m_serviceMs >
            toMs(Request.m_timeLeft) * m_policy.m_maxLateTimeShare) {
      refuseForWait(Request, Expected, LateWait, Now, Out);
      return;
    }
  }
  insertByPriority(std::move(Item));
}

void Dispatcher::insertByPriority(Waiting Item) {
  Queue::iterator Behind = m_waiting.end();
  while (Behind != m_waiting.begin() &&
         std::prev(Behind)->m_request.m_priority > Item.m_request.m_priority)
    --Behind;
  m_waiting.insert(Behind, std::move(Item));
}

bool Dispatcher::isEligible(const Waiting &Item, const Server &Target) const {
  const std::string &Id = Target.m_entry.m_id;
  if (m_isKeyed)
    return m_keys.holderOf(Item.m_request.m_key.value_or(0)) == Id;
  return !isExcluded(Item.m_request, Id);
}

Dispatcher::Queue::iterator Dispatcher::nextRequestFor(const Server &Target,
                                                       TimePoint Now) {
  if (m_isKeyed ? isLimitBound(Target, Now) : areAllLimited(Now))
    return firstRequestFor(Target, Now);
  const double MeanService = expectedServiceMs(Target, Now);
  const Queue::iterator None = m_waiting.end();
  std::size_t Count = 0;
  ObjectiveRange Urgent{None, None};
  ObjectiveRange OfZone{None, None};
  Queue::iterator Late = None;
  const auto HaveSamePriority = [](Queue::iterator A, Queue::iterator B) {
    return A->m_request.m_priority == B->m_request.m_priority;
  };
  for (Queue::iterator Item = m_waiting.begin(); Item != None; ++Item) {
    if (Urgent.m_earliest != None && !HaveSamePriority(Item, Urgent.m_earliest))
      break;
    if (!isEligible(*Item, Target))
      continue;
    ++Count;
    const bool IsOfZone = Item->m_request.m_zone == Target.m_entry.m_zone;
    const bool WaitsForOwnZone = !IsOfZone && Now < Item->m_ownZoneUntil;
    const double Factor = routeFactor(Item->m_request.m_route);
    const double Service = MeanService * Factor;
    if (WaitsForOwnZone ||
        toMs(Item->m_deadline - Now) < Service * m_policy.m_minTimeFactor)
      continue;
    markIfLate(*Item, std::min(Service, m_meanServiceMs * Factor), Now);
    if (Item->m_isLate) {
      if (Late == None ||
          (HaveSamePriority(Item, Late) && Item->m_deadline < Late->m_deadline))
        Late = Item;
      continue;
    }
    // Too slow on this server; a faster one can still serve it in time.
    if (toMs(Item->m_objectiveAt - Now) <
        Service * m_policy.m_minObjectiveFactor)
      continue;
    Urgent.add(Item, None);
    if (IsOfZone)
      OfZone.add(Item, None);
  }
  if (Urgent.m_earliest == None)
    return Late;
  // Under overload, serving in order makes each request miss its objective by a
  // little, while the newest one still has all of its time.
  const WaitEstimate Expected = estimateWait(Urgent.m_latest->m_request, Now);
  const double Share = m_isKeyed ? m_policy.m_keyedNewestFirstShare
                                 : m_policy.m_newestFirstShare;
  const bool IsOverloaded =
      Expected.m_ratePerMs > 0 &&
      Expected.waitMs(Count) + Expected.m_serviceMs >
          toMs(Urgent.m_latest->m_objectiveAt - Now) * Share;
  // Requests from other zones are considered only while the most urgent one of
  // the server's own zone can still wait.
  const bool CanWait =
      OfZone.m_earliest == None || Now < OfZone.m_earliest->m_ownZoneUntil;
  const ObjectiveRange &Chosen = m_isKeyed || CanWait ? Urgent : OfZone;
  return IsOverloaded ? Chosen.m_latest : Chosen.m_earliest;
}

void Dispatcher::markIfLate(Waiting &Item, double ServiceMs,
                            TimePoint Now) const {
  if (toMs(Item.m_objectiveAt - Now) <
      ServiceMs * m_policy.m_minObjectiveFactor)
    Item.m_isLate = true;
}

void Dispatcher::fillSlots(Server &Target, TimePoint Now,
                           DispatchDecisions &Out) {
  while (!m_waiting.empty() && mayAssign(Target, Now, true)) {
    const Queue::iterator Next = nextRequestFor(Target, Now);
    if (Next == m_waiting.end())
      return;
    assign(Next->m_request, Target, Now, Out);
    m_waiting.erase(Next);
  }
}

void Dispatcher::fillAllSlots(TimePoint Now, DispatchDecisions &Out) {
  if (m_waiting.empty())
    return;
  for (auto &[Id, Item] : m_servers)
    fillSlots(Item, Now, Out);
}

void Dispatcher::withdraw(const DispatchId &Id) {
  m_waiting.remove_if(
      [&Id](const Waiting &Item) { return Item.m_request.m_id == Id; });
}

Millis Dispatcher::notHeldPause() const {
  // Without a granter no grant is renewed: the server's other keys lapse, too.
  return m_keys.version() == 0 ? KeyMoveTime : m_policy.m_notHeldPause;
}

void Dispatcher::updateStatistics(Server &Item, const std::string &Route,
                                  DispatchResult Outcome, Millis ServiceTime,
                                  TimePoint Now) {
  const auto UpdateShare = [](double &Share, bool IsHit) {
    Share += OutcomeWeight * ((IsHit ? 1.0 : 0.0) - Share);
  };
  if (Outcome == DispatchResult::Withdrawn)
    return;
  Item.m_lacksKey = Outcome == DispatchResult::NotHeld;
  UpdateShare(Item.m_refusedShare, Outcome == DispatchResult::Refused);
  UpdateShare(Item.m_failedShare,
              Outcome == DispatchResult::Failed ||
                  Outcome == DispatchResult::ConnectionLost);
  const bool IsError = Outcome == DispatchResult::ConnectionLost ||
                       Outcome == DispatchResult::Unreachable ||
                       Outcome == DispatchResult::NotHeld;
  Item.m_consecutiveErrors = IsError ? Item.m_consecutiveErrors + 1 : 0;
  if (Outcome == DispatchResult::Unreachable ||
      Outcome == DispatchResult::NotHeld ||
      Item.m_consecutiveErrors >= m_policy.m_errorsBeforePause) {
    const Millis FirstPause = Outcome == DispatchResult::NotHeld
                                  ? notHeldPause()
                                  : m_policy.m_initialPause;
    Item.m_pause = Item.m_pause.count() == 0
                       ? FirstPause
                       : std::min(Item.m_pause * 2, m_policy.m_maxPause);
    Item.m_pausedUntil = Now + Item.m_pause;
  } else if (!IsError && Outcome != DispatchResult::TimedOut) {
    Item.m_pause = Millis(0);
  }
  const bool HasServiceTime = Outcome == DispatchResult::Served ||
                              Outcome == DispatchResult::TimedOut ||
                              Outcome == DispatchResult::Failed;
  if (!HasServiceTime)
    return;
  const double Sample = std::max<double>(1, toMs(ServiceTime));
  const double OldMean =
      Item.m_meanServiceMs > 0 ? Item.m_meanServiceMs : m_meanServiceMs;
  double &Factor = m_routeFactors.emplace(Route, 1.0).first->second;
  // A request that ended early would have taken longer.
  if (Outcome != DispatchResult::Served && Sample < OldMean * Factor)
    return;
  const double Ratio =
      std::clamp(Sample / OldMean, MinRouteFactor, MaxRouteFactor);
  Factor += m_policy.m_routeWeight * (Ratio - Factor);
  Item.m_meanServiceMs =
      OldMean + m_policy.m_serviceTimeWeight * (Sample - OldMean);
  Item.m_lastSampleAt = Now;
  m_meanServiceMs +=
      m_policy.m_serviceTimeWeight / 10 * (Sample - m_meanServiceMs);
}

void Dispatcher::finish(const DispatchId &Id, DispatchResult Outcome,
                        Millis ServiceTime, TimePoint Now,
                        DispatchDecisions &Out) {
  const auto Found = m_running.find(Id);
  if (Found == m_running.end())
    return;
  const auto Item = m_servers.find(Found->second.m_server);
  const std::string Route = std::move(Found->second.m_route);
  if (Outcome == DispatchResult::Served) {
    const double Idle = toMs(Now - Found->second.m_startedAt - ServiceTime);
    m_meanIdleMs +=
        m_policy.m_idleTimeWeight * (std::max(0.0, Idle) - m_meanIdleMs);
  }
  m_running.erase(Found);
  if (Item == m_servers.end())
    return;
  if (Item->second.m_runningCount > 0)
    --Item->second.m_runningCount;
  updateStatistics(Item->second, Route, Outcome, ServiceTime, Now);
  fillSlots(Item->second, Now, Out);
}

void Dispatcher::clearRunning() {
  m_running.clear();
  for (auto &[Id, Item] : m_servers)
    Item.m_runningCount = 0;
}

void Dispatcher::recordOutcome(const std::string &Server,
                               const std::string &Route, DispatchResult Outcome,
                               Millis ServiceTime, TimePoint Now) {
  const auto Found = m_servers.find(Server);
  if (Found != m_servers.end())
    updateStatistics(Found->second, Route, Outcome, ServiceTime, Now);
}

void Dispatcher::addRunning(const DispatchId &Id, const std::string &Server,
                            const std::string &Route, Millis TimeLeft,
                            TimePoint Now) {
  const Running Item{Server, Route, Now,
                     Now + TimeLeft + m_policy.m_reportGrace, true};
  if (!m_running.emplace(Id, Item).second)
    return;
  const auto Target = m_servers.find(Server);
  if (Target != m_servers.end())
    ++Target->second.m_runningCount;
}

void Dispatcher::dropLink(std::uint32_t Link, TimePoint Now) {
  m_waiting.remove_if([Link](const Waiting &Item) {
    return Item.m_request.m_id.m_link == Link;
  });
  for (auto &[Id, Item] : m_running)
    if (Id.m_link == Link)
      Item.m_expiresAt =
          std::min(Item.m_expiresAt, Now + fromMs(m_meanServiceMs * 2));
}

void Dispatcher::tick(TimePoint Now, DispatchDecisions &Out) {
  for (auto Item = m_running.begin(); Item != m_running.end();) {
    const auto Target = m_servers.find(Item->second.m_server);
    if (Now >= Item->second.m_expiresAt) {
      if (Target != m_servers.end() && Target->second.m_runningCount > 0)
        --Target->second.m_runningCount;
      Item = m_running.erase(Item);
      continue;
    }
    // The time of an unanswered request so far is a lower bound of its service
    // time.
    const double Elapsed = toMs(Now - Item->second.m_startedAt) /
                           routeFactor(Item->second.m_route);
    if (Target != m_servers.end() &&
        Elapsed > OverdueFactor * std::max(Target->second.m_meanServiceMs,
                                           m_meanServiceMs)) {
      Target->second.m_meanServiceMs = Elapsed / OverdueFactor;
      Target->second.m_lastSampleAt = Now;
    }
    ++Item;
  }
  refuseUnservable(Now, Out);
  fillAllSlots(Now, Out);
}

void Dispatcher::refuseUnservable(TimePoint Now, DispatchDecisions &Out) {
  // Requests that compete for the same slots share one estimate: all requests
  // of a service without keys, or those for the keys of one holder.
  struct SharedEstimate {
    WaitEstimate m_wait;
    double m_averageServiceMs = 0; ///< Of an average request.
    std::size_t m_ahead = 0;       ///< Requests that are served earlier.
  };
  std::map<std::string, SharedEstimate> Estimates;
  const auto EstimateFor = [&](const Waiting &Item) -> SharedEstimate & {
    const std::string &Holder =
        m_isKeyed ? m_keys.holderOf(Item.m_request.m_key.value_or(0))
                  : AllServers;
    const auto Found = Estimates.find(Holder);
    if (Found != Estimates.end())
      return Found->second;
    const WaitEstimate Expected = estimateWait(Item.m_request, Now);
    const double AverageMs =
        Expected.m_serviceMs / routeFactor(Item.m_request.m_route);
    return Estimates.emplace(Holder, SharedEstimate{Expected, AverageMs, 0})
        .first->second;
  };
  const auto ServiceMsOf = [this](const SharedEstimate &Estimate,
                                  const Waiting &Item) {
    return Estimate.m_averageServiceMs * routeFactor(Item.m_request.m_route);
  };
  for (Waiting &Item : m_waiting) {
    SharedEstimate &Estimate = EstimateFor(Item);
    markIfLate(Item, ServiceMsOf(Estimate, Item), Now);
    // Where limits hold, requests are served in the order of the queue.
    Estimate.m_ahead += Item.m_isLate || Estimate.m_wait.m_isLimited ? 0 : 1;
  }
  for (Queue::iterator Item = m_waiting.begin(); Item != m_waiting.end();) {
    SharedEstimate &Estimate = EstimateFor(*Item);
    const double Left = toMs(Item->m_deadline - Now);
    const double Service = ServiceMsOf(Estimate, *Item);
    const double Wait = Estimate.m_wait.m_ratePerMs > 0
                            ? Estimate.m_wait.waitMs(Estimate.m_ahead)
                            : toMs(m_policy.m_defaultRetryAfter);
    const bool IsUnservable = Left < Service * m_policy.m_minTimeFactor ||
                              (Item->m_isLate && Wait + Service > Left);
    if (!IsUnservable) {
      Estimate.m_ahead += Item->m_isLate || Estimate.m_wait.m_isLimited ? 1 : 0;
      ++Item;
      continue;
    }
    refuseForWait(Item->m_request, Estimate.m_wait, Wait, Now, Out);
    Item = m_waiting.erase(Item);
  }
}

double Dispatcher::capacityOf(const std::string &Server) const {
  const auto Found = m_servers.find(Server);
  if (Found == m_servers.end())
    return 0;
  const double Mean = Found->second.m_meanServiceMs > 0
                          ? Found->second.m_meanServiceMs
                          : m_meanServiceMs;
  const double Rate = static_cast<double>(slotsOf(Found->second)) * 1000 / Mean;
  const RateLimit &Limit = Found->second.m_rateLimit;
  return Limit.isLimited() ? std::min(Rate, Limit.perSecond()) : Rate;
}

std::vector<KeyRate> Dispatcher::keyDemand(TimePoint Now) {
  std::map<Key, double> ByKey;
  for (const KeyRate &Item : m_keyLoad.rates(Now))
    ByKey[Item.m_key] = Item.m_rate;
  const double RatePerRequest =
      1000.0 / static_cast<double>(m_policy.m_backlogDrainTime.count());
  for (const Waiting &Item : m_waiting)
    ByKey[Item.m_request.m_key.value_or(0)] += RatePerRequest;
  std::vector<KeyRate> Out;
  Out.reserve(ByKey.size());
  for (const auto &[Value, Rate] : ByKey)
    Out.push_back({Value, Rate});
  return Out;
}

std::size_t Dispatcher::waitingFor(const std::string &Server) const {
  return static_cast<std::size_t>(std::count_if(
      m_waiting.begin(), m_waiting.end(), [&](const Waiting &Item) {
        return m_keys.holderOf(Item.m_request.m_key.value_or(0)) == Server;
      }));
}

DispatchLoad Dispatcher::load() const {
  DispatchLoad Out{m_waiting.size(), m_running.size(), 0};
  for (const auto &[Id, Item] : m_servers)
    Out.m_slots += slotsOf(Item);
  return Out;
}

} // namespace tamarackdrum::gateway

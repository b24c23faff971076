#include "tamarackdrum/gateway/dispatcher.h"

#include <algorithm>
#include <cmath>

namespace tamarackdrum::gateway {
namespace {

double toMs(BootClock::duration Span) {
  return std::chrono::duration<double, std::milli>(Span).count();
}

Millis fromMs(double Value) { return Millis(static_cast<std::int64_t>(Value)); }

/// Weight of a new outcome in a server's shares of refusals and failures.
constexpr double OutcomeWeight = 0.15;
/// A server whose average is older than this drifts back to the service's.
constexpr Millis EstimateDecayTime{4000};
/// Added service time of a server that has just started, as a factor.
constexpr double WarmUpFactor = 2.0;
/// A running request that takes this many times the average shows that the
/// server has become slow.
constexpr double OverdueFactor = 1.5;
/// Bounds of a sample for the factor of a route: one answer may come late for
/// many reasons.
constexpr double MinRouteFactor = 0.05;
constexpr double MaxRouteFactor = 10.0;
/// Stands for all servers of an unkeyed service.
const std::string AllServers;
/// Expected time until moving keys have a new holder: a release and a grant.
constexpr Millis KeyMoveTime{600};

/// Returns whether \p Server is to be left out for one request of an unkeyed
/// service.
bool isExcluded(const DispatchRequest &Ask, const std::string &Server) {
  const bool IsTried =
      std::find(Ask.m_triedServers.begin(), Ask.m_triedServers.end(), Server) !=
      Ask.m_triedServers.end();
  return IsTried || std::any_of(Ask.m_backoffs.begin(), Ask.m_backoffs.end(),
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
  }
  return "unknown";
}

Dispatcher::Dispatcher(DispatchPolicy Policy)
    : m_policy(Policy), m_retries(Policy.m_retries),
      m_meanServiceMs(
          static_cast<double>(Policy.m_initialServiceTime.count())) {}

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
  // After a pause one request at a time shows whether the server is back.
  if (Item.m_pause.count() > 0)
    return Item.m_runningCount == 0;
  return Item.m_runningCount < Limit;
}

std::size_t Dispatcher::overcommitOf(const Server &Item) const {
  const double Slots = static_cast<double>(slotsOf(Item));
  const double IdleShare =
      std::min(m_meanIdleMs / m_meanServiceMs, m_policy.m_maxOvercommitShare);
  return static_cast<std::size_t>(std::lround(Slots * IdleShare));
}

double Dispatcher::expectedServiceMs(const Server &Item, TimePoint Now) const {
  double Own = m_meanServiceMs;
  if (Item.m_meanServiceMs > 0) {
    const double Age = toMs(Now - Item.m_lastSampleAt);
    const double Trust =
        std::exp(-Age / static_cast<double>(EstimateDecayTime.count()));
    Own = Item.m_meanServiceMs * Trust + m_meanServiceMs * (1 - Trust);
  }
  if (Item.m_entry.m_warmUpLeft.count() > 0 && Item.m_meanServiceMs == 0)
    Own *= WarmUpFactor;
  return Own;
}

double Dispatcher::routeFactor(const std::string &Route) const {
  const auto Found = m_routeFactors.find(Route);
  return Found == m_routeFactors.end() ? 1.0 : Found->second;
}

double Dispatcher::serviceRate(const Server &Item, TimePoint Now) const {
  if (Item.m_entry.m_isDraining || Now < Item.m_pausedUntil)
    return 0;
  return static_cast<double>(slotsOf(Item)) / expectedServiceMs(Item, Now) *
         (1 - Item.m_refusedShare);
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
    Server &Item = m_servers[Entry.m_id];
    if (Item.m_entry.m_startMs != Entry.m_startMs) {
      const std::size_t Count = Item.m_runningCount;
      Item = Server{};
      Item.m_runningCount = Count;
    }
    Item.m_entry = Entry;
  }
  for (auto Item = m_servers.begin(); Item != m_servers.end();)
    Item =
        Known.count(Item->first) > 0 ? std::next(Item) : m_servers.erase(Item);
  fillAllSlots(Now, Out);
}

void Dispatcher::setKeyMap(KeyMap Map, TimePoint Now, DispatchDecisions &Out) {
  m_isKeyed = true;
  if (Map.ranges() != m_keys.ranges())
    for (auto &[Id, Item] : m_servers)
      if (Item.m_lacksKey) {
        // The granter has changed something: the next request shows what.
        Item.m_lacksKey = false;
        Item.m_pause = Millis(0);
        Item.m_pausedUntil = {};
      }
  m_keys = std::move(Map);
  fillAllSlots(Now, Out);
}

Dispatcher::Choice Dispatcher::chooseServer(const DispatchRequest &Ask,
                                            TimePoint Now) {
  if (m_isKeyed) {
    const auto Found = m_servers.find(m_keys.holderOf(Ask.m_key.value_or(0)));
    const bool HasRoom =
        Found != m_servers.end() && hasFreeSlot(Found->second, Now, false);
    return {HasRoom ? &Found->second : nullptr, Now};
  }
  Server *Best = nullptr;
  Server *BestInZone = nullptr;
  double BestCost = 0;
  double BestInZoneCost = 0;
  for (auto &[Id, Item] : m_servers) {
    if (!hasFreeSlot(Item, Now, false) || isExcluded(Ask, Id))
      continue;
    const double Sound =
        std::max(0.05, (1 - Item.m_refusedShare) * (1 - Item.m_failedShare));
    const double Cost = expectedServiceMs(Item, Now) / (Sound * Sound);
    if (Best == nullptr || Cost < BestCost) {
      Best = &Item;
      BestCost = Cost;
    }
    if (Item.m_entry.m_zone == Ask.m_zone &&
        (BestInZone == nullptr || Cost < BestInZoneCost)) {
      BestInZone = &Item;
      BestInZoneCost = Cost;
    }
  }
  const bool IsZoneGood =
      BestInZone != nullptr &&
      BestInZoneCost * routeFactor(Ask.m_route) * m_policy.m_zoneSafetyFactor <=
          toMs(Ask.m_objectiveLeft);
  if (IsZoneGood)
    return {BestInZone, Now};
  const TimePoint ZoneUntil = zoneWaitEnd(Ask, Now);
  return {ZoneUntil > Now ? nullptr : Best, ZoneUntil};
}

TimePoint Dispatcher::zoneWaitEnd(const DispatchRequest &Ask,
                                  TimePoint Now) const {
  double Rate = 0;
  double Fastest = 0;
  for (const auto &[Id, Item] : m_servers) {
    if (Item.m_entry.m_zone != Ask.m_zone || Item.m_entry.m_isDraining ||
        Now < Item.m_pausedUntil || isExcluded(Ask, Id))
      continue;
    const double Service = expectedServiceMs(Item, Now);
    Rate += serviceRate(Item, Now);
    Fastest = Fastest == 0 ? Service : std::min(Fastest, Service);
  }
  if (Rate <= 0)
    return Now;
  const auto Ahead = std::count_if(
      m_waiting.begin(), m_waiting.end(), [&Ask](const Waiting &Item) {
        return !Item.m_isLate && Item.m_request.m_zone == Ask.m_zone &&
               Item.m_request.m_priority <= Ask.m_priority;
      });
  const double Objective = toMs(Ask.m_objectiveLeft);
  const double Longest =
      std::min(Objective * m_policy.m_zoneWaitShare,
               Objective - Fastest * routeFactor(Ask.m_route) *
                               m_policy.m_zoneSafetyFactor);
  if (static_cast<double>(Ahead + 1) / Rate > Longest)
    return Now;
  return Now + fromMs(Longest);
}

void Dispatcher::assign(const DispatchRequest &Ask, Server &Target,
                        TimePoint Now, DispatchDecisions &Out) {
  ++Target.m_runningCount;
  m_running[Ask.m_id] = {Target.m_entry.m_id, Ask.m_route, Now,
                         Now + Ask.m_timeLeft + m_policy.m_reportGrace};
  Out.push_back({Ask.m_id, Target.m_entry.m_id, RefusalReason::None, {}});
}

void Dispatcher::refuse(const DispatchRequest &Ask, RefusalReason Reason,
                        Millis RetryAfter, DispatchDecisions &Out) const {
  Out.push_back(
      {Ask.m_id, "", Reason, std::max(RetryAfter, m_policy.m_minRetryAfter)});
}

std::optional<Millis>
Dispatcher::remainingBackoff(const DispatchRequest &Ask) const {
  std::optional<Millis> Out;
  for (const ServerBackoff &Item : Ask.m_backoffs)
    if (!m_isKeyed || m_keys.holderOf(Ask.m_key.value_or(0)) == Item.m_server)
      Out = Out ? std::min(*Out, Item.m_remaining) : Item.m_remaining;
  if (m_isKeyed || !Out)
    return Out;
  const bool HasOther =
      std::any_of(m_servers.begin(), m_servers.end(), [&Ask](const auto &Item) {
        return !Item.second.m_entry.m_isDraining &&
               !isExcluded(Ask, Item.first);
      });
  return HasOther ? std::nullopt : Out;
}

void Dispatcher::submit(const DispatchRequest &Ask, TimePoint Now,
                        DispatchDecisions &Out) {
  if (Ask.m_key)
    m_keyLoad.countArrival(*Ask.m_key, Now);
  if (const std::optional<Millis> Rest = remainingBackoff(Ask)) {
    refuse(Ask, RefusalReason::ServerBackoff, *Rest, Out);
    return;
  }
  if (!Ask.m_isRetry) {
    m_retries.recordRequest(Now);
  } else if (!m_retries.tryAcquire(Now)) {
    // A return of the client is a request of its own, for which there is room
    // as soon as those that wait have been served.
    const WaitEstimate Expected = estimateWait(Ask, Now);
    const Millis RetryAfter = Expected.m_ratePerMs > 0
                                  ? fromMs(Expected.waitMs(m_waiting.size()))
                                  : m_policy.m_defaultRetryAfter;
    refuse(Ask, RefusalReason::NoRetryBudget, RetryAfter, Out);
    return;
  }
  if (m_servers.empty()) {
    refuse(Ask, RefusalReason::NoServer, m_policy.m_defaultRetryAfter, Out);
    return;
  }
  const Choice Made = chooseServer(Ask, Now);
  if (Made.m_server != nullptr)
    assign(Ask, *Made.m_server, Now, Out);
  else
    enqueue(Ask, Made.m_ownZoneUntil, Now, Out);
}

Dispatcher::WaitEstimate Dispatcher::estimateWait(const DispatchRequest &Ask,
                                                  TimePoint Now) const {
  WaitEstimate Out;
  const double Factor = routeFactor(Ask.m_route);
  Out.m_serviceMs = m_meanServiceMs * Factor;
  if (!m_isKeyed) {
    Out.m_ratePerMs = serviceRate(Now);
    if (Out.m_ratePerMs > 0)
      return Out;
    // All are paused: the first one that is back is worth waiting for.
    const std::optional<TimePoint> Back = earliestPauseEnd();
    Out.m_pauseMs = Back ? std::max(0.0, toMs(*Back - Now)) : 0;
    Out.m_ratePerMs = Back ? 1 / m_meanServiceMs : 0;
    return Out;
  }
  const auto Holder = m_servers.find(m_keys.holderOf(Ask.m_key.value_or(0)));
  if (Holder == m_servers.end()) {
    // Ranges that move go to different servers.
    Out.m_pauseMs = toMs(KeyMoveTime);
    Out.m_ratePerMs = serviceRate(Now);
    return Out;
  }
  const double HolderMs = expectedServiceMs(Holder->second, Now);
  Out.m_serviceMs = HolderMs * Factor;
  Out.m_ratePerMs = static_cast<double>(slotsOf(Holder->second)) / HolderMs;
  if (Now < Holder->second.m_pausedUntil)
    Out.m_pauseMs = toMs(Holder->second.m_pausedUntil - Now);
  return Out;
}

void Dispatcher::enqueue(const DispatchRequest &Ask, TimePoint ZoneUntil,
                         TimePoint Now, DispatchDecisions &Out) {
  Waiting Item{Ask, Now + std::min(Ask.m_objectiveLeft, Ask.m_timeLeft),
               Now + Ask.m_timeLeft, ZoneUntil, false};
  const WaitEstimate Expected = estimateWait(Ask, Now);
  if (Expected.m_ratePerMs <= 0) {
    refuse(Ask, RefusalReason::NoServer, m_policy.m_defaultRetryAfter, Out);
    return;
  }
  std::size_t Ahead = 0;
  std::size_t All = 0;
  const std::string &Holder = m_keys.holderOf(Ask.m_key.value_or(0));
  for (const Waiting &Other : m_waiting) {
    if (Other.m_request.m_priority > Ask.m_priority)
      break;
    if (m_isKeyed &&
        m_keys.holderOf(Other.m_request.m_key.value_or(0)) != Holder)
      continue;
    ++All;
    if (!Other.m_isLate && (Other.m_request.m_priority < Ask.m_priority ||
                            Other.m_objectiveAt <= Item.m_objectiveAt))
      ++Ahead;
  }
  const double Wait = Expected.waitMs(Ahead);
  Item.m_isLate = Wait + Expected.m_serviceMs > toMs(Ask.m_objectiveLeft);
  if (Item.m_isLate) {
    const double LateWait = Expected.waitMs(All);
    if (LateWait + Expected.m_serviceMs >
        toMs(Ask.m_timeLeft) * m_policy.m_maxLateTimeShare) {
      refuse(Ask, RefusalReason::Overloaded, fromMs(LateWait), Out);
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
  const double AnyService = expectedServiceMs(Target, Now);
  const Queue::iterator None = m_waiting.end();
  std::size_t Count = 0;
  ObjectiveRange Urgent{None, None};
  ObjectiveRange OfZone{None, None};
  Queue::iterator Late = None;
  const auto HasPriorityOf = [](Queue::iterator A, Queue::iterator B) {
    return A->m_request.m_priority == B->m_request.m_priority;
  };
  for (Queue::iterator Item = m_waiting.begin(); Item != None; ++Item) {
    if (Urgent.m_earliest != None && !HasPriorityOf(Item, Urgent.m_earliest))
      break;
    if (!isEligible(*Item, Target))
      continue;
    ++Count;
    const bool IsOfZone = Item->m_request.m_zone == Target.m_entry.m_zone;
    const bool IsKept = !IsOfZone && Now < Item->m_ownZoneUntil;
    const double Factor = routeFactor(Item->m_request.m_route);
    const double Service = AnyService * Factor;
    if (IsKept ||
        toMs(Item->m_deadline - Now) < Service * m_policy.m_minTimeFactor)
      continue;
    markIfLate(*Item, std::min(Service, m_meanServiceMs * Factor), Now);
    if (Item->m_isLate) {
      if (Late == None ||
          (HasPriorityOf(Item, Late) && Item->m_deadline < Late->m_deadline))
        Late = Item;
      continue;
    }
    // A faster server can still serve it in time.
    if (toMs(Item->m_objectiveAt - Now) <
        Service * m_policy.m_minObjectiveFactor)
      continue;
    Urgent.add(Item, None);
    if (IsOfZone)
      OfZone.add(Item, None);
  }
  if (Urgent.m_earliest == None)
    return Late;
  // Past capacity, serving in order makes each request miss its objective by a
  // little: the newest one still has all of its time.
  const WaitEstimate Expected = estimateWait(Urgent.m_latest->m_request, Now);
  const double Share = m_isKeyed ? m_policy.m_keyedNewestFirstShare
                                 : m_policy.m_newestFirstShare;
  const bool IsOver = Expected.m_ratePerMs > 0 &&
                      Expected.waitMs(Count) + Expected.m_serviceMs >
                          toMs(Urgent.m_latest->m_objectiveAt - Now) * Share;
  // One of another zone goes first only while the server's own can wait.
  const bool CanWait =
      OfZone.m_earliest == None || Now < OfZone.m_earliest->m_ownZoneUntil;
  const ObjectiveRange &Chosen = m_isKeyed || CanWait ? Urgent : OfZone;
  return IsOver ? Chosen.m_latest : Chosen.m_earliest;
}

void Dispatcher::markIfLate(Waiting &Item, double ServiceMs,
                            TimePoint Now) const {
  if (toMs(Item.m_objectiveAt - Now) <
      ServiceMs * m_policy.m_minObjectiveFactor)
    Item.m_isLate = true;
}

void Dispatcher::fillSlots(Server &Target, TimePoint Now,
                           DispatchDecisions &Out) {
  while (!m_waiting.empty() && hasFreeSlot(Target, Now, true)) {
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
  // Without a granter nobody renews: the server's other keys lapse, too.
  return m_keys.version() == 0 ? KeyMoveTime : m_policy.m_notHeldPause;
}

void Dispatcher::updateStatistics(Server &Item, const std::string &Route,
                                  DispatchResult Outcome, Millis ServiceTime,
                                  TimePoint Now) {
  const auto Move = [](double &Share, bool Hit) {
    Share += OutcomeWeight * ((Hit ? 1.0 : 0.0) - Share);
  };
  if (Outcome == DispatchResult::Withdrawn)
    return;
  Item.m_lacksKey = Outcome == DispatchResult::NotHeld;
  Move(Item.m_refusedShare, Outcome == DispatchResult::Refused);
  Move(Item.m_failedShare, Outcome == DispatchResult::Failed ||
                               Outcome == DispatchResult::ConnectionLost);
  const bool IsBroken = Outcome == DispatchResult::ConnectionLost ||
                        Outcome == DispatchResult::Unreachable ||
                        Outcome == DispatchResult::NotHeld;
  Item.m_consecutiveErrors = IsBroken ? Item.m_consecutiveErrors + 1 : 0;
  if (Outcome == DispatchResult::Unreachable ||
      Outcome == DispatchResult::NotHeld ||
      Item.m_consecutiveErrors >= m_policy.m_errorsBeforePause) {
    const Millis First = Outcome == DispatchResult::NotHeld
                             ? notHeldPause()
                             : m_policy.m_initialPause;
    Item.m_pause = Item.m_pause.count() == 0
                       ? First
                       : std::min(Item.m_pause * 2, m_policy.m_maxPause);
    Item.m_pausedUntil = Now + Item.m_pause;
  } else if (!IsBroken && Outcome != DispatchResult::TimedOut) {
    Item.m_pause = Millis(0);
  }
  const bool HasTime = Outcome == DispatchResult::Served ||
                       Outcome == DispatchResult::TimedOut ||
                       Outcome == DispatchResult::Failed;
  if (!HasTime)
    return;
  const double Sample = std::max<double>(1, toMs(ServiceTime));
  const double Old =
      Item.m_meanServiceMs > 0 ? Item.m_meanServiceMs : m_meanServiceMs;
  double &Factor = m_routeFactors.emplace(Route, 1.0).first->second;
  // Work that was ended early would have taken longer.
  if (Outcome != DispatchResult::Served && Sample < Old * Factor)
    return;
  const double Ratio = std::clamp(Sample / Old, MinRouteFactor, MaxRouteFactor);
  Factor += m_policy.m_routeWeight * (Ratio - Factor);
  Item.m_meanServiceMs = Old + m_policy.m_serviceTimeWeight * (Sample - Old);
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
                     Now + TimeLeft + m_policy.m_reportGrace};
  if (!m_running.emplace(Id, Item).second)
    return;
  const auto Owner = m_servers.find(Server);
  if (Owner != m_servers.end())
    ++Owner->second.m_runningCount;
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
    const auto Owner = m_servers.find(Item->second.m_server);
    if (Now >= Item->second.m_expiresAt) {
      if (Owner != m_servers.end() && Owner->second.m_runningCount > 0)
        --Owner->second.m_runningCount;
      Item = m_running.erase(Item);
      continue;
    }
    // An unanswered request is a lower bound of the server's service time.
    const double Elapsed = toMs(Now - Item->second.m_startedAt) /
                           routeFactor(Item->second.m_route);
    if (Owner != m_servers.end() &&
        Elapsed > OverdueFactor * std::max(Owner->second.m_meanServiceMs,
                                           m_meanServiceMs)) {
      Owner->second.m_meanServiceMs = Elapsed / OverdueFactor;
      Owner->second.m_lastSampleAt = Now;
    }
    ++Item;
  }
  refuseUnservable(Now, Out);
  fillAllSlots(Now, Out);
}

void Dispatcher::refuseUnservable(TimePoint Now, DispatchDecisions &Out) {
  // Requests that share servers share their turn: all of an unkeyed service,
  // or those of one holder.
  struct Share {
    WaitEstimate m_expected;
    double m_anyServiceMs = 0; ///< Of an average request.
    std::size_t m_before = 0;
  };
  std::map<std::string, Share> Shares;
  const auto Find = [&](const Waiting &Item) -> Share & {
    const std::string &Holder =
        m_isKeyed ? m_keys.holderOf(Item.m_request.m_key.value_or(0))
                  : AllServers;
    const auto Found = Shares.find(Holder);
    if (Found != Shares.end())
      return Found->second;
    const WaitEstimate Expected = estimateWait(Item.m_request, Now);
    const double AnyMs =
        Expected.m_serviceMs / routeFactor(Item.m_request.m_route);
    return Shares.emplace(Holder, Share{Expected, AnyMs, 0}).first->second;
  };
  const auto ServiceOf = [this](const Share &Own, const Waiting &Item) {
    return Own.m_anyServiceMs * routeFactor(Item.m_request.m_route);
  };
  for (Waiting &Item : m_waiting) {
    Share &Own = Find(Item);
    markIfLate(Item, ServiceOf(Own, Item), Now);
    Own.m_before += Item.m_isLate ? 0 : 1;
  }
  for (Queue::iterator Item = m_waiting.begin(); Item != m_waiting.end();) {
    Share &Own = Find(*Item);
    const double Left = toMs(Item->m_deadline - Now);
    const double Service = ServiceOf(Own, *Item);
    const double Wait = Own.m_expected.m_ratePerMs > 0
                            ? Own.m_expected.waitMs(Own.m_before)
                            : toMs(m_policy.m_defaultRetryAfter);
    const bool IsHopeless = Left < Service * m_policy.m_minTimeFactor ||
                            (Item->m_isLate && Wait + Service > Left);
    if (!IsHopeless) {
      Own.m_before += Item->m_isLate ? 1 : 0;
      ++Item;
      continue;
    }
    refuse(Item->m_request, RefusalReason::Overloaded, fromMs(Wait), Out);
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
  return static_cast<double>(slotsOf(Found->second)) * 1000.0 / Mean;
}

std::vector<KeyRate> Dispatcher::keyDemand(TimePoint Now) {
  std::map<Key, double> ByKey;
  for (const KeyRate &Item : m_keyLoad.rates(Now))
    ByKey[Item.m_key] = Item.m_rate;
  const double Each =
      1000.0 / static_cast<double>(m_policy.m_backlogDrainTime.count());
  for (const Waiting &Item : m_waiting)
    ByKey[Item.m_request.m_key.value_or(0)] += Each;
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

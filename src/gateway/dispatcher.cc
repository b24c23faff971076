#include "dispatcher-detail.h"

#include <algorithm>
#include <cmath>

namespace tamarackdrum::gateway {
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
  case RefusalReason::NoDecision:
    return "no-decision";
  }
  return "unknown";
}

Dispatcher::Dispatcher(DispatchPolicy Policy)
    : m_policy(Policy), m_retries(Policy.m_retries),
      m_meanServiceMs(
          static_cast<double>(Policy.m_initialServiceTime.count())) {}

void Dispatcher::setPolicy(const DispatchPolicy &Policy, TimePoint Now) {
  setRateShare(Policy.m_rateShare, Now);
  const bool HasNewBound = Policy.m_coldBound != m_policy.m_coldBound;
  m_policy = Policy;
  if (HasNewBound)
    for (auto &[Id, Item] : m_servers)
      setColdLimit(Item, Now);
  m_retries.setPolicy(Policy.m_retries);
}

std::size_t Dispatcher::slotsOf(const Server &Item) const {
  const double Slots = std::ceil(m_policy.m_slotShare * Item.m_entry.m_slots);
  return std::max<std::size_t>(1, static_cast<std::size_t>(Slots));
}

bool Dispatcher::hasFreeSlot(const Server &Item, TimePoint Now,
                             bool OthersWait) const {
  if (!mayGetRequests(Item.m_entry) || Now < Item.m_pausedUntil)
    return false;
  const std::size_t Limit =
      slotsOf(Item) + (OthersWait ? overcommitOf(Item, Now) : 0);
  // After a pause, one request at a time probes whether the server works again.
  if (Item.m_pause.count() > 0)
    return Item.m_runningCount == 0;
  return Item.m_runningCount < Limit;
}

bool Dispatcher::mayAssign(const Server &Item, TimePoint Now,
                           bool OthersWait) const {
  return hasFreeSlot(Item, Now, OthersWait) && hasPermit(Item, Now);
}

void Dispatcher::countIfHeldBack(Server &Item, TimePoint Now) const {
  if (!hasPermit(Item, Now) && hasFreeSlot(Item, Now, false))
    ++Item.m_heldBack;
}

void Dispatcher::setServers(const std::vector<ServerEntry> &Servers,
                            TimePoint Now, DispatchDecisions &Out) {
  m_now = Now;
  std::set<std::string> Known;
  for (const ServerEntry &Entry : Servers) {
    Known.insert(Entry.m_id);
    const auto [Found, IsNew] = m_servers.try_emplace(Entry.m_id);
    Server &Item = Found->second;
    bool MayBeCold = IsNew && m_hasServers;
    if (IsNew || Item.m_entry.m_startMs != Entry.m_startMs) {
      const std::size_t Count = Item.m_runningCount;
      MayBeCold = MayBeCold || !IsNew;
      Item = Server{};
      Item.m_runningCount = Count;
      restoreLimit(Entry, Item, Now);
    }
    MayBeCold =
        MayBeCold || (Item.m_entry.m_isEvacuated && !Entry.m_isEvacuated);
    updateCold(Entry, Item, MayBeCold, Now);
    Item.m_entry = Entry;
  }
  m_hasServers = m_hasServers || !Servers.empty();
  for (auto Item = m_servers.begin(); Item != m_servers.end();) {
    if (Known.count(Item->first) > 0) {
      ++Item;
      continue;
    }
    keepLimit(Item->second, Now);
    Item = m_servers.erase(Item);
  }
  releaseEvacuated(Now, Out);
  fillAllSlots(Now, Out);
}

void Dispatcher::setKeyMap(KeyMap Map, TimePoint Now, DispatchDecisions &Out) {
  m_isKeyed = true;
  const bool HasChanged = Map.ranges() != m_keys.ranges();
  if (HasChanged)
    for (auto &[Id, Item] : m_servers)
      if (Item.m_lacksKey) {
        // The holders have changed: the next request probes the server.
        Item.m_lacksKey = false;
        Item.m_pause = Millis(0);
        Item.m_pausedUntil = {};
      }
  m_keys = std::move(Map);
  if (HasChanged) {
    m_returns.setHolders(m_keys);
    sortByHolder();
  }
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
  // Those that are cold or slow at present come after all others.
  const auto RankOf = [this, Now](const Server &Item) {
    return std::make_pair(isCold(Item, Now) || Item.m_load.slowness(Now) > 1,
                          costOf(Item, Now));
  };
  Server *Best = nullptr;
  Server *BestInZone = nullptr;
  for (auto &[Id, Item] : m_servers) {
    if (isExcluded(Request, Id))
      continue;
    countIfHeldBack(Item, Now);
    if (!mayAssign(Item, Now, false))
      continue;
    if (Best == nullptr || RankOf(Item) < RankOf(*Best))
      Best = &Item;
    if (Item.m_entry.m_zone == Request.m_zone &&
        (BestInZone == nullptr || RankOf(Item) < RankOf(*BestInZone)))
      BestInZone = &Item;
  }
  // A server of the zone that comes after all others is no reason to spare
  // those of other zones.
  if (BestInZone != nullptr && RankOf(*BestInZone).first &&
      !RankOf(*Best).first)
    BestInZone = nullptr;
  const double BestInZoneCost =
      BestInZone == nullptr ? 0 : costOf(*BestInZone, Now);
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
    if (Item.m_entry.m_zone != Request.m_zone ||
        !mayGetRequests(Item.m_entry) || Now < Item.m_pausedUntil ||
        isExcluded(Request, Id))
      continue;
    const double Service = expectedServiceMs(Item, Now);
    Rate += serviceRate(Item, Now);
    Fastest = Fastest == 0 ? Service : std::min(Fastest, Service);
  }
  if (Rate <= 0)
    return Now;
  std::ptrdiff_t Ahead = 0;
  for (const auto &[Name, Own] : m_waiting)
    Ahead +=
        std::count_if(Own.begin(), Own.end(), [&Request](const Waiting &Item) {
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
  takePermit(Target, Now);
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
        return mayGetRequests(Item.second.m_entry) &&
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
                                  ? fromMs(Expected.waitMs(waitingCount()))
                                  : m_policy.m_defaultRetryAfter;
    refuse(Request, RefusalReason::NoRetryBudget, RetryAfter, Out);
    return;
  }
  if (m_servers.empty() || areAllEvacuated(Request)) {
    refuse(Request, RefusalReason::NoServer, m_policy.m_defaultRetryAfter, Out);
    return;
  }
  usePermits(Now, Out);
  const Choice Chosen = chooseServer(Request, Now);
  if (Chosen.m_server == nullptr) {
    enqueue(Request, Chosen.m_ownZoneUntil, Now, Out);
    return;
  }
  // A free slot serves a caller that returns without its place.
  if (m_isKeyed)
    m_returns.take(callerOf(Request, Now), m_policy.m_returns, Now);
  assign(Request, *Chosen.m_server, Now, Out);
}

void Dispatcher::withdraw(const DispatchId &Id) {
  removeWaiting(
      [&Id](const Waiting &Item) { return Item.m_request.m_id == Id; });
}

void Dispatcher::finish(const DispatchId &Id, DispatchResult Outcome,
                        Millis ServiceTime, TimePoint Now,
                        DispatchDecisions &Out,
                        const std::optional<ReportedLoad> &Load) {
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
  if (countsForServer(Item->second, Id.m_link, Outcome, Now))
    updateStatistics(Item->second, Route, Outcome, ServiceTime, Load, Now);
  fillSlots(Item->second, Now, Out);
}

void Dispatcher::clearRunning() {
  m_running.clear();
  for (auto &[Id, Item] : m_servers)
    Item.m_runningCount = 0;
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
  removeWaiting([Link](const Waiting &Item) {
    return Item.m_request.m_id.m_link == Link;
  });
  for (auto &[Id, Item] : m_running)
    if (Id.m_link == Link)
      Item.m_expiresAt =
          std::min(Item.m_expiresAt, Now + fromMs(m_meanServiceMs * 2));
}

void Dispatcher::tick(TimePoint Now, DispatchDecisions &Out) {
  m_now = Now;
  for (auto Item = m_running.begin(); Item != m_running.end();) {
    const auto Target = m_servers.find(Item->second.m_server);
    if (Now >= Item->second.m_expiresAt) {
      if (Target != m_servers.end() && Target->second.m_runningCount > 0)
        --Target->second.m_runningCount;
      Item = m_running.erase(Item);
      continue;
    }
    ++Item;
  }
  markOverdueServers(Now);
  m_returns.dropLapsed(m_policy.m_returns, Now);
  refuseUnservable(Now, Out);
  fillAllSlots(Now, Out);
}

} // namespace tamarackdrum::gateway

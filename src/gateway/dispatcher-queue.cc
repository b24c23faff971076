// The part of Dispatcher that queues, orders and refuses waiting requests.

#include "dispatcher-detail.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace tamarackdrum::gateway {
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
  if (Holder == m_servers.end() || Holder->second.m_entry.m_isEvacuated) {
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
  const double LimitRate = limitRate(Holder->second, Now);
  if (LimitRate < Out.m_ratePerMs) {
    Out.m_isLimited = true;
    if (Holder->second.m_rateLimit.ratePerMs() >= Out.m_ratePerMs) {
      Out.m_limitEndMs = toMs(Holder->second.m_cold.timeLeft(Now));
      Out.m_rateAfterPerMs = Out.m_ratePerMs;
    }
    Out.m_ratePerMs = LimitRate;
    // waitMs() adds the interval of one permit for the first request.
    Out.m_pauseMs =
        std::max(Out.m_pauseMs, msUntilPermit(Holder->second, Now)) -
        1 / Out.m_ratePerMs;
  }
  return Out;
}

void Dispatcher::enqueue(const DispatchRequest &Request, TimePoint OwnZoneUntil,
                         TimePoint Now, DispatchDecisions &Out) {
  Waiting Item{Request,
               Now + std::min(Request.m_objectiveLeft, Request.m_timeLeft),
               Now + Request.m_timeLeft,
               OwnZoneUntil,
               false,
               false};
  if (m_isKeyed)
    Item.m_hasPlace =
        m_returns.take(callerOf(Item.m_request, Now), m_policy.m_returns, Now);
  const WaitEstimate Expected = estimateWait(Request, Now);
  if (Expected.m_ratePerMs <= 0) {
    refuse(Request, RefusalReason::NoServer, m_policy.m_defaultRetryAfter, Out);
    return;
  }
  std::size_t Ahead = 0;
  std::size_t All = 0;
  static const Queue None;
  const auto Found = m_waiting.find(queueOf(Request));
  for (const Waiting &Other : Found == m_waiting.end() ? None : Found->second) {
    ++m_looks;
    if (Other.m_request.m_priority > Request.m_priority)
      break;
    // Those that return to a place go first within their priority.
    const bool IsBehind = Item.m_hasPlace && !Other.m_hasPlace &&
                          Other.m_request.m_priority == Request.m_priority;
    if (IsBehind)
      continue;
    ++All;
    if (!Other.m_isLate && (Other.m_request.m_priority < Request.m_priority ||
                            Other.m_objectiveAt <= Item.m_objectiveAt))
      ++Ahead;
  }
  if (m_isKeyed && !Expected.m_isLimited && !Item.m_hasPlace) {
    Ahead = aheadWithReturns(Item, Ahead, Expected, Now);
    All = aheadWithReturns(Item, All, Expected, Now);
  }
  // Permits are used in the order of arrival; see firstRequestFor().
  const double Wait = Expected.waitMs(Expected.m_isLimited ? All : Ahead);
  Item.m_isLate = Wait + Expected.m_serviceMs > toMs(Request.m_objectiveLeft);
  if (Item.m_isLate) {
    const double LateWait = Expected.waitMs(All);
    const bool MustNotWait = Expected.m_isLimited && All > 0;
    const double MaxShare = Item.m_hasPlace ? 1 : m_policy.m_maxLateTimeShare;
    if (MustNotWait ||
        LateWait + Expected.m_serviceMs > toMs(Request.m_timeLeft) * MaxShare) {
      refuseForWait(Item, Expected, LateWait, Now, Out);
      return;
    }
  }
  Item.m_arrival = ++m_lastArrival;
  insertInOrder(std::move(Item));
}

std::size_t Dispatcher::aheadWithReturns(const Waiting &Item, std::size_t Ahead,
                                         const WaitEstimate &Expected,
                                         TimePoint Now) const {
  const std::string &Holder = m_keys.holderOf(Item.m_request.m_key.value_or(0));
  const TimePoint Until = Now + fromMs(Expected.waitMs(Ahead));
  return Ahead + m_returns.dueUntil(Holder, Until, Item.m_request.m_priority);
}

Millis Dispatcher::returnTime(const Waiting &Item, const WaitEstimate &Expected,
                              double WaitMs, TimePoint Now) {
  const Caller Who{Item.m_request.m_key.value_or(0), Item.m_request.m_route,
                   Item.m_request.m_priority, Item.m_objectiveAt,
                   Item.m_deadline};
  const std::optional<TimePoint> Due = m_returns.give(
      m_keys.holderOf(Who.m_key), Who, Expected.m_ratePerMs,
      Now + fromMs(std::max(0.0, Expected.m_pauseMs)), m_policy.m_returns, Now);
  return Due ? std::chrono::duration_cast<Millis>(*Due - Now) : fromMs(WaitMs);
}

const std::string &Dispatcher::queueOf(const DispatchRequest &Request) const {
  return m_isKeyed ? m_keys.holderOf(Request.m_key.value_or(0)) : AllServers;
}

std::size_t Dispatcher::waitingCount() const {
  std::size_t Out = 0;
  for (const auto &[Name, Own] : m_waiting)
    Out += Own.size();
  return Out;
}

void Dispatcher::removeWaiting(
    const std::function<bool(const Waiting &)> &Condition) {
  for (auto &[Name, Own] : m_waiting)
    Own.remove_if(Condition);
  std::erase_if(m_waiting,
                [](const auto &Item) { return Item.second.empty(); });
}

void Dispatcher::sortByHolder() {
  Queue Moved;
  for (auto &[Name, Own] : m_waiting)
    for (Queue::iterator Item = Own.begin(); Item != Own.end();) {
      const Queue::iterator Current = Item++;
      if (queueOf(Current->m_request) != Name)
        Moved.splice(Moved.end(), Own, Current);
    }
  for (Waiting &Item : Moved)
    insertInOrder(std::move(Item));
  std::erase_if(m_waiting,
                [](const auto &Item) { return Item.second.empty(); });
}

void Dispatcher::insertInOrder(Waiting Item) {
  const auto GoesBefore = [](const Waiting &A, const Waiting &B) {
    return std::tie(A.m_request.m_priority, A.m_arrival) <
           std::tie(B.m_request.m_priority, B.m_arrival);
  };
  Queue &Own = m_waiting[queueOf(Item.m_request)];
  Queue::iterator Behind = Own.end();
  while (Behind != Own.begin() && GoesBefore(Item, *std::prev(Behind)))
    --Behind;
  Own.insert(Behind, std::move(Item));
}

bool Dispatcher::mayRun(const Waiting &Item, const Server &Target) const {
  return m_isKeyed || !isExcluded(Item.m_request, Target.m_entry.m_id);
}

Dispatcher::Queue::iterator
Dispatcher::nextRequestFor(Queue &Own, const Server &Target, TimePoint Now) {
  if (m_isKeyed ? isLimitBound(Target, Now) : areAllLimited(Now))
    return firstRequestFor(Own, Target, Now);
  const double MeanService = expectedServiceMs(Target, Now);
  const Queue::iterator None = Own.end();
  std::size_t Count = 0;
  ObjectiveRange Urgent{None, None};
  ObjectiveRange OfZone{None, None};
  Queue::iterator Late = None;
  Queue::iterator Placed = None;
  const auto HaveSamePriority = [](Queue::iterator A, Queue::iterator B) {
    return A->m_request.m_priority == B->m_request.m_priority;
  };
  for (Queue::iterator Item = Own.begin(); Item != None; ++Item) {
    ++m_looks;
    if (Urgent.m_earliest != None && !HaveSamePriority(Item, Urgent.m_earliest))
      break;
    if (Placed != None && !HaveSamePriority(Item, Placed))
      break;
    if (!mayRun(*Item, Target))
      continue;
    ++Count;
    const bool IsOfZone = Item->m_request.m_zone == Target.m_entry.m_zone;
    const bool WaitsForOwnZone = !IsOfZone && Now < Item->m_ownZoneUntil;
    const double Factor = routeFactor(Item->m_request.m_route);
    const double Service = MeanService * Factor;
    if (WaitsForOwnZone ||
        toMs(Item->m_deadline - Now) < Service * m_policy.m_minTimeFactor)
      continue;
    if (Item->m_hasPlace && Placed == None)
      Placed = Item;
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
  if (Placed != None && (Urgent.m_earliest == None ||
                         HaveSamePriority(Urgent.m_earliest, Placed)))
    return Placed;
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
  const auto Found =
      m_waiting.find(m_isKeyed ? Target.m_entry.m_id : AllServers);
  if (Found == m_waiting.end())
    return;
  Queue &Own = Found->second;
  while (!Own.empty() && mayAssign(Target, Now, true)) {
    const Queue::iterator Next = nextRequestFor(Own, Target, Now);
    if (Next == Own.end())
      return;
    assign(Next->m_request, Target, Now, Out);
    Own.erase(Next);
  }
  if (Own.empty())
    m_waiting.erase(Found);
}

void Dispatcher::fillAllSlots(TimePoint Now, DispatchDecisions &Out) {
  if (m_waiting.empty())
    return;
  if (!m_isKeyed) {
    for (auto &[Id, Item] : m_servers)
      fillSlots(Item, Now, Out);
    return;
  }
  for (auto Item = m_waiting.begin(); Item != m_waiting.end();) {
    const auto Holder = m_servers.find(Item->first);
    ++Item; // fillSlots() may remove the queue.
    if (Holder != m_servers.end())
      fillSlots(Holder->second, Now, Out);
  }
}

void Dispatcher::refuseUnservable(TimePoint Now, DispatchDecisions &Out) {
  for (auto &[Name, Own] : m_waiting)
    refuseUnservable(Own, Now, Out);
  std::erase_if(m_waiting,
                [](const auto &Item) { return Item.second.empty(); });
}

void Dispatcher::refuseUnservable(Queue &Own, TimePoint Now,
                                  DispatchDecisions &Out) {
  // The requests of a queue compete for the same slots and share an estimate.
  const DispatchRequest &First = Own.front().m_request;
  const WaitEstimate Expected = estimateWait(First, Now);
  const double AverageMs = Expected.m_serviceMs / routeFactor(First.m_route);
  std::size_t Ahead = 0; // Requests that are served earlier.
  for (Waiting &Item : Own) {
    ++m_looks;
    markIfLate(Item, AverageMs * routeFactor(Item.m_request.m_route), Now);
    // Where limits hold, requests are served in the order of the queue.
    Ahead += Item.m_isLate || Expected.m_isLimited ? 0 : 1;
  }
  for (Queue::iterator Item = Own.begin(); Item != Own.end();) {
    ++m_looks;
    const double Left = toMs(Item->m_deadline - Now);
    const double Service = AverageMs * routeFactor(Item->m_request.m_route);
    const double Wait = Expected.m_ratePerMs > 0
                            ? Expected.waitMs(Ahead)
                            : toMs(m_policy.m_defaultRetryAfter);
    const bool IsUnservable = Left < Service * m_policy.m_minTimeFactor ||
                              (Item->m_isLate && Wait + Service > Left);
    if (!IsUnservable) {
      Ahead += Item->m_isLate || Expected.m_isLimited ? 1 : 0;
      ++Item;
      continue;
    }
    refuseForWait(*Item, Expected, Wait, Now, Out);
    Item = Own.erase(Item);
  }
}

std::vector<KeyRate> Dispatcher::keyDemand(TimePoint Now) {
  std::map<Key, double> ByKey;
  for (const KeyRate &Item : m_keyLoad.rates(Now))
    ByKey[Item.m_key] = Item.m_rate;
  const double RatePerRequest =
      1000.0 / static_cast<double>(m_policy.m_backlogDrainTime.count());
  for (const auto &[Name, Own] : m_waiting)
    for (const Waiting &Item : Own)
      ByKey[Item.m_request.m_key.value_or(0)] += RatePerRequest;
  std::vector<KeyRate> Out;
  Out.reserve(ByKey.size());
  for (const auto &[Value, Rate] : ByKey)
    Out.push_back({Value, Rate});
  return Out;
}

std::size_t Dispatcher::waitingFor(const std::string &Server) const {
  const auto Found = m_waiting.find(Server);
  return Found == m_waiting.end() ? 0 : Found->second.size();
}

} // namespace tamarackdrum::gateway

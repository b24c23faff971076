// The part of Dispatcher that estimates service times and pauses servers.

#include "dispatcher-detail.h"

#include <algorithm>
#include <cmath>

namespace tamarackdrum::gateway {
namespace {

/// Weight of a new outcome in the shares of refused and failed requests of a
/// server.
constexpr double OutcomeWeight = 0.15;
/// Time constant with which the mean service time of a server without new
/// samples returns to that of the service.
constexpr Millis EstimateDecayTime{4000};
/// Factor on the service time of a server that warms up and has no samples.
constexpr double WarmUpFactor = 2.0;
/// A request that has run for more than the mean service time multiplied by
/// this factor is overdue.
constexpr double OverdueFactor = 1.5;
/// Bounds of a sample for the factor of a route: a single answer may be late
/// for reasons that have nothing to do with the route.
constexpr double MinRouteFactor = 0.05;
constexpr double MaxRouteFactor = 10.0;

} // namespace

std::size_t Dispatcher::overcommitOf(const Server &Item, TimePoint Now) const {
  const std::size_t Waiting =
      Item.m_runningCount - std::min(Item.m_runningCount, slotsOf(Item));
  if (Item.m_load.isOverfilled(Waiting, Now))
    return 0;
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

double Dispatcher::costOf(const Server &Item, TimePoint Now) const {
  const double SuccessShare =
      std::max(0.05, (1 - Item.m_refusedShare) * (1 - Item.m_failedShare));
  return expectedServiceMs(Item, Now) * Item.m_load.slowness(Now) /
         (SuccessShare * SuccessShare);
}

double Dispatcher::routeFactor(const std::string &Route) const {
  const auto Found = m_routeFactors.find(Route);
  return Found == m_routeFactors.end() ? 1.0 : Found->second;
}

double Dispatcher::slotRate(const Server &Item, TimePoint Now) const {
  if (!mayGetRequests(Item.m_entry) || Now < Item.m_pausedUntil)
    return 0;
  return static_cast<double>(slotsOf(Item)) / expectedServiceMs(Item, Now) *
         (1 - Item.m_refusedShare);
}

double Dispatcher::serviceRate(const Server &Item, TimePoint Now) const {
  return std::min(slotRate(Item, Now), limitRate(Item, Now));
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
    if (mayGetRequests(Item.m_entry) && (!Out || Item.m_pausedUntil < *Out))
      Out = Item.m_pausedUntil;
  return Out;
}

Millis Dispatcher::notHeldPause() const {
  // Without a granter no grant is renewed: the server's other keys lapse, too.
  return m_keys.version() == 0 ? KeyMoveTime : m_policy.m_notHeldPause;
}

bool Dispatcher::countsForServer(const Server &Item, std::uint32_t Link,
                                 DispatchResult Outcome, TimePoint Now) {
  if (!m_policy.m_judgesByHost)
    return true;
  if (Outcome == DispatchResult::Unreachable ||
      Outcome == DispatchResult::ConnectionLost)
    return m_judge.recordFailed(Item.m_entry.m_id, Link, Now);
  if (Outcome != DispatchResult::Withdrawn &&
      Outcome != DispatchResult::TimedOut)
    m_judge.recordReached(Item.m_entry.m_id, Link, Now);
  return true;
}

void Dispatcher::updateStatistics(Server &Item, const std::string &Route,
                                  DispatchResult Outcome, Millis ServiceTime,
                                  const std::optional<ReportedLoad> &Load,
                                  TimePoint Now) {
  const auto UpdateShare = [](double &Share, bool IsHit) {
    Share += OutcomeWeight * ((IsHit ? 1.0 : 0.0) - Share);
  };
  if (Outcome == DispatchResult::Withdrawn)
    return;
  updateContact(Item, Outcome, Now);
  if (Load)
    Item.m_load.note(*Load, Now);
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
  const double Sample =
      std::max<double>(1, usualServiceMs(toMs(ServiceTime), Load));
  const double OldMean =
      Item.m_meanServiceMs > 0 ? Item.m_meanServiceMs : m_meanServiceMs;
  double &Factor = m_routeFactors.emplace(Route, 1.0).first->second;
  // A request that ended early would have taken longer.
  if (Outcome != DispatchResult::Served && Sample < OldMean * Factor)
    return;
  // Relative to the mean of the service. The mean of a server may have been
  // raised by markOverdueServers(); relative to that, the factor of all routes
  // would fall, and make more requests look overdue.
  const double Ratio =
      std::clamp(Sample / m_meanServiceMs, MinRouteFactor, MaxRouteFactor);
  Factor += m_policy.m_routeWeight * (Ratio - Factor);
  Item.m_meanServiceMs =
      OldMean + m_policy.m_serviceTimeWeight * (Sample - OldMean);
  Item.m_lastSampleAt = Now;
  m_meanServiceMs +=
      m_policy.m_serviceTimeWeight / 10 * (Sample - m_meanServiceMs);
}

void Dispatcher::markOverdueServers(TimePoint Now) {
  struct Overdue {
    std::size_t m_running = 0;
    std::size_t m_count = 0;
    double m_shortestMs = 0; ///< Time so far of the newest overdue request.
  };
  std::map<std::string, Overdue> ByServer;
  for (const auto &[Id, Item] : m_running) {
    const auto Target = m_servers.find(Item.m_server);
    if (Target == m_servers.end())
      continue;
    Overdue &Found = ByServer[Item.m_server];
    ++Found.m_running;
    const double Elapsed =
        toMs(Now - Item.m_startedAt) / routeFactor(Item.m_route);
    if (Elapsed <= OverdueFactor * std::max(Target->second.m_meanServiceMs,
                                            m_meanServiceMs))
      continue;
    Found.m_shortestMs =
        Found.m_count == 0 ? Elapsed : std::min(Found.m_shortestMs, Elapsed);
    ++Found.m_count;
  }
  for (const auto &[Id, Found] : ByServer) {
    Server &Item = m_servers.at(Id);
    const std::size_t Needed = std::min<std::size_t>(2, slotsOf(Item));
    if (Found.m_count < Needed || Found.m_count * 2 < Found.m_running)
      continue;
    Item.m_meanServiceMs = Found.m_shortestMs / OverdueFactor;
    Item.m_lastSampleAt = Now;
  }
}

void Dispatcher::recordOutcome(const std::string &Server,
                               const std::string &Route, DispatchResult Outcome,
                               Millis ServiceTime, TimePoint Now,
                               const std::optional<ReportedLoad> &Load) {
  const auto Found = m_servers.find(Server);
  if (Found != m_servers.end())
    updateStatistics(Found->second, Route, Outcome, ServiceTime, Load, Now);
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
  const double Named =
      Limit.isLimited() ? std::min(Rate, Limit.perSecond()) : Rate;
  return isCold(Found->second, m_now)
             ? std::min(Named, m_coldPolicy.m_perSecond)
             : Named;
}

DispatchLoad Dispatcher::load() const {
  DispatchLoad Out{waitingCount(), m_running.size(), 0, 0, 0, m_looks};
  for (const auto &[Id, Item] : m_servers) {
    Out.m_slots += slotsOf(Item);
    Out.m_coldServers += Item.m_isShownCold ? 1 : 0;
    Out.m_slowServers += Item.m_load.slowness(m_now) > 1 ? 1 : 0;
  }
  return Out;
}

} // namespace tamarackdrum::gateway

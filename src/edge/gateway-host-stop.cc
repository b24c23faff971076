// The part of GatewayHost that stops the process as planned.

#include "tamarackdrum/gateway/gateway-host.h"

#include "tamarackdrum/sleep.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace tamarackdrum::gateway {
namespace {

namespace asio = boost::asio;

/// Interval at which a stopping host checks whether its requests have ended.
constexpr Millis DrainPollInterval{50};
/// Largest parts of the stop timeout for which a stopping host accepts requests
/// and keeps idle connections.
constexpr double MaxAcceptShare = 0.5;
constexpr double MaxIdleShare = 0.55;

Millis share(Millis Whole, double Part) {
  return std::chrono::duration_cast<Millis>(Whole * Part);
}

} // namespace

void GatewayHost::stop(std::function<void()> OnStopped) {
  if (m_isStopping)
    return;
  m_isStopping = true;
  m_hosts.setStopping();
  const TimePoint End =
      BootClock::now() + m_settings.m_stopTimeout - m_policy.m_stopMargin;
  m_edge.beginDrain(End);
  m_relay.beginDrain();
  for (const auto &[Service, Runner] : m_granterRunners)
    Runner->stop();
  m_network.sendDueHeartbeats();
  m_log.write("stopping", {{"active", m_edge.activeRequests()},
                           {"connections", m_edge.connectionCount()}});
  asio::co_spawn(m_executor, stopSequence(End, std::move(OnStopped)),
                 asio::detached);
}

bool GatewayHost::isInUse() const {
  return m_edge.activeRequests() > 0 || m_edge.connectionCount() > 0 ||
         m_relay.servedCount() > 0;
}

asio::awaitable<void>
GatewayHost::stopSequence(TimePoint End, std::function<void()> OnStopped) {
  const TimePoint Begin = BootClock::now();
  const Millis Grace = m_settings.m_stopTimeout;
  const TimePoint RefuseAt =
      Begin + std::min(m_policy.m_refuseNewAfter, share(Grace, MaxAcceptShare));
  const TimePoint CloseAt =
      Begin + std::min(m_policy.m_closeIdleAfter, share(Grace, MaxIdleShare));
  for (TimePoint Now = Begin; Now < End && (Now < CloseAt || isInUse());
       Now = BootClock::now()) {
    if (Now >= RefuseAt)
      m_edge.refuseNewRequests();
    if (Now >= CloseAt)
      m_edge.closeIdleConnections();
    m_edge.refuseLateRequests();
    co_await sleepFor(DrainPollInterval);
  }
  m_edge.endAllRequests();
  for (const auto &[Service, Runner] : m_granterRunners)
    Runner->prepareExit();
  co_await sleepFor(m_policy.m_finalCallTime);
  m_log.write("stopped", {{"active", m_edge.activeRequests()},
                          {"connections", m_edge.connectionCount()}});
  m_log.flush();
  OnStopped();
}

} // namespace tamarackdrum::gateway

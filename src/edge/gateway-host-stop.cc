// The part of GatewayHost that ends the process without losing requests.

#include "tamarackdrum/gateway/gateway-host.h"

#include "tamarackdrum/sleep.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace tamarackdrum::gateway {
namespace {

namespace asio = boost::asio;

/// Interval at which a stopping host checks whether its requests have ended.
constexpr Millis DrainPollInterval{50};

} // namespace

void GatewayHost::stop(std::function<void()> OnStopped) {
  if (m_isStopping)
    return;
  m_isStopping = true;
  m_hosts.setStopping();
  m_edge.beginDrain();
  for (const auto &[Service, Runner] : m_granterRunners)
    Runner->stop();
  m_network.sendDueHeartbeats();
  m_log.write("stopping", {{"active", m_edge.activeRequests()},
                           {"connections", m_edge.connectionCount()}});
  asio::co_spawn(m_executor, stopSequence(std::move(OnStopped)),
                 asio::detached);
}

asio::awaitable<void>
GatewayHost::stopSequence(std::function<void()> OnStopped) {
  const TimePoint End =
      BootClock::now() + m_settings.m_stopTimeout - m_policy.m_stopMargin;
  co_await sleepFor(m_policy.m_refuseNewAfter);
  m_edge.refuseNewRequests();
  co_await sleepFor(m_policy.m_closeIdleAfter - m_policy.m_refuseNewAfter);
  m_edge.closeIdleConnections();
  while (BootClock::now() < End &&
         (m_edge.activeRequests() > 0 || m_edge.connectionCount() > 0)) {
    if (BootClock::now() > End - m_policy.m_refuseWaitingMargin) {
      m_edge.refuseWaitingRequests();
    }
    co_await sleepFor(DrainPollInterval);
  }
  for (const auto &[Service, Runner] : m_granterRunners)
    Runner->prepareExit();
  co_await sleepFor(m_policy.m_finalCallTime);
  m_log.write("stopped", {{"active", m_edge.activeRequests()},
                          {"connections", m_edge.connectionCount()}});
  m_log.flush();
  OnStopped();
}

} // namespace tamarackdrum::gateway

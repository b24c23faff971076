// The part of EdgeServer that ends idle client connections.

#include "client-session.h"

#include "tamarackdrum/sleep.h"

#include <spdlog/fmt/fmt.h>

namespace tamarackdrum::gateway {
namespace {

namespace asio = boost::asio;

/// A connection without a request for less time may be new: its first request
/// is on its way.
constexpr Millis MinIdleToClose{250};
/// Reason for the end of an idle connection.
constexpr std::string_view OutOfSockets = "descriptors";

} // namespace

Millis EdgeServer::nameIdleLimit(Session &Client) const {
  Client.m_idleLimit = clientLimits().m_idleTimeout;
  return Client.m_idleLimit;
}

void EdgeServer::closeIdleConnections() {
  const TimePoint Now = BootClock::now();
  for (const SessionPtr &Client : m_sessions)
    if (Client->m_isIdle && Now - Client->m_idleSince > MinIdleToClose &&
        !hasBytes(*Client))
      Client->endIdle("stop");
}

void EdgeServer::closeLongestIdle() {
  SessionPtr Longest;
  for (const SessionPtr &Client : m_sessions)
    if (Client->m_isIdle && !hasBytes(*Client) &&
        (Longest == nullptr || Client->m_idleSince < Longest->m_idleSince))
      Longest = Client;
  if (Longest != nullptr)
    Longest->endIdle(OutOfSockets);
}

void EdgeServer::closeExpiredConnections() {
  const TimePoint Now = BootClock::now();
  const Millis Limit = clientLimits().m_idleTimeout;
  for (const SessionPtr &Client : m_sessions) {
    if (!Client->m_isIdle)
      continue;
    Client->m_idleLimit = std::max(Client->m_idleLimit, Limit);
    Millis Longest = Client->m_idleLimit + m_policy.m_idleAllowance;
    if (m_sessions.size() < m_policy.m_manyConnections)
      Longest =
          std::max(Longest, Client->m_idleLimit * m_policy.m_idleLimitFactor);
    const bool IsExpired = Now - Client->m_idleSince > Longest;
    // A request that has arrived is read next.
    if (IsExpired && !hasBytes(*Client))
      Client->endIdle("idle-limit");
  }
}

asio::awaitable<void> EdgeServer::awaitIdleEnd(SessionPtr Client) {
  // Bytes that come now are left unread: a client may repeat an unsafe request
  // that the host has not read.
  if (Client->m_endReason != OutOfSockets)
    co_await sleepFor(m_policy.m_closeTime);
  const bool HasCrossed = hasBytes(*Client);
  m_metrics.count("client_connections_ended",
                  fmt::format("reason=\"{}\",crossed=\"{}\"",
                              Client->m_endReason, HasCrossed));
  if (HasCrossed)
    m_log.writeRequest(
        "request-crossed-close",
        {{"reason", Client->m_endReason},
         {"idle_ms", std::chrono::duration_cast<Millis>(BootClock::now() -
                                                        Client->m_idleSince)}});
}

} // namespace tamarackdrum::gateway

/// \file
/// Probes servers when attempts fail, and keeps this host's decision on whether
/// it is cut off from them; see Reachability.

#ifndef TAMARACKDRUM_GATEWAY_CONTACT_MONITOR_H
#define TAMARACKDRUM_GATEWAY_CONTACT_MONITOR_H

#include "tamarackdrum/gateway/event-log.h"
#include "tamarackdrum/gateway/gateway-metrics.h"
#include "tamarackdrum/gateway/peer-network.h"
#include "tamarackdrum/gateway/reachability.h"
#include "tamarackdrum/gateway/upstream-client.h"

namespace tamarackdrum::gateway {

class ContactMonitor {
public:
  using ServersSource = std::function<const Reachability::Servers &()>;
  /// Returns the path of the health checks of a service; empty if it has none.
  using HealthPathSource = std::function<std::string(const std::string &)>;

  /// Does nothing if \p IsEnabled is false.
  ContactMonitor(boost::asio::any_io_executor Executor, bool IsEnabled,
                 Roster &Hosts, UpstreamClient &Upstreams, EventLog &Log,
                 GatewayMetrics &Metrics, ServersSource Servers,
                 HealthPathSource HealthPaths);

  /// Starts to probe. \p Network outlives this.
  void start(PeerNetwork &Network);

  /// Returns whether a request can be sent again if its attempt is interrupted.
  using ResendCheck = std::function<bool()>;

  /// Records the start of an attempt at a server, and returns its number.
  /// Unless \p Token is null, the attempt is interrupted if this host turns out
  /// to be cut off and \p CanResend returns true at that time. Both stay valid
  /// until end().
  std::uint32_t begin(CancelToken *Token, ResendCheck CanResend = nullptr);
  /// Records the end of an attempt.
  void end(std::uint32_t Number, const std::string &Server,
           const UpstreamReply &Reply);
  /// Records whether \p Server was reached by other means than begin().
  void record(const std::string &Server, bool IsReached);

  bool isEnabled() const { return m_isEnabled; }
  bool isCutOff() const { return m_reachability.isCutOff(); }
  bool isSuspected() const {
    return m_isEnabled && m_reachability.isSuspected();
  }
  bool reachesServers() const {
    return m_isEnabled && m_reachability.reachesServers(BootClock::now());
  }

private:
  struct Attempt {
    TimePoint m_startedAt;
    CancelToken *m_token;
    ResendCheck m_canResend;
  };

  boost::asio::awaitable<void> run();
  boost::asio::awaitable<void> probe(ServerEntry Server);
  void update(TimePoint Now);
  /// Opens links to the hosts that may relay, and asks more of them.
  void preparePeers(TimePoint Now);

  boost::asio::any_io_executor m_executor;
  const bool m_isEnabled;
  Roster &m_hosts;
  UpstreamClient &m_upstreams;
  EventLog &m_log;
  GatewayMetrics &m_metrics;
  const ServersSource m_servers;
  const HealthPathSource m_healthPaths;
  PeerNetwork *m_network = nullptr;
  Reachability m_reachability;
  std::uint32_t m_lastNumber = 0;
  std::map<std::uint32_t, Attempt> m_attempts; ///< In order of their start.
  TimePoint m_changedAt{};
  TimePoint m_peersAskedAt{};
  TimePoint m_preparesUntil{}; ///< See preparePeers().
};

} // namespace tamarackdrum::gateway

#endif // TAMARACKDRUM_GATEWAY_CONTACT_MONITOR_H

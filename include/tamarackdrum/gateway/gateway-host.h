/// \file
/// A whole gateway process: everything that one host of a site runs.

#ifndef TAMARACKDRUM_GATEWAY_GATEWAY_HOST_H
#define TAMARACKDRUM_GATEWAY_GATEWAY_HOST_H

#include "tamarackdrum/gateway/edge-server.h"
#include "tamarackdrum/gateway/granter-runner.h"
#include "tamarackdrum/gateway/key-map-feed.h"
#include "tamarackdrum/gateway/state-feed.h"
#include "tamarackdrum/gateway/text-server.h"

namespace tamarackdrum::gateway {

struct HostPolicy {
  Millis m_tickInterval{40};
  Millis m_heartbeatPollInterval{100}; ///< How often due beats are looked for.
  Millis m_flushInterval{200};
  /// From the stop signal until further requests are refused: clients that
  /// keep their connection may have sent one just before they learn of it, and
  /// a later one might not end in time.
  Millis m_refuseNewAfter{2900};
  /// From the stop signal until idle connections are closed: the platform
  /// needs two misses of a question a second to send no new ones.
  Millis m_closeIdleAfter{3300};
  /// Taken off the stop timeout, so that the end is the process's own.
  Millis m_stopMargin{400};
  /// Before that end, requests that wait are refused.
  Millis m_refuseWaitingMargin{400};
  /// For last calls, at the very end.
  Millis m_finalCallTime{120};
  /// Key maps go to hosts that do not coordinate their service this often:
  /// they need them only if they have to decide by themselves.
  Millis m_keyMapInterval{1000};
  FeedPolicy m_feed;
  EdgePolicy m_edge;

  bool operator==(const HostPolicy &) const = default;
};

class GatewayHost {
public:
  GatewayHost(boost::asio::any_io_executor Executor, HostPolicy Policy,
              GatewaySettings Settings, GatewayStore &Store,
              KeyServers &Servers, EventLog &Log);

  /// Opens all ports and starts the loops. Errors: those of the system.
  std::error_code start();

  /// Stops taking work, ends what runs, then calls \p OnStopped.
  void stop(std::function<void()> OnStopped);

  /// Returns whether clients should be sent here.
  bool isReady() const;

  const std::map<std::string, ServerEntry> &servers() const {
    return m_feed.servers();
  }

private:
  boost::asio::awaitable<void> tickLoop();
  boost::asio::awaitable<void> heartbeatLoop();
  boost::asio::awaitable<void> flushLoop();
  boost::asio::awaitable<void> stopSequence(std::function<void()> OnStopped);

  void onConfiguration();
  void onServers(const DirectoryChange &Change);
  void updateCoordinators();
  void onMessage(std::uint32_t Link, const std::string &Host,
                 PeerMessage &Message);
  void onHeartbeat(const Heartbeat &Beat);
  Heartbeat makeHeartbeat(const Heartbeat *Asked) const;
  /// Takes a server that has said that it leaves out of use, here and, if that
  /// is new, at other hosts.
  void handleLeaving(const LeavingMessage &Message, bool IsOwn);
  void handleCrash(const CrashMessage &Message, bool IsOwn);
  GranterRunner &makeGranterRunner(const std::string &Service);
  void sendKeyMap(std::uint32_t Link, const std::string &Service);
  /// Tells the other hosts of holders that have changed.
  void sendKeyMapChanges();
  PeerEvents peerEvents();
  FeedEvents feedEvents();
  EdgeServer::Callbacks edgeView();
  std::string metricsText();

  boost::asio::any_io_executor m_executor;
  const TimePoint m_startedAt = BootClock::now();
  const HostPolicy m_policy;
  const GatewaySettings m_settings;
  GatewayStore &m_store;
  KeyServers &m_keyServers;
  EventLog &m_log;
  GatewayMetrics m_metrics;
  PoisonRegistry m_poison;
  Roster m_hosts;
  StateFeed m_feed;
  ConnectionPool m_pool;
  UpstreamClient m_upstreams;
  Admission m_admission;
  PeerNetwork m_network;
  EdgeServer m_edge;
  TextServer m_readinessServer;
  std::unique_ptr<TextServer> m_metricsServer;
  std::map<std::string, std::unique_ptr<GranterRunner>> m_granterRunners;
  std::set<std::pair<std::uint64_t, std::string>> m_seenCrashes;
  std::map<std::string, KeyMapFeed> m_candidateFeeds; ///< By service.
  std::map<std::string, KeyMapFeed> m_followerFeeds;  ///< By service.
  bool m_isStopping = false;
};

} // namespace tamarackdrum::gateway

#endif // TAMARACKDRUM_GATEWAY_GATEWAY_HOST_H

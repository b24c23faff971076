/// \file
/// A gateway process: everything that one host of a site runs.

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
  /// A tick that begins this late is logged: half of a heartbeat's interval.
  Millis m_minLoggedStall{200};
  /// Interval at which the host checks which heartbeats are due.
  Millis m_heartbeatPollInterval{100};
  /// Interval at which the log is flushed and idle connections expire.
  Millis m_flushInterval{200};
  /// Time from the stop signal until new requests are refused, unless the stop
  /// timeout is short. A client with an open connection may still send one
  /// before it learns of the stop; a later one might not end in time.
  Millis m_refuseNewAfter{2900};
  /// Time from the stop signal until idle connections are closed, unless the
  /// stop timeout is short. The platform sends no new ones after two failed
  /// readiness checks, 1 s apart.
  Millis m_closeIdleAfter{3300};
  /// Subtracted from the stop timeout, so that the process ends before it is
  /// killed.
  Millis m_stopMargin{400};
  /// Time for the last calls before the process ends.
  Millis m_finalCallTime{120};
  /// Least time between two key maps sent to followers, which need them only if
  /// they have to dispatch by themselves.
  Millis m_keyMapInterval{1000};
  /// Time since the last crash under a refused request after which the first
  /// host may send it once more, to find out whether it crashes servers.
  Millis m_trialDelay{10000};
  /// Time by which the next host waits longer: a crash is reported to it within
  /// the time that a request may take.
  Millis m_trialStep{5000};
  FeedPolicy m_feed;
  EdgePolicy m_edge;
  AdmissionPolicy m_admission;

  bool operator==(const HostPolicy &) const = default;
};

class GatewayHost {
public:
  GatewayHost(boost::asio::any_io_executor Executor, HostPolicy Policy,
              GatewaySettings Settings, GatewayStore &Store,
              KeyServers &Servers, EventLog &Log);

  /// Opens all ports and starts the loops. Errors: those of the system.
  std::error_code start();

  /// Refuses new work, waits for running requests up to the stop timeout, then
  /// calls \p OnStopped.
  void stop(std::function<void()> OnStopped);

  /// See ConnectionPool::setAddressMap().
  void setAddressMap(ConnectionPool::AddressMap Map) {
    m_pool.setAddressMap(std::move(Map));
  }

  /// Returns whether this host reaches no server while others do.
  bool isCutOff() const { return m_contacts.isCutOff(); }

  /// Returns whether clients should be sent here.
  bool isReady() const;

  const std::map<std::string, ServerEntry> &servers() const {
    return m_feed.servers();
  }

  /// Returns the host that gives out the slots of each service.
  const std::map<std::string, std::string> &coordinators() const {
    return m_admission.coordinators();
  }

private:
  /// Logs that a tick has begun \p Late, with the processor time used since the
  /// tick before.
  void noteStall(Millis Late, double CpuMs);
  boost::asio::awaitable<void> tickLoop();
  boost::asio::awaitable<void> heartbeatLoop();
  boost::asio::awaitable<void> flushLoop();
  boost::asio::awaitable<void> stopSequence(TimePoint End,
                                            std::function<void()> OnStopped);
  /// Returns whether a client or a peer still uses this host.
  bool isInUse() const;

  void onConfiguration();
  void onServers(const DirectoryChange &Change);
  void updateCoordinators();
  void onMessage(std::uint32_t Link, const std::string &Host,
                 PeerMessage &Message);
  void onHeartbeat(const Heartbeat &Beat);
  /// Returns this host's heartbeat, as an answer to \p Received unless it is
  /// null.
  Heartbeat makeHeartbeat(const Heartbeat *Received) const;
  /// Marks a leaving server as draining and, if that is new, sends the message
  /// on. \p IsOwn: this host got the server's announcement itself.
  void handleLeaving(const LeavingMessage &Message, bool IsOwn);
  /// Counts a server's crash, or counts it no longer, and, if that is new,
  /// sends the message on. \p IsOwn: this host saw the crash, or the answer,
  /// itself.
  void handleCrash(const CrashMessage &Message, bool IsOwn);
  /// Returns whether \p Message says what no earlier one has said.
  bool isNews(const CrashMessage &Message);
  /// Notes that a request was answered, and tells the other hosts which crashes
  /// do not count against it.
  void handleAnswered(Fingerprint Request);
  /// Tells a new follower of the requests that are or may soon be refused: the
  /// reports came before it did.
  void sendCrashes(std::uint32_t Link);
  /// Returns whether this host may send a refused request once more. The hosts
  /// take turns, in another order for each request.
  bool mayTry(Fingerprint Request);
  /// Logs what the crashes of a request amount to.
  void logCrash(const CrashMessage &Message, bool IsOwn);
  /// Handles a message about a relayed request. Returns whether it is one.
  bool onRelayMessage(std::uint32_t Link, PeerMessage &Message);
  GranterRunner &makeGranterRunner(const std::string &Service);
  /// Returns an empty text if the service is not known or has no path.
  std::string healthPathOf(const std::string &Service) const;
  void sendKeyMap(std::uint32_t Link, const std::string &Service);
  /// Sends changed holders to the candidates, as granter, and to the followers.
  void sendKeyMapChanges();
  const ServerEntry *findServer(const std::string &Id) const;
  PeerEvents peerEvents();
  FeedEvents feedEvents();
  EdgeServer::Callbacks edgeView();
  std::string metricsText();
  /// Sets the metrics of the rate limits that this host knows.
  void setLimitGauges();

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
  ContactMonitor m_contacts;
  Admission m_admission;
  PeerNetwork m_network;
  RequestRelay m_relay;
  EdgeServer m_edge;
  TextServer m_readinessServer;
  std::unique_ptr<TextServer> m_metricsServer;
  std::map<std::string, std::unique_ptr<GranterRunner>> m_granterRunners;
  /// Whether a crash that was sent on is void, by fingerprint and server.
  std::map<std::pair<Fingerprint, std::string>, bool> m_seenCrashes;
  std::map<std::string, KeyMapFeed> m_candidateFeeds; ///< By service.
  std::map<std::string, KeyMapFeed> m_followerFeeds;  ///< By service.
  bool m_isStopping = false;
};

} // namespace tamarackdrum::gateway

#endif // TAMARACKDRUM_GATEWAY_GATEWAY_HOST_H

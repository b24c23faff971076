/// \file
/// A whole gateway process: everything that one host of a site runs.

#ifndef TAMARACKDRUM_GATEWAY_GATEWAY_HOST_H
#define TAMARACKDRUM_GATEWAY_GATEWAY_HOST_H

#include "tamarackdrum/gateway/edge-server.h"
#include "tamarackdrum/gateway/listing-feed.h"
#include "tamarackdrum/gateway/ownership-keeper.h"
#include "tamarackdrum/gateway/store-health.h"
#include "tamarackdrum/gateway/text-server.h"

namespace tamarackdrum::gateway {

struct HostPolicy {
  /// How often the server registry is read. Source: a server that leaves must
  /// get no request 2 s after the store knows of it; the registry may be
  /// behind by a second.
  Millis m_readServersEvery{700};
  /// How long a read of the configuration waits for news.
  Millis m_configurationWait{800};
  /// Silence of the reader, and age of the configuration that it passes on,
  /// from which a host reads by itself. Source: what the operator changes holds
  /// after 2 s.
  Millis m_listingAge{1100};
  Millis m_configurationAge{1500};
  /// How often a host looks whether it has to read.
  Millis m_lookEvery{100};
  /// A span of good reads is broken by a pause of this length.
  Millis m_goodGap{1500};
  /// First and longest pause after a failed read of the store. Source: what
  /// changes is to be known a few seconds after the store is back.
  Millis m_storePause{250};
  Millis m_longestStorePause{1000};
  /// How often a process without a configuration asks its peers. Source: a
  /// start with a store that answers takes 50 ms.
  Millis m_askPeersEvery{200};
  Millis m_readHostsEvery{30000};
  Millis m_tickEvery{40};
  Millis m_beatEvery{100}; ///< How often due beats are looked for.
  Millis m_flushEvery{200};
  /// From the stop signal until further requests are refused: clients that
  /// keep their connection may have sent one just before they learn of it, and
  /// a later one might not end in time.
  Millis m_stopTaking{2900};
  /// From the stop signal until idle connections are closed: the platform
  /// needs two misses of a question a second to send no new ones.
  Millis m_stopListening{3300};
  /// Taken off the stop timeout, so that the end is the process's own.
  Millis m_stopMargin{400};
  /// Before that end, requests that wait are refused.
  Millis m_refuseMargin{400};
  /// For last calls, at the very end.
  Millis m_leaveTime{120};
  DirectoryPolicy m_directory;
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

  std::size_t knownServers() const { return m_directory.entries().size(); }

private:
  boost::asio::awaitable<void> enter();
  /// The store may be slow or away when the process starts: hosts that were
  /// there before know what it cannot tell now.
  boost::asio::awaitable<void> learnFromPeers();
  boost::asio::awaitable<void> readConfigurationLoop();
  boost::asio::awaitable<void> readServersLoop();
  boost::asio::awaitable<void> readHostsLoop();
  boost::asio::awaitable<void> tickLoop();
  boost::asio::awaitable<void> beatLoop();
  boost::asio::awaitable<void> flushLoop();
  boost::asio::awaitable<void> stopSequence(std::function<void()> OnStopped);

  void applyConfiguration(const ReadConfiguration &Read,
                          std::string_view Source);
  /// \p IsListing: other fields than those of \p Change may be new, too.
  void applyServers(const DirectoryChange &Change, bool IsListing = false);
  void noteStore(bool IsGood, TimePoint AskedAt, std::string_view What,
                 std::string_view Reason);
  void updateCoordinators();
  void onMessage(std::uint32_t Link, const std::string &Host,
                 PeerMessage &Message);
  void onBeat(const HostBeat &Beat);
  HostBeat makeBeat() const;
  void spreadCrash(const CrashMessage &Message, bool IsOwn);
  OwnershipKeeper &makeKeeper(const std::string &Service);
  Millis storeLost() const; ///< Since the last good read, if one has failed.
  bool isReader() const;    ///< Reads the store for the other hosts, too.
  void shareListing(TimePoint AskedAt, const std::vector<ServerRow> &Rows);
  void setAges(ListingMessage &News) const;
  void onListing(std::uint32_t Link, const std::string &Host,
                 const ListingMessage &Listing);
  void pushTo(std::uint32_t Link, const StateRequest &Needed);
  /// Sends beats to the hosts that the settings name.
  void sendToSeeds();
  void sendToAnchors(const PeerMessage &Message);
  void sendKeyMap(std::uint32_t Link, const std::string &Service);
  PeerEvents peerEvents();
  EdgeServer::View edgeView();
  std::string metricsText();

  boost::asio::any_io_executor m_executor;
  const HostPolicy m_policy;
  const GatewaySettings m_settings;
  GatewayStore &m_store;
  KeyServers &m_keyServers;
  EventLog &m_log;
  GatewayMetrics m_metrics;
  PoisonRegistry m_poison;
  Roster m_hosts;
  StoreHealth m_storeHealth;
  ServerDirectory m_directory;
  ConnectionPool m_pool;
  UpstreamExchange m_upstreams;
  Admission m_admission;
  PeerNetwork m_network;
  EdgeServer m_edge;
  TextServer m_readiness;
  std::unique_ptr<TextServer> m_metricsServer;
  std::shared_ptr<RouteTable> m_routes;
  std::string m_configurationText;
  std::map<std::string, std::unique_ptr<OwnershipKeeper>> m_keepers;
  std::set<std::pair<std::uint64_t, std::string>> m_crashes;
  ListingSource m_listings; ///< As last read by this host.
  TimePoint m_rowsAskedAt{};
  ListingTimes m_listingTimes;   ///< Of the last listing, by whom ever.
  TimePoint m_configurationAt{}; ///< The configuration was the newest then.
  std::map<std::string, ListingSink> m_heard; ///< By reader.
  bool m_isStopping = false;
};

} // namespace tamarackdrum::gateway

#endif // TAMARACKDRUM_GATEWAY_GATEWAY_HOST_H

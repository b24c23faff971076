/// \file
/// What a host knows of the store's content: configuration, servers and hosts.
/// It comes from the reader of the store, by a relay or directly, and is
/// passed on to the hosts that follow this one. A host that hears nothing
/// reads the store by itself. Who reads and who relays: feed-tree.h.

#ifndef TAMARACKDRUM_GATEWAY_STATE_FEED_H
#define TAMARACKDRUM_GATEWAY_STATE_FEED_H

#include "tamarackdrum/gateway/event-log.h"
#include "tamarackdrum/gateway/feed-tree.h"
#include "tamarackdrum/gateway/gateway-metrics.h"
#include "tamarackdrum/gateway/listing-feed.h"
#include "tamarackdrum/gateway/peer-network.h"
#include "tamarackdrum/gateway/ports.h"
#include "tamarackdrum/gateway/store-health.h"

#include <functional>
#include <memory>

namespace tamarackdrum::gateway {

struct FeedPolicy {
  /// How often the server registry is read. Source: a server that leaves must
  /// get no request 2 s after the store knows of it; the registry may be
  /// behind by a second.
  Millis m_serverReadInterval{700};
  /// How long a read of the configuration waits for news.
  Millis m_configurationWait{800};
  /// Silence of the source, and age of the configuration that it passes on,
  /// from which a host reads by itself. Source: what changes holds after 2 s.
  Millis m_maxListingAge{1100};
  Millis m_maxConfigurationAge{1500};
  /// A host behind a relay waits longer by this part of what the settings
  /// grant beyond those 2 s: the relay reads first.
  double m_relayDelayShare = 0.6;
  /// How often a host looks whether it has to read.
  Millis m_pollInterval{100};
  /// A span of good reads is broken by a pause of this length.
  Millis m_maxSuccessGap{1500};
  /// First and longest pause after a failed read of the store. Source: what
  /// changes is to be known a few seconds after the store is back.
  Millis m_firstBackoff{250};
  Millis m_maxBackoff{1000};
  /// A process that starts waits this long for what its peers know before it
  /// reads the store, unless it is one of those that are asked first. The time
  /// differs from host to host, so that not all of them read if all start, and
  /// is for a host of a tenth of a core. Larger ones wait less by the square of
  /// their share: they read faster, and others will hear them.
  Millis m_minStartDelay{200};
  Millis m_maxStartDelay{900};
  /// The same where no traffic comes yet, since the whole site starts.
  Millis m_siteStartDelay{800};
  Millis m_startPollInterval{20};
  /// How often a process without a configuration asks its peers.
  Millis m_stateRequestInterval{50};
  /// How often the reader looks for hosts that the store does not list yet.
  Millis m_registrationInterval{1000};
  Millis m_hostReadInterval{30000};
  FeedTreePolicy m_tree;
  DirectoryPolicy m_directory;

  bool operator==(const FeedPolicy &) const = default;
};

/// What the feed tells its host.
struct FeedEvents {
  std::function<void()> m_onConfiguration; ///< A newer one is in force.
  /// Servers have changed: their number or state, or other fields.
  std::function<void(const DirectoryChange &)> m_onServers;
  /// A host has begun to follow this one.
  std::function<void(std::uint32_t Link)> m_onFollower;
};

class StateFeed {
public:
  StateFeed(boost::asio::any_io_executor Executor, FeedPolicy Policy,
            const GatewaySettings &Settings, GatewayStore &Store, Roster &Hosts,
            EventLog &Log, GatewayMetrics &Metrics, FeedEvents Events);

  void setNetwork(PeerNetwork &Network) { m_network = &Network; }
  void start();

  /// Null until there is a configuration.
  const std::shared_ptr<RouteTable> &routes() const { return m_routes; }
  std::uint64_t configurationVersion() const;
  const std::map<std::string, ServerEntry> &servers() const {
    return m_directory.entries();
  }

  /// Since the last good read of the store, if one has failed; else 0.
  Millis storeLostFor() const;
  Millis storeAvailableFor() const { return m_storeHealth.availableFor(); }
  /// Notes a call to the store that was made at \p AskedAt.
  void recordStoreCall(bool IsGood, TimePoint AskedAt, std::string_view What,
                       std::string_view Reason);

  /// Chooses whom to hear, and drops servers whose time to return is over.
  void tick();
  bool isFollowing(const std::string &Host) const {
    return !Host.empty() && m_source.m_host == Host;
  }
  void onFollow(std::uint32_t Link, bool IsFollowing);
  void onLinkDown(const std::string &Host) { m_receivedListings.erase(Host); }
  void onHeartbeat(const Heartbeat &Beat);
  void onListing(std::uint32_t Link, const std::string &Host,
                 const ListingMessage &Listing);
  void onConfiguration(const std::string &Text, std::string_view Source);
  void onStateRequest(std::uint32_t Link, const StateRequest &Needed);
  void onState(const std::string &Host, const StateMessage &State);
  void onHosts(const HostsMessage &News);
  /// Takes a life of a server that has said that it leaves out of use.
  /// Returns whether that is new.
  bool markLeaving(const LeavingMessage &News);

private:
  bool hasState() const;
  /// Returns who reads the store for all, or an empty text.
  std::string currentReader(TimePoint Now) const;
  bool isReader() const;
  /// Whom this host should hear, by what it knows now.
  void updateSource();
  /// Silence from which a host reads by itself, given that of the reader's own
  /// followers and the bound that the settings name.
  Millis silenceLimit(Millis OfReader, Millis Bound) const;

  boost::asio::awaitable<void> waitForPeers();
  boost::asio::awaitable<void> requestStateFromPeers();
  boost::asio::awaitable<void> readConfigurationLoop();
  boost::asio::awaitable<void> readServersLoop();
  boost::asio::awaitable<void> hostsLoop();
  boost::asio::awaitable<void> registerSelf();
  boost::asio::awaitable<bool> readHosts();
  /// Enters the live hosts that the store does not list.
  boost::asio::awaitable<void> registerHosts();
  /// Tells the followers of hosts that they may not know, or of all.
  void sendHostsToFollowers(bool IsWhole);

  void applyConfiguration(const DecodedConfiguration &Read,
                          std::string_view Source);
  /// \p IsListing: other fields than those of \p Change may be new, too.
  void applyServers(const DirectoryChange &Change, bool IsListing);
  /// Takes the rows of a listing, and passes on what is new in them.
  void applyListing(std::vector<ServerRow> Rows, const ListingTimes &Times,
                    bool HasNews);
  /// Returns whether the store has come back from an older copy since the
  /// hosts were read: some that were entered may be missing.
  bool mayMissHosts() const { return m_store.era() > m_hostsStoreTime.m_era; }
  void setAges(ListingMessage &News) const;
  void sendState(std::uint32_t Link, const StateRequest &Needed);
  /// Sends beats to the hosts that the settings name.
  void sendHeartbeatsToSeeds();

  boost::asio::any_io_executor m_executor;
  const FeedPolicy m_policy;
  const GatewaySettings &m_settings;
  GatewayStore &m_store;
  Roster &m_hosts;
  EventLog &m_log;
  GatewayMetrics &m_metrics;
  const FeedEvents m_events;
  PeerNetwork *m_network = nullptr;
  StoreHealth m_storeHealth;
  ServerDirectory m_directory;
  std::shared_ptr<RouteTable> m_routes;
  std::string m_configurationText;
  TimePoint
      m_configurationCurrentAt{};  ///< The configuration was the newest then.
  std::vector<ServerRow> m_rows;   ///< Of the last listing.
  ListingSource m_listings;        ///< As told to the followers.
  bool m_areRowsPublished = false; ///< They have been told m_rows.
  ListingTimes m_listingTimes;     ///< Of the last listing, by whom ever.
  std::map<std::string, ListingFollower> m_receivedListings; ///< By source.
  FeedSource m_source;
  const TimePoint m_storeReadsFrom; ///< Peers alone are asked before.
  std::map<std::string, std::int64_t>
      m_registeredHosts; ///< Lives in the store.
  std::map<std::string, std::int64_t>
      m_announcedHosts;       ///< Lives told to followers.
  StoreTime m_hostsStoreTime; ///< Of the last list of all hosts.
  TimePoint m_hostsReadAt{};
};

} // namespace tamarackdrum::gateway

#endif // TAMARACKDRUM_GATEWAY_STATE_FEED_H

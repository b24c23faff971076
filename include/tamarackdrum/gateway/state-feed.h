/// \file
/// Keeps this host's view of the store's content: configuration, servers and
/// hosts.
///
/// The content comes from the reader of the store, directly or through a relay
/// (see feed-tree.h), and is sent on to the hosts that follow this one. A host
/// that receives nothing for some time reads the store itself.

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
  /// Interval at which the server registry is read. A server that leaves must
  /// get no request 2 s after the store knows of it, and the registry may lag
  /// by 1 s.
  Millis m_serverReadInterval{700};
  /// How long a read of the configuration waits for a newer one.
  Millis m_configurationWait{800};
  /// Silence of the source, and age of the configuration that it has confirmed,
  /// after which a host reads the store itself. Changes must be in force after
  /// 2 s.
  Millis m_maxListingAge{1100};
  Millis m_maxConfigurationAge{1500};
  /// A follower of a relay waits longer than that, so that the relay reads
  /// first: by this part of the time that the settings allow beyond 2 s.
  double m_relayDelayShare = 0.6;
  /// Interval at which a host checks whether it has to read.
  Millis m_pollInterval{100};
  /// See StoreHealth.
  Millis m_maxSuccessGap{1500};
  /// First and longest pause after a failed read of the store. Changes must be
  /// known a few seconds after the store is back.
  Millis m_firstBackoff{250};
  Millis m_maxBackoff{1000};
  /// Bounds of the random time for which a process that starts waits for its
  /// peers' state before it reads the store; a seed host does not wait. The
  /// time is random so that not all hosts read if all start at once. The
  /// bounds are those of a host with a tenth of a core; the time falls with
  /// the square of the processor share, since a larger host reads faster and
  /// others will follow it.
  Millis m_minStartDelay{200};
  Millis m_maxStartDelay{900};
  /// Added to that time when the whole site starts and has no traffic yet.
  Millis m_siteStartDelay{800};
  Millis m_startPollInterval{20};
  /// Interval at which a process without state requests it from its peers.
  Millis m_stateRequestInterval{50};
  /// Interval at which the reader looks for hosts that the store does not list.
  Millis m_registrationInterval{1000};
  Millis m_hostReadInterval{30000};
  FeedTreePolicy m_tree;
  DirectoryPolicy m_directory;

  bool operator==(const FeedPolicy &) const = default;
};

/// Callbacks of the feed to its host.
struct FeedEvents {
  std::function<void()> m_onConfiguration; ///< A newer one is in force.
  /// A listing was applied, or servers were added, removed or changed their
  /// state.
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

  /// Returns null until there is a configuration.
  const std::shared_ptr<RouteTable> &routes() const { return m_routes; }
  /// Returns 0 until there is a configuration.
  std::uint64_t configurationVersion() const;
  const std::map<std::string, ServerEntry> &servers() const {
    return m_directory.entries();
  }

  /// Zones whose servers must get no requests.
  const std::set<std::string> &evacuatedZones() const {
    return m_evacuations.m_zones;
  }

  /// See StoreHealth::lostFor().
  Millis storeLostFor() const;
  /// See StoreHealth::availableFor().
  Millis storeAvailableFor() const { return m_storeHealth.availableFor(); }
  /// Records the result of a call to the store that was sent at \p SentAt and
  /// read \p What; \p Reason is the cause of a failure.
  void recordStoreCall(bool HasSucceeded, TimePoint SentAt,
                       std::string_view What, std::string_view Reason);

  /// Selects the source, and removes servers that did not register again in
  /// time.
  void tick();
  bool isFollowing(const std::string &Host) const {
    return !Host.empty() && m_source.m_host == Host;
  }
  void onFollow(std::uint32_t Link, bool IsFollowing);
  void onLinkDown(const std::string &Host) { m_receivedListings.erase(Host); }
  void onHeartbeat(const Heartbeat &Beat);
  void onListing(std::uint32_t Link, const std::string &Host,
                 const ListingMessage &Listing);
  void onConfiguration(const ConfigurationMessage &Message,
                       std::string_view Source);
  /// Applies evacuations from \p Source, unless this host knows later ones,
  /// and sends them on to the followers.
  void applyEvacuations(const Evacuations &Next, std::string_view Source);
  void onStateRequest(std::uint32_t Link, const StateRequest &Needed);
  void onState(const std::string &Host, const StateMessage &State);
  void onHosts(const HostsMessage &Message);
  /// Marks a server process that has announced that it leaves as draining.
  /// Returns whether that is new.
  bool markLeaving(const LeavingMessage &Message);

private:
  /// Returns whether there are a configuration and a listing.
  bool hasState() const;
  /// Returns the host that reads the store for the others, or an empty string.
  std::string currentReader(TimePoint Now) const;
  bool isReader() const;
  /// Selects the host to follow, and tells the previous and the new source.
  void updateSource();
  /// Returns the silence of the source after which this host reads the store
  /// itself: \p OfReader for a follower of the reader, more for a follower of a
  /// relay if \p Bound, from the settings, allows it.
  Millis silenceLimit(Millis OfReader, Millis Bound) const;

  /// Waits for the state from peers, up to the start delay.
  boost::asio::awaitable<void> waitForPeers();
  boost::asio::awaitable<void> requestStateFromPeers();
  boost::asio::awaitable<void> readConfigurationLoop();
  boost::asio::awaitable<void> readServersLoop();
  boost::asio::awaitable<void> hostsLoop();
  /// Registers the live hosts until the store's list of hosts has been read.
  boost::asio::awaitable<void> registerSelf();
  boost::asio::awaitable<bool> readHosts();
  /// Registers the live hosts that the store does not list.
  boost::asio::awaitable<void> registerHosts();
  /// Sends the live hosts to the followers: all or those not sent yet.
  void sendHostsToFollowers(bool IsWhole);

  void applyConfiguration(const DecodedConfiguration &Read,
                          std::string_view Source);
  /// Logs \p Change and reports it to the host. \p IsListing: reports an empty
  /// change, too, since other fields of the servers may have changed.
  void applyServers(const DirectoryChange &Change, bool IsListing);
  /// Applies a listing and sends its changes to the followers.
  void applyListing(std::vector<ServerRow> Rows, const ListingTimes &Times,
                    bool HasChanges);
  /// Returns whether the store has been restored from an older copy since the
  /// hosts were read, so that it may have lost some that were registered.
  bool mayMissHosts() const { return m_store.era() > m_hostsStoreTime.m_era; }
  /// Sets the times and the configuration's version of \p Message.
  void setAges(ListingMessage &Message) const;
  void sendState(std::uint32_t Link, const StateRequest &Needed);
  /// Sends heartbeats to the hosts that the settings name.
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
  Evacuations m_evacuations;
  TimePoint m_configurationCurrentAt{}; ///< When it was last the newest.
  std::vector<ServerRow> m_rows;        ///< Of the last listing.
  ListingSource m_listings;             ///< Sent to the followers.
  bool m_areRowsPublished = false;      ///< m_listings has m_rows.
  ListingTimes m_listingTimes; ///< Of the last listing from any source.
  std::map<std::string, ListingFollower> m_receivedListings; ///< By source.
  FeedSource m_source;
  const TimePoint m_storeReadsFrom; ///< End of the start delay.
  /// Process starts of the hosts that the store lists.
  std::map<std::string, std::int64_t> m_registeredHosts;
  /// Process starts of the hosts that the followers were sent.
  std::map<std::string, std::int64_t> m_announcedHosts;
  StoreTime m_hostsStoreTime; ///< Of the last list of all hosts.
  TimePoint m_hostsReadAt{};
};

} // namespace tamarackdrum::gateway

#endif // TAMARACKDRUM_GATEWAY_STATE_FEED_H

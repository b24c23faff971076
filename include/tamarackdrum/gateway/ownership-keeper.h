/// \file
/// Runs the key granter of one service at this host: takes it over when no
/// live host has it, carries out its calls and writes its records.

#ifndef TAMARACKDRUM_GATEWAY_OWNERSHIP_KEEPER_H
#define TAMARACKDRUM_GATEWAY_OWNERSHIP_KEEPER_H

#include "tamarackdrum/gateway/event-log.h"
#include "tamarackdrum/gateway/gateway-metrics.h"
#include "tamarackdrum/gateway/ports.h"

#include <functional>

namespace tamarackdrum::gateway {

struct KeeperPolicy {
  /// Pause between two steps of the granter.
  Millis m_stepEvery{50};
  /// How often a granter makes sure that its term is the newest.
  Millis m_validateEvery{1500};
  /// A granter that has not reached the store for this long gives way to a
  /// host that can.
  Millis m_staleStore{1500};
  /// A process that has just started hears the beats of the others first: the
  /// granter among them, or that its old process has ended. From the start of
  /// the process, and from that of the keeper: two beats.
  Millis m_startPause{1000};
  Millis m_leastPause{500};
  /// Pause after a failed takeover or write.
  Millis m_retryPause{400};

  bool operator==(const KeeperPolicy &) const = default;
};

/// What the keeper needs to know of its host.
struct KeeperView {
  TimePoint m_startedAt{};             ///< Start of the process.
  bool m_isFirstStart = false;         ///< Of the whole site.
  std::function<Millis()> m_storeLost; ///< Since when it fails; 0 if not.
  std::function<Millis()> m_storeGood; ///< Span of good reads up to now.
  std::function<const std::map<std::string, ServerEntry> &()> m_servers;
  std::function<double(const std::string &Server)> m_rateOf;
  std::function<std::vector<KeyRate>()> m_demand;
  /// Notes whether a call to the store that was made at a time succeeded.
  std::function<void(bool IsGood, TimePoint AskedAt)> m_onStore;
  /// Takes a new map of holders.
  std::function<void(const KeyMap &)> m_onKeyMap;
  /// Asks other hosts for the holders that they know.
  std::function<void()> m_askPeers;
  /// Takes the holders of a granter that may be gone.
  std::function<void(const KeyMap &)> m_onRecordedMap;
};

class OwnershipKeeper {
public:
  OwnershipKeeper(boost::asio::any_io_executor Executor, std::string Service,
                  KeeperPolicy Policy, GrantPolicy Grants, GatewayStore &Store,
                  KeyServers &Servers, Roster &Hosts, EventLog &Log,
                  GatewayMetrics &Metrics, KeeperView View);

  /// Runs until stop().
  boost::asio::awaitable<void> run();
  /// Takes no further term; renews the one that it has until another host has
  /// taken it over.
  void stop() { m_isStopped = true; }
  /// Before the end of the process: if no host can take the term over since
  /// the store is away, lengthens the holds to last for most of the outage.
  void leave();

  /// For a host that knows no holders: asks its peers and looks up, once, those
  /// of the last granter. After the loss of all hosts servers hold their keys
  /// for a while; whoever is asked in vain says that it does not hold the key.
  void recallHolders();

  /// Notes whom another host believes to be the granter.
  void noteClaim(const GranterClaim &Claim);
  const GranterClaim &claim() const { return m_claim; }
  bool isGranter() const { return m_granter.isGranter(); }

  void noteNotHeld(Key Value) { m_granter.renewNow(Value); }

private:
  bool shouldTakeOver(TimePoint Now) const;
  /// Returns whether the store may have been away for all hosts of late.
  bool wasStoreAway() const;
  /// Returns whether records that came after \p Read may have been lost.
  bool isRecordOld(const VersionedOwnership &Read) const;
  /// Returns what is known of \p Old by its beats.
  EarlierGranterState stateOf(const EarlierGranter &Old) const;
  boost::asio::awaitable<void> takeOver();
  boost::asio::awaitable<void> readHolders();
  boost::asio::awaitable<void> write(OwnershipRecord Record);
  boost::asio::awaitable<void> validate();
  boost::asio::awaitable<void> carryOut(GrantCall Call);
  void lose(std::string_view Reason, const GranterClaim &Winner);
  void publish();
  std::vector<ServerEntry> ownServers() const;

  boost::asio::any_io_executor m_executor;
  const std::string m_service;
  const KeeperPolicy m_policy;
  const GrantPolicy m_grants;
  GatewayStore &m_store;
  KeyServers &m_servers;
  Roster &m_hosts;
  EventLog &m_log;
  GatewayMetrics &m_metrics;
  const KeeperView m_view;
  KeyGranter m_granter;
  GranterClaim m_claim;
  RowVersion m_version;     ///< Of the row, as last read or written.
  bool m_isStopped = false; ///< Takes no term any more.
  bool m_isEnded = false;
  bool m_hasLengthened = false; ///< Its last holds are of the longest kind.
  bool m_isValidating = false;
  bool m_isWriting = false;
  TimePoint m_validatedAt{};
  TimePoint m_nextTakeOver;
  TimePoint m_nextRecall{};
  bool m_hasRecord = false; ///< The last granter's holders have been read.
  KeyMap m_published;
  std::uint64_t m_mapChanges = 0;
};

} // namespace tamarackdrum::gateway

#endif // TAMARACKDRUM_GATEWAY_OWNERSHIP_KEEPER_H

/// \file
/// Runs the key granter of one service on this host: takes the term over when
/// no live host grants, makes the granter's calls and writes its records.

#ifndef TAMARACKDRUM_GATEWAY_GRANTER_RUNNER_H
#define TAMARACKDRUM_GATEWAY_GRANTER_RUNNER_H

#include "tamarackdrum/gateway/event-log.h"
#include "tamarackdrum/gateway/gateway-metrics.h"
#include "tamarackdrum/gateway/ports.h"

#include <functional>

namespace tamarackdrum::gateway {

struct GranterRunnerPolicy {
  /// Pause between two steps of the granter.
  Millis m_stepInterval{50};
  /// Interval at which a granter checks that its term is the newest.
  Millis m_validationInterval{1500};
  /// A granter that has not reached the store for this long is replaced by a
  /// host that can.
  Millis m_storeLostTimeout{1500};
  /// Shortest times from the start of the process, and from the creation of
  /// this object, to the first takeover. They cover two heartbeats, in which
  /// the host learns the granter, or that its own earlier process has ended.
  Millis m_startDelay{1000};
  Millis m_minStartDelay{500};
  /// Pause after a failed takeover or write.
  Millis m_retryDelay{400};

  bool operator==(const GranterRunnerPolicy &) const = default;
};

/// State and callbacks of the host, as a granter runner needs them.
struct GranterContext {
  TimePoint m_startedAt{};     ///< Start of the process.
  bool m_isFirstStart = false; ///< First start of the whole site.
  /// See StoreHealth::lostFor() and StoreHealth::availableFor().
  std::function<Millis()> m_storeLostFor;
  std::function<Millis()> m_storeAvailableFor;
  std::function<const std::map<std::string, ServerEntry> &()> m_servers;
  /// Returns requests a second that a server can serve.
  std::function<double(const std::string &Server)> m_serverCapacity;
  /// Returns requests a second of the busy keys.
  std::function<std::vector<KeyRate>()> m_keyDemand;
  /// Takes the result of a call to the store that was sent at \p SentAt.
  std::function<void(bool HasSucceeded, TimePoint SentAt)> m_onStoreCall;
  /// Takes the current holders, as granted by this host.
  std::function<void(const KeyMap &)> m_onKeyMap;
  /// Requests the holders from other hosts.
  std::function<void()> m_requestKeyMaps;
  /// Takes the holders from the store's record, whose granter may have ended.
  std::function<void(const KeyMap &)> m_onRecordedMap;
  /// Returns whether this host is cut off from the servers; may be null.
  std::function<bool()> m_isCutOff;
  /// Takes whether a call reached a server; may be null.
  std::function<void(const std::string &Server, bool IsReached)> m_onContact;
};

class GranterRunner {
public:
  GranterRunner(boost::asio::any_io_executor Executor, std::string Service,
                GranterRunnerPolicy Policy, GrantPolicy Grants,
                GatewayStore &Store, KeyServers &Servers, Roster &Hosts,
                EventLog &Log, GatewayMetrics &Metrics, GranterContext Context);

  /// Takes over, grants and renews until the process ends.
  boost::asio::awaitable<void> run();
  /// Takes over no further term. A term that this host has is renewed until
  /// another host takes it over.
  void stop() { m_isStopped = true; }
  /// Prepares for the end of the process: extends the holds to outlast most of
  /// an outage of the store if no candidate can take the term over because of
  /// it.
  void prepareExit();

  /// Requests the holders from other hosts and, once, reads the last recorded
  /// ones from the store, for a host that knows none. After the loss of all
  /// hosts, servers still hold their keys for a while; a server that does not
  /// hold a key says so.
  void lookUpHolders();

  /// Records the granter that another host knows.
  void noteKnownGranter(const KnownGranter &Granter);
  const KnownGranter &knownGranter() const { return m_knownGranter; }
  bool isGranter() const { return m_granter.isGranter(); }

  /// Handles a server's answer that it does not hold \p Value.
  void onNotHeld(Key Value) { m_granter.renewNow(Value); }

private:
  bool shouldTakeOver(TimePoint Now) const;
  /// Returns whether the store may have been unavailable to all hosts within
  /// the longest hold.
  bool wasStoreUnavailable() const;
  /// Returns whether the store may have lost records newer than \p Read.
  bool mayHaveLostRecords(const VersionedOwnership &Read) const;
  /// Returns the state of \p Granter that its heartbeats show.
  EarlierGranterState earlierGranterState(const EarlierGranter &Granter) const;
  boost::asio::awaitable<void> takeOver();
  boost::asio::awaitable<void> readRecordedHolders();
  boost::asio::awaitable<void> writeRecord(OwnershipRecord Record);
  /// Reads the record and steps down if another granter has taken over.
  boost::asio::awaitable<void> validateTerm();
  /// \p DecidedAt is when the granter returned \p Call.
  boost::asio::awaitable<void> executeCall(GrantCall Call, TimePoint DecidedAt);
  void stepDown(std::string_view Reason, const KnownGranter &Winner);
  void publishKeyMap();
  /// Counts rounds of placement by what ends them. Logs a change of what ends
  /// them, or of whether a server is overloaded.
  void notePlacement();
  std::vector<ServerEntry> serviceServers() const;

  boost::asio::any_io_executor m_executor;
  const std::string m_service;
  const GranterRunnerPolicy m_policy;
  const GrantPolicy m_grantPolicy;
  GatewayStore &m_store;
  KeyServers &m_servers;
  Roster &m_hosts;
  EventLog &m_log;
  GatewayMetrics &m_metrics;
  const GranterContext m_context;
  KeyGranter m_granter;
  KnownGranter m_knownGranter;
  RowVersion m_version; ///< Of the record's row, as last read or written.
  bool m_isStopped = false;
  bool m_isEnded = false;
  bool m_hasExtendedHolds = false; ///< See prepareExit().
  bool m_isValidating = false;
  unsigned m_pendingWrites = 0;
  /// Counts the takeovers of this process, because a takeover that is not
  /// written and the next one may have the same term.
  std::uint64_t m_takeOverCount = 0;
  TimePoint m_validatedAt{};
  TimePoint m_nextTakeOverAt;
  TimePoint m_nextLookupAt{};
  bool m_hasReadRecord = false; ///< By readRecordedHolders().
  /// As last logged; see logPlacement().
  PlacementLimit m_loggedLimit = PlacementLimit::None;
  bool m_wasOverloaded = false;
  TimePoint m_placementLoggedAt{};
  KeyMap m_published;
  std::uint64_t m_mapChangeCount = 0;
};

} // namespace tamarackdrum::gateway

#endif // TAMARACKDRUM_GATEWAY_GRANTER_RUNNER_H

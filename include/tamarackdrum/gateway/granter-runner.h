/// \file
/// Runs the key granter of one service at this host: takes it over when no
/// live host has it, carries out its calls and writes its records.

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
  /// How often a granter makes sure that its term is the newest.
  Millis m_validationInterval{1500};
  /// A granter that has not reached the store for this long gives way to a
  /// host that can.
  Millis m_storeLostTimeout{1500};
  /// A process that has just started hears the beats of the others first: the
  /// granter among them, or that its old process has ended. From the start of
  /// the process, and from that of the keeper: two beats.
  Millis m_startDelay{1000};
  Millis m_minStartDelay{500};
  /// Pause after a failed takeover or write.
  Millis m_retryDelay{400};

  bool operator==(const GranterRunnerPolicy &) const = default;
};

/// What the keeper needs to know of its host.
struct GranterContext {
  TimePoint m_startedAt{};                ///< Start of the process.
  bool m_isFirstStart = false;            ///< Of the whole site.
  std::function<Millis()> m_storeLostFor; ///< Since when it fails; 0 if not.
  std::function<Millis()>
      m_storeAvailableFor; ///< Span of good reads up to now.
  std::function<const std::map<std::string, ServerEntry> &()> m_servers;
  std::function<double(const std::string &Server)> m_serverCapacity;
  std::function<std::vector<KeyRate>()> m_keyDemand;
  /// Notes whether a call to the store that was made at a time succeeded.
  std::function<void(bool IsGood, TimePoint AskedAt)> m_onStoreCall;
  /// Takes a new map of holders.
  std::function<void(const KeyMap &)> m_onKeyMap;
  /// Asks other hosts for the holders that they know.
  std::function<void()> m_requestKeyMaps;
  /// Takes the holders of a granter that may be gone.
  std::function<void(const KeyMap &)> m_onRecordedMap;
};

class GranterRunner {
public:
  GranterRunner(boost::asio::any_io_executor Executor, std::string Service,
                GranterRunnerPolicy Policy, GrantPolicy Grants,
                GatewayStore &Store, KeyServers &Servers, Roster &Hosts,
                EventLog &Log, GatewayMetrics &Metrics, GranterContext View);

  /// Runs until stop().
  boost::asio::awaitable<void> run();
  /// Takes no further term; renews the one that it has until another host has
  /// taken it over.
  void stop() { m_isStopped = true; }
  /// Before the end of the process: if no host can take the term over since
  /// the store is away, lengthens the holds to last for most of the outage.
  void prepareExit();

  /// For a host that knows no holders: asks its peers and looks up, once, those
  /// of the last granter. After the loss of all hosts servers hold their keys
  /// for a while; whoever is asked in vain says that it does not hold the key.
  void lookUpHolders();

  /// Notes whom another host believes to be the granter.
  void noteKnownGranter(const KnownGranter &Claim);
  const KnownGranter &knownGranter() const { return m_knownGranter; }
  bool isGranter() const { return m_granter.isGranter(); }

  void onNotHeld(Key Value) { m_granter.renewNow(Value); }

private:
  bool shouldTakeOver(TimePoint Now) const;
  /// Returns whether the store may have been away for all hosts of late.
  bool wasStoreUnavailable() const;
  /// Returns whether records that came after \p Read may have been lost.
  bool mayHaveLostRecords(const VersionedOwnership &Read) const;
  /// Returns what is known of \p Old by its beats.
  EarlierGranterState earlierGranterState(const EarlierGranter &Old) const;
  boost::asio::awaitable<void> takeOver();
  boost::asio::awaitable<void> readRecordedHolders();
  boost::asio::awaitable<void> writeRecord(OwnershipRecord Record);
  boost::asio::awaitable<void> validateTerm();
  boost::asio::awaitable<void> executeCall(GrantCall Call);
  void stepDown(std::string_view Reason, const KnownGranter &Winner);
  void publishKeyMap();
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
  RowVersion m_version;     ///< Of the row, as last read or written.
  bool m_isStopped = false; ///< Takes no term any more.
  bool m_isEnded = false;
  bool m_hasExtendedHolds = false; ///< Its last holds are of the longest kind.
  bool m_isValidating = false;
  bool m_isWriting = false;
  TimePoint m_validatedAt{};
  TimePoint m_nextTakeOverAt;
  TimePoint m_nextLookupAt{};
  bool m_hasReadRecord = false; ///< The last granter's holders have been read.
  KeyMap m_published;
  std::uint64_t m_mapChangeCount = 0;
};

} // namespace tamarackdrum::gateway

#endif // TAMARACKDRUM_GATEWAY_GRANTER_RUNNER_H

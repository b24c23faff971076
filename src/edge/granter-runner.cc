#include "tamarackdrum/gateway/granter-runner.h"

#include "tamarackdrum/error.h"
#include "tamarackdrum/sleep.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace tamarackdrum::gateway {
namespace {

namespace asio = boost::asio;

/// The upper bits of a key map's version are the term; these lower ones count
/// the changes within the term.
constexpr unsigned ChangeBits = 24;
/// What ends a round may alternate between two causes each 200 ms.
constexpr Millis MinPlacementLogInterval{1000};

const char *toText(GrantResult Value) {
  switch (Value) {
  case GrantResult::Done:
    return "done";
  case GrantResult::HigherFence:
    return "higher-fence";
  case GrantResult::NotSent:
    return "not-sent";
  case GrantResult::Unproven:
    return "unproven";
  case GrantResult::NoAnswer:
    return "no-answer";
  case GrantResult::ConnectionLost:
    return "connection-lost";
  }
  return "unknown";
}

} // namespace

GranterRunner::GranterRunner(asio::any_io_executor Executor,
                             std::string Service, GranterRunnerPolicy Policy,
                             GrantPolicy Grants, GatewayStore &Store,
                             KeyServers &Servers, Roster &Hosts, EventLog &Log,
                             GatewayMetrics &Metrics, GranterContext Context)
    : m_executor(std::move(Executor)), m_service(std::move(Service)),
      m_policy(Policy), m_grantPolicy(Grants), m_store(Store),
      m_servers(Servers), m_hosts(Hosts), m_log(Log), m_metrics(Metrics),
      m_context(std::move(Context)),
      m_granter(Grants, Hosts.self().m_name, Hosts.self().m_processStartMs),
      m_nextTakeOverAt(std::max(m_context.m_startedAt + Policy.m_startDelay,
                                BootClock::now() + Policy.m_minStartDelay)) {}

void GranterRunner::prepareExit() {
  const TimePoint Now = BootClock::now();
  bool HasPeers = false;
  for (const HostInfo &Peer : m_hosts.candidates(Now)) {
    const Heartbeat *Beat = m_hosts.lastHeartbeat(Peer.m_name);
    if (Peer.m_name == m_hosts.self().m_name || Beat == nullptr)
      continue;
    HasPeers = true;
    if (Beat->m_storeLostMs == 0)
      return;
  }
  if (!HasPeers || m_context.m_storeLostFor() == Millis(0))
    return;
  m_granter.extendHolds();
  m_hasExtendedHolds = true;
}

void GranterRunner::noteKnownGranter(const KnownGranter &Granter) {
  if (Granter.m_term <= m_knownGranter.m_term)
    return;
  // By announcing a newer term, a host tells the next granter that its own
  // holds are not extended.
  if (!m_hasExtendedHolds)
    m_knownGranter = Granter;
  if (m_granter.isGranter() && Granter.m_term > m_granter.term())
    stepDown("a peer knows a newer term", Granter);
}

void GranterRunner::stepDown(std::string_view Reason,
                             const KnownGranter &Winner) {
  m_granter.stepDown();
  m_log.write("granter-lost", {{"service", m_service},
                               {"reason", Reason},
                               {"term", Winner.m_term},
                               {"granter", Winner.m_host}});
}

std::vector<ServerEntry> GranterRunner::serviceServers() const {
  std::vector<ServerEntry> Out;
  for (const auto &[Id, Entry] : m_context.m_servers())
    if (Entry.m_service == m_service)
      Out.push_back(Entry);
  return Out;
}

EarlierGranterState
GranterRunner::earlierGranterState(const EarlierGranter &Granter) const {
  const HostInfo &Self = m_hosts.self();
  if (Granter.m_host == Self.m_name &&
      Granter.m_processStartMs == Self.m_processStartMs)
    return EarlierGranterState::SteppedDown;
  if (m_hosts.processStartMs(Granter.m_host) > Granter.m_processStartMs)
    return EarlierGranterState::ProcessEnded;
  const Heartbeat *Beat = m_hosts.lastHeartbeat(Granter.m_host);
  if (Beat == nullptr ||
      Beat->m_host.m_processStartMs != Granter.m_processStartMs)
    return EarlierGranterState::MayGrant;
  const auto Known = Beat->m_granters.find(m_service);
  // A granter that has restated its record has a newer term itself and goes on.
  const bool KnowsNewerTerm = Known != Beat->m_granters.end() &&
                              Known->second.m_term > Granter.m_term &&
                              Known->second.m_host != Granter.m_host;
  return KnowsNewerTerm ? EarlierGranterState::SteppedDown
                        : EarlierGranterState::MayGrant;
}

bool GranterRunner::wasStoreUnavailable() const {
  const Millis Window = m_grantPolicy.m_maxHold + m_policy.m_storeLostTimeout;
  if (m_context.m_storeAvailableFor() > Window)
    return false;
  for (const HostInfo &Peer : m_hosts.candidates(BootClock::now())) {
    const Heartbeat *Beat = m_hosts.lastHeartbeat(Peer.m_name);
    if (Beat != nullptr && Millis(Beat->m_storeAvailableMs) > Window)
      return false;
  }
  return true;
}

bool GranterRunner::mayHaveLostRecords(const VersionedOwnership &Read) const {
  if (!isOfEarlierEra(Read.m_record, Read.m_version.m_era))
    return false;
  // The first granter of a new site has no predecessor.
  const bool IsNewSite = m_context.m_isFirstStart &&
                         Read.m_record.m_term == 0 &&
                         m_knownGranter.m_term == 0;
  return !IsNewSite;
}

bool GranterRunner::shouldTakeOver(TimePoint Now) const {
  if (m_isStopped || m_granter.isGranter() || Now < m_nextTakeOverAt ||
      m_context.m_storeLostFor() > Millis(0) ||
      (m_context.m_isCutOff && m_context.m_isCutOff()))
    return false;
  return isNextGranter(m_hosts, m_knownGranter, m_policy.m_storeLostTimeout,
                       Now);
}

void GranterRunner::lookUpHolders() {
  const TimePoint Now = BootClock::now();
  if (Now < m_nextLookupAt)
    return;
  m_nextLookupAt = Now + m_policy.m_retryDelay;
  m_context.m_requestKeyMaps();
  if (!m_hasReadRecord && m_context.m_storeLostFor() == Millis(0))
    asio::co_spawn(m_executor, readRecordedHolders(), asio::detached);
}

asio::awaitable<void> GranterRunner::readRecordedHolders() {
  const TimePoint SentAt = BootClock::now();
  const Result<VersionedOwnership> Read =
      co_await m_store.readOwnership(m_service);
  m_context.m_onStoreCall(Read.has_value(), SentAt);
  if (!Read) {
    m_log.write("holders-unknown",
                {{"service", m_service}, {"reason", Read.error().message()}});
    co_return;
  }
  m_hasReadRecord = true;
  const OwnershipRecord &Found = Read.value().m_record;
  m_log.write("holders-recalled", {{"service", m_service},
                                   {"term", Found.m_term},
                                   {"granter", Found.m_granter},
                                   {"ranges", Found.m_ranges.size()}});
  if (Found.m_term > 0)
    m_context.m_onRecordedMap(recordedMap(Found));
}

asio::awaitable<void> GranterRunner::takeOver() {
  const TimePoint SentAt = BootClock::now();
  m_nextTakeOverAt = SentAt + m_policy.m_retryDelay;
  const Result<VersionedOwnership> Read =
      co_await m_store.readOwnership(m_service);
  m_context.m_onStoreCall(Read.has_value(), SentAt);
  if (!Read) {
    m_log.write("granter-read-failed",
                {{"service", m_service}, {"reason", Read.error().message()}});
    co_return;
  }
  const OwnershipRecord &Old = Read.value().m_record;
  const TimePoint Now = BootClock::now();
  if (Old.m_term > m_knownGranter.m_term) {
    // The record names a newer granter than the heartbeats did. A live one is
    // kept, unless isNextGranter() replaces it at the next attempt.
    m_knownGranter = {Old.m_term, Old.m_granter, Old.m_granterStartMs};
    if (Old.m_granter != m_hosts.self().m_name &&
        m_hosts.isAlive(Old.m_granter, Now) &&
        m_hosts.processStartMs(Old.m_granter) == Old.m_granterStartMs)
      co_return;
  }
  m_version = Read.value().m_version;
  const auto State = [this](const EarlierGranter &Item) {
    return earlierGranterState(Item);
  };
  // The store's time at the read is equated with the arrival of the answer, so
  // that waits end too late rather than too early.
  const TakeOverContext Basis{Read.value().m_storeMs, wasStoreUnavailable(),
                              m_version.m_era,
                              mayHaveLostRecords(Read.value())};
  ++m_takeOverCount;
  m_granter.takeOver(Old, State, Basis, Now);
  m_granter.setServers(serviceServers(), Now);
  m_log.write("granter-takeover",
              {{"service", m_service},
               {"term", m_granter.term()},
               {"from", Old.m_granter},
               {"era", Basis.m_era},
               {"record_old", Basis.m_isRecordFromEarlierEra},
               {"record_confirmed", Old.m_isConfirmed},
               {"holds_lapse_ms", m_granter.inheritedHoldsLeft(Now).count()},
               {"ranges", Old.m_ranges.size()}});
}

asio::awaitable<void> GranterRunner::writeRecord(OwnershipRecord Record) {
  ++m_pendingWrites;
  const std::uint64_t TakeOver = m_takeOverCount;
  const auto IsCurrent = [this, TakeOver, Term = Record.m_term] {
    return m_granter.isGranter() && m_takeOverCount == TakeOver &&
           m_granter.term() == Term;
  };
  const TimePoint SentAt = BootClock::now();
  const Result<RowVersion> Written =
      co_await m_store.writeOwnership(m_service, Record, m_version);
  --m_pendingWrites;
  if (!IsCurrent())
    co_return;
  if (Written) {
    m_version = Written.value();
    m_granter.onWritten(SentAt, BootClock::now());
    m_knownGranter = {Record.m_term, Record.m_granter, Record.m_granterStartMs};
    m_log.write("ownership-written", {{"service", m_service},
                                      {"term", Record.m_term},
                                      {"version", m_version.m_number},
                                      {"era", m_version.m_era},
                                      {"ranges", Record.m_ranges.size()}});
    co_return;
  }
  m_log.write("ownership-write-failed",
              {{"service", m_service}, {"reason", Written.error().message()}});
  // Only another read shows whether the write took effect.
  co_await validateTerm();
  co_await sleepFor(m_policy.m_retryDelay);
  if (IsCurrent())
    m_granter.onWriteFailed();
}

asio::awaitable<void> GranterRunner::validateTerm() {
  m_isValidating = true;
  const RowVersion Before = m_version;
  const TimePoint SentAt = BootClock::now();
  const Result<VersionedOwnership> Read =
      co_await m_store.readOwnership(m_service);
  m_isValidating = false;
  m_context.m_onStoreCall(Read.has_value(), SentAt);
  if (!Read || !m_granter.isGranter())
    co_return;
  const OwnershipRecord &Found = Read.value().m_record;
  if (Found.m_term > m_granter.term() ||
      (Found.m_term == m_granter.term() &&
       (Found.m_granter != m_hosts.self().m_name ||
        Found.m_granterStartMs != m_hosts.self().m_processStartMs))) {
    m_knownGranter = {Found.m_term, Found.m_granter, Found.m_granterStartMs};
    stepDown("the store names another granter", m_knownGranter);
    co_return;
  }
  const bool IsOfEarlierEra =
      isOfEarlierEra(Found, Read.value().m_version.m_era);
  if (IsOfEarlierEra && (m_granter.isInForce() || m_granter.isRestating())) {
    // This process knows newer records than the restored copy.
    if (m_pendingWrites > 0 || m_version != Before)
      co_return;
    m_version = Read.value().m_version;
    if (!m_granter.restate(m_version.m_era, BootClock::now())) {
      stepDown("the store has lost records, and the last validation is too old",
               {Found.m_term, Found.m_granter, Found.m_granterStartMs});
      co_return;
    }
    m_log.write("ownership-restated", {{"service", m_service},
                                       {"era", m_version.m_era},
                                       {"term", m_granter.term()},
                                       {"found_term", Found.m_term},
                                       {"found_granter", Found.m_granter}});
    co_return;
  }
  if (Found.m_term < m_granter.term() || IsOfEarlierEra) {
    // The takeover was not written in this era, and the record may have changed
    // since it was read. The next takeover starts from the current record.
    if (m_pendingWrites == 0)
      stepDown("the takeover was not written",
               {Found.m_term, Found.m_granter, Found.m_granterStartMs});
    co_return;
  }
  m_validatedAt = SentAt;
  if (m_pendingWrites == 0)
    m_version = Read.value().m_version;
  m_granter.onValidated(SentAt);
}

asio::awaitable<void> GranterRunner::executeCall(GrantCall Call,
                                                 TimePoint DecidedAt) {
  const Millis Timeout = Call.m_isRelease ? m_grantPolicy.m_releaseTimeout
                                          : m_grantPolicy.m_callTimeout;
  const GrantReply Reply = co_await m_servers.call(Call, DecidedAt + Timeout);
  const TimePoint Now = BootClock::now();
  m_metrics.count("grant_calls",
                  std::string("result=\"") + toText(Reply.m_result) + "\"");
  if (m_context.m_onContact && Reply.m_result != GrantResult::Unproven)
    m_context.m_onContact(Call.m_server.m_id,
                          Reply.m_result == GrantResult::Done ||
                              Reply.m_result == GrantResult::HigherFence);
  const Millis Took = std::chrono::duration_cast<Millis>(Now - DecidedAt);
  if (Reply.m_result != GrantResult::Done || Call.m_isRelease)
    m_log.write(Call.m_isRelease ? "keys-released" : "grant-failed",
                {{"service", m_service},
                 {"server", Call.m_server.m_id},
                 {"from", Call.m_from},
                 {"to", Call.m_to},
                 {"fence", Call.m_fence},
                 {"result", toText(Reply.m_result)},
                 {"took_ms", Took}});
  m_granter.onCallResult(Call.m_number, Reply.m_result, Reply.m_handover, Now,
                         Reply.m_writtenAt);
  publishKeyMap();
}

void GranterRunner::publishKeyMap() {
  if (!m_granter.isInForce())
    return;
  const KeyMap Current = m_granter.keyMap(BootClock::now());
  if (Current.ranges() == m_published.ranges() &&
      Current.version() == m_published.version() >> ChangeBits)
    return;
  m_published = KeyMap((Current.version() << ChangeBits) + ++m_mapChangeCount,
                       Current.ranges());
  m_context.m_onKeyMap(m_published);
}

void GranterRunner::notePlacement() {
  const Placement &Last = m_granter.lastPlacement();
  const std::string Limit = toText(Last.m_limit);
  m_metrics.count("placement_rounds", "limit=\"" + Limit + "\"");
  const bool IsOverloaded = Last.m_busiestUtilization >
                            m_grantPolicy.m_placement.m_overloadedUtilization;
  // While no server is overloaded, it does not matter what ends the rounds.
  const bool HasChanged = IsOverloaded != m_wasOverloaded ||
                          (IsOverloaded && Last.m_limit != m_loggedLimit);
  const TimePoint Now = BootClock::now();
  if (!HasChanged || Now - m_placementLoggedAt < MinPlacementLogInterval)
    return;
  m_placementLoggedAt = Now;
  m_loggedLimit = Last.m_limit;
  m_wasOverloaded = IsOverloaded;
  m_log.write("placement-limited",
              {{"service", m_service},
               {"limit", Limit},
               {"moves", Last.m_moves.size()},
               {"busiest", Last.m_busiest},
               {"utilization", Last.m_busiestUtilization}});
}

asio::awaitable<void> GranterRunner::run() {
  while (!m_isEnded) {
    const TimePoint Now = BootClock::now();
    m_hosts.noteRunning(Now);
    if (shouldTakeOver(Now))
      co_await takeOver();
    if (m_granter.isGranter()) {
      m_granter.updateEarlierGranters(
          [this](const EarlierGranter &Item) {
            return earlierGranterState(Item);
          },
          Now);
      m_granter.setServers(serviceServers(), Now);
      if (m_granter.plan(m_context.m_keyDemand, m_context.m_serverCapacity,
                         Now))
        notePlacement();
      const TimePoint SteppedAt = BootClock::now();
      GrantActions Actions = m_granter.step(SteppedAt);
      for (GrantCall &Call : Actions.m_calls)
        asio::co_spawn(m_executor, executeCall(std::move(Call), SteppedAt),
                       asio::detached);
      if (Actions.m_write)
        asio::co_spawn(m_executor, writeRecord(std::move(*Actions.m_write)),
                       asio::detached);
      const bool IsDue = Now - m_validatedAt > m_policy.m_validationInterval ||
                         m_store.era() > m_version.m_era ||
                         m_granter.needsValidation();
      if (IsDue && !m_isValidating && m_pendingWrites == 0)
        asio::co_spawn(m_executor, validateTerm(), asio::detached);
      publishKeyMap();
    }
    co_await sleepFor(m_policy.m_stepInterval);
  }
}

} // namespace tamarackdrum::gateway

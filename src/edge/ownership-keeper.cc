#include "tamarackdrum/gateway/ownership-keeper.h"

#include "tamarackdrum/error.h"
#include "tamarackdrum/sleep.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace tamarackdrum::gateway {
namespace {

namespace asio = boost::asio;

/// Versions of key maps: the term above, changes within it below.
constexpr unsigned MapChangeBits = 24;

const char *toText(GrantResult Value) {
  switch (Value) {
  case GrantResult::Done:
    return "done";
  case GrantResult::HigherFence:
    return "higher-fence";
  case GrantResult::NotSent:
    return "not-sent";
  case GrantResult::NoAnswer:
    return "no-answer";
  }
  return "unknown";
}

} // namespace

OwnershipKeeper::OwnershipKeeper(asio::any_io_executor Executor,
                                 std::string Service, KeeperPolicy Policy,
                                 GrantPolicy Grants, GatewayStore &Store,
                                 KeyServers &Servers, Roster &Hosts,
                                 EventLog &Log, GatewayMetrics &Metrics,
                                 KeeperView View)
    : m_executor(std::move(Executor)), m_service(std::move(Service)),
      m_policy(Policy), m_grants(Grants), m_store(Store), m_servers(Servers),
      m_hosts(Hosts), m_log(Log), m_metrics(Metrics), m_view(std::move(View)),
      m_granter(Grants, Hosts.self().m_name, Hosts.self().m_life),
      m_nextTakeOver(std::max(m_view.m_startedAt + Policy.m_startPause,
                              BootClock::now() + Policy.m_leastPause)) {}

void OwnershipKeeper::leave() {
  const TimePoint Now = BootClock::now();
  bool HearsPeers = false;
  for (const HostInfo &Peer : m_hosts.anchors(Now)) {
    const HostBeat *Beat = m_hosts.lastBeat(Peer.m_name);
    if (Peer.m_name == m_hosts.self().m_name || Beat == nullptr)
      continue;
    HearsPeers = true;
    if (Beat->m_storeLostMs == 0)
      return;
  }
  if (!HearsPeers || m_view.m_storeLost() == Millis(0))
    return;
  m_granter.extendHolds();
  m_hasLengthened = true;
}

void OwnershipKeeper::noteClaim(const GranterClaim &Claim) {
  if (Claim.m_term <= m_claim.m_term)
    return;
  // To name a newer term means to have given way with holds of usual length.
  if (!m_hasLengthened)
    m_claim = Claim;
  if (m_granter.isGranter() && Claim.m_term > m_granter.term())
    lose("a peer knows a newer term", Claim);
}

void OwnershipKeeper::lose(std::string_view Reason,
                           const GranterClaim &Winner) {
  m_granter.stepDown();
  m_log.write("granter-lost", {{"service", m_service},
                               {"reason", Reason},
                               {"term", Winner.m_term},
                               {"granter", Winner.m_host}});
}

std::vector<ServerEntry> OwnershipKeeper::ownServers() const {
  std::vector<ServerEntry> Out;
  for (const auto &[Id, Entry] : m_view.m_servers())
    if (Entry.m_service == m_service)
      Out.push_back(Entry);
  return Out;
}

EarlierGranterState OwnershipKeeper::stateOf(const EarlierGranter &Old) const {
  const HostInfo &Self = m_hosts.self();
  if (Old.m_host == Self.m_name && Old.m_processStartMs == Self.m_life)
    return EarlierGranterState::SteppedDown;
  if (m_hosts.lifeOf(Old.m_host) > Old.m_processStartMs)
    return EarlierGranterState::ProcessEnded;
  const HostBeat *Beat = m_hosts.lastBeat(Old.m_host);
  if (Beat == nullptr || Beat->m_host.m_life != Old.m_processStartMs)
    return EarlierGranterState::MayGrant;
  const auto Claim = Beat->m_claims.find(m_service);
  const bool KnowsNewer =
      Claim != Beat->m_claims.end() && Claim->second.m_term > Old.m_term;
  return KnowsNewer ? EarlierGranterState::SteppedDown
                    : EarlierGranterState::MayGrant;
}

bool OwnershipKeeper::wasStoreAway() const {
  const Millis Since = m_grants.m_maxHold + m_policy.m_staleStore;
  if (m_view.m_storeGood() > Since)
    return false;
  for (const HostInfo &Peer : m_hosts.anchors(BootClock::now())) {
    const HostBeat *Beat = m_hosts.lastBeat(Peer.m_name);
    if (Beat != nullptr && Millis(Beat->m_storeGoodMs) > Since)
      return false;
  }
  return true;
}

bool OwnershipKeeper::isRecordOld(const VersionedOwnership &Read) const {
  if (!isOfEarlierEra(Read.m_record, Read.m_version.m_era))
    return false;
  // The first granter of a new site has nobody before it.
  const bool IsNewSite =
      m_view.m_isFirstStart && Read.m_record.m_term == 0 && m_claim.m_term == 0;
  return !IsNewSite;
}

bool OwnershipKeeper::shouldTakeOver(TimePoint Now) const {
  if (m_isStopped || m_granter.isGranter() || Now < m_nextTakeOver ||
      m_view.m_storeLost() > Millis(0))
    return false;
  return isNextGranter(m_hosts, m_claim, m_policy.m_staleStore, Now);
}

void OwnershipKeeper::recallHolders() {
  const TimePoint Now = BootClock::now();
  if (Now < m_nextRecall)
    return;
  m_nextRecall = Now + m_policy.m_retryPause;
  m_view.m_askPeers();
  if (!m_hasRecord && m_view.m_storeLost() == Millis(0))
    asio::co_spawn(m_executor, readHolders(), asio::detached);
}

asio::awaitable<void> OwnershipKeeper::readHolders() {
  const TimePoint AskedAt = BootClock::now();
  const Result<VersionedOwnership> Read =
      co_await m_store.readOwnership(m_service);
  m_view.m_onStore(Read.has_value(), AskedAt);
  if (!Read) {
    m_log.write("holders-unknown",
                {{"service", m_service}, {"reason", Read.error().message()}});
    co_return;
  }
  m_hasRecord = true;
  const OwnershipRecord &Found = Read.value().m_record;
  m_log.write("holders-recalled", {{"service", m_service},
                                   {"term", Found.m_term},
                                   {"granter", Found.m_granter},
                                   {"ranges", Found.m_ranges.size()}});
  if (Found.m_term > 0)
    m_view.m_onRecordedMap(recordedMap(Found));
}

asio::awaitable<void> OwnershipKeeper::takeOver() {
  const TimePoint AskedAt = BootClock::now();
  m_nextTakeOver = AskedAt + m_policy.m_retryPause;
  const Result<VersionedOwnership> Read =
      co_await m_store.readOwnership(m_service);
  m_view.m_onStore(Read.has_value(), AskedAt);
  if (!Read) {
    m_log.write("granter-read-failed",
                {{"service", m_service}, {"reason", Read.error().message()}});
    co_return;
  }
  const OwnershipRecord &Old = Read.value().m_record;
  const TimePoint Now = BootClock::now();
  if (Old.m_term > m_claim.m_term) {
    // The row knows more than the beats did: look again at that host first.
    m_claim = {Old.m_term, Old.m_granter, Old.m_granterStartMs};
    if (Old.m_granter != m_hosts.self().m_name &&
        m_hosts.isAlive(Old.m_granter, Now) &&
        m_hosts.lifeOf(Old.m_granter) == Old.m_granterStartMs)
      co_return;
  }
  m_version = Read.value().m_version;
  const auto State = [this](const EarlierGranter &Item) {
    return stateOf(Item);
  };
  // The store's time of the answer is taken as that of the question: what has
  // to be waited for ends later rather than earlier.
  const TakeOverContext Basis{Read.value().m_storeMs, wasStoreAway(),
                              m_version.m_era, isRecordOld(Read.value())};
  m_granter.takeOver(Old, State, Basis, Now);
  m_granter.setServers(ownServers(), Now);
  m_log.write("granter-takeover",
              {{"service", m_service},
               {"term", m_granter.term()},
               {"from", Old.m_granter},
               {"era", Basis.m_era},
               {"record_old", Basis.m_isRecordFromEarlierEra},
               {"holds_lapse_ms", m_granter.inheritedHoldsLeft(Now).count()},
               {"ranges", Old.m_ranges.size()}});
}

asio::awaitable<void> OwnershipKeeper::write(OwnershipRecord Record) {
  m_isWriting = true;
  const TimePoint AskedAt = BootClock::now();
  const Result<RowVersion> Written =
      co_await m_store.writeOwnership(m_service, Record, m_version);
  m_isWriting = false;
  if (!m_granter.isGranter() || m_granter.term() != Record.m_term)
    co_return;
  if (Written) {
    m_version = Written.value();
    m_granter.onWritten(AskedAt, BootClock::now());
    m_claim = {Record.m_term, Record.m_granter, Record.m_granterStartMs};
    m_log.write("ownership-written", {{"service", m_service},
                                      {"term", Record.m_term},
                                      {"version", m_version.m_number},
                                      {"era", m_version.m_era},
                                      {"ranges", Record.m_ranges.size()}});
    co_return;
  }
  m_log.write("ownership-write-failed",
              {{"service", m_service}, {"reason", Written.error().message()}});
  // Only a row that has been read again shows what became of the write.
  co_await validate();
  co_await sleepFor(m_policy.m_retryPause);
  if (m_granter.isGranter())
    m_granter.onWriteFailed();
}

asio::awaitable<void> OwnershipKeeper::validate() {
  m_isValidating = true;
  const RowVersion Before = m_version;
  const TimePoint AskedAt = BootClock::now();
  const Result<VersionedOwnership> Read =
      co_await m_store.readOwnership(m_service);
  m_isValidating = false;
  m_view.m_onStore(Read.has_value(), AskedAt);
  if (!Read || !m_granter.isGranter())
    co_return;
  const OwnershipRecord &Found = Read.value().m_record;
  if (Found.m_term > m_granter.term() ||
      (Found.m_term == m_granter.term() &&
       (Found.m_granter != m_hosts.self().m_name ||
        Found.m_granterStartMs != m_hosts.self().m_life))) {
    m_claim = {Found.m_term, Found.m_granter, Found.m_granterStartMs};
    lose("the store names another", m_claim);
    co_return;
  }
  if (isOfEarlierEra(Found, Read.value().m_version.m_era) &&
      (m_granter.isInForce() || m_granter.isRestating())) {
    // What this process knows is newer than the copy.
    if (m_isWriting || m_version != Before)
      co_return;
    m_version = Read.value().m_version;
    if (!m_granter.restate(m_version.m_era, BootClock::now())) {
      lose("the store has lost records, and the last look is too long ago",
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
  if (Found.m_term < m_granter.term()) {
    // The takeover has not taken effect, and the row may have changed since it
    // was read: it must begin anew from there.
    if (!m_isWriting)
      lose("the takeover was not written",
           {Found.m_term, Found.m_granter, Found.m_granterStartMs});
    co_return;
  }
  m_validatedAt = AskedAt;
  if (!m_isWriting)
    m_version = Read.value().m_version;
  m_granter.onValidated(AskedAt);
}

asio::awaitable<void> OwnershipKeeper::carryOut(GrantCall Call) {
  const Millis Timeout =
      Call.m_isRelease ? m_grants.m_releaseTimeout : m_grants.m_callTimeout;
  const TimePoint StartedAt = BootClock::now();
  const GrantReply Reply = co_await m_servers.call(Call, Timeout);
  const TimePoint Now = BootClock::now();
  m_metrics.count("grant_calls",
                  std::string("result=\"") + toText(Reply.m_result) + "\"");
  const Millis Took = std::chrono::duration_cast<Millis>(Now - StartedAt);
  if (Reply.m_result != GrantResult::Done || Call.m_isRelease)
    m_log.write(Call.m_isRelease ? "keys-released" : "grant-failed",
                {{"service", m_service},
                 {"server", Call.m_server.m_id},
                 {"from", Call.m_from},
                 {"to", Call.m_to},
                 {"fence", Call.m_fence},
                 {"result", toText(Reply.m_result)},
                 {"took_ms", Took}});
  m_granter.onCallResult(Call.m_number, Reply.m_result, Reply.m_handover, Now);
  publish();
}

void OwnershipKeeper::publish() {
  if (!m_granter.isInForce())
    return;
  const KeyMap Current = m_granter.keyMap(BootClock::now());
  if (Current.ranges() == m_published.ranges() &&
      Current.version() == m_published.version() >> MapChangeBits)
    return;
  m_published = KeyMap((Current.version() << MapChangeBits) + ++m_mapChanges,
                       Current.ranges());
  m_view.m_onKeyMap(m_published);
}

asio::awaitable<void> OwnershipKeeper::run() {
  while (!m_isEnded) {
    const TimePoint Now = BootClock::now();
    if (shouldTakeOver(Now))
      co_await takeOver();
    if (m_granter.isGranter()) {
      m_granter.updateEarlierGranters(
          [this](const EarlierGranter &Item) { return stateOf(Item); }, Now);
      m_granter.setServers(ownServers(), Now);
      m_granter.plan(m_view.m_demand, m_view.m_rateOf, Now);
      GrantActions Wanted = m_granter.step(BootClock::now());
      for (GrantCall &Call : Wanted.m_calls)
        asio::co_spawn(m_executor, carryOut(std::move(Call)), asio::detached);
      if (Wanted.m_write)
        asio::co_spawn(m_executor, write(std::move(*Wanted.m_write)),
                       asio::detached);
      const bool IsDue = Now - m_validatedAt > m_policy.m_validateEvery ||
                         m_store.era() > m_version.m_era ||
                         m_granter.needsValidation();
      if (IsDue && !m_isValidating && !m_isWriting)
        asio::co_spawn(m_executor, validate(), asio::detached);
      publish();
    }
    co_await sleepFor(m_policy.m_stepEvery);
  }
}

} // namespace tamarackdrum::gateway

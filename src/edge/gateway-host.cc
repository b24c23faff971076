#include "tamarackdrum/gateway/gateway-host.h"

#include "tamarackdrum/error.h"
#include "tamarackdrum/sleep.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <ctime>
#include <random>

namespace tamarackdrum::gateway {
namespace {

namespace asio = boost::asio;

/// Crashes after which a request is refused. The requirements allow a request
/// to crash three servers.
constexpr unsigned CrashesToRefuse = 3;
/// Other hosts learn of an answer before they refuse its request.
constexpr unsigned CrashesToVoid = CrashesToRefuse - 1;
/// Bodies may take the process's memory divided by this. Without bodies, a
/// process needs less than half of its memory.
constexpr std::size_t BodyMemoryDivisor = 4;
/// As above, for the bodies of requests of other hosts.
constexpr std::size_t RelayMemoryDivisor = 32;

double processCpuMs() {
  return 1000.0 * static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

PoisonPolicy poisonPolicy(const HostPolicy &Policy) {
  PoisonPolicy Out;
  Out.m_crashesToRefuse = CrashesToRefuse;
  Out.m_crashesToVoid = CrashesToVoid;
  // A report names the start of the server process, which ends only once.
  Out.m_sameCrash = Out.m_timeToLive;
  Out.m_trialDelay = Policy.m_trialDelay;
  return Out;
}

DispatchPolicy dispatchPolicy(const GatewaySettings &Settings) {
  DispatchPolicy Out;
  Out.m_retries = Settings.m_retries;
  Out.m_coldBound = Settings.m_coldBound;
  Out.m_rateSeed = hashKey(Settings.m_host.m_name);
  Out.m_judgesByHost = Settings.m_contactBound > Millis(0);
  return Out;
}

RelayPolicy relayPolicy(const GatewaySettings &Settings) {
  RelayPolicy Out;
  Out.m_maxServedBytes = std::min(
      Out.m_maxServedBytes, Settings.m_memoryLimitBytes / RelayMemoryDivisor);
  return Out;
}

EdgePolicy edgePolicy(EdgePolicy Out, const GatewaySettings &Settings) {
  Out.m_maxBufferedBytes = std::min(
      Out.m_maxBufferedBytes, Settings.m_memoryLimitBytes / BodyMemoryDivisor);
  return Out;
}

} // namespace

GatewayHost::GatewayHost(asio::any_io_executor Executor, HostPolicy Policy,
                         GatewaySettings Settings, GatewayStore &Store,
                         KeyServers &Servers, EventLog &Log)
    : m_executor(Executor), m_policy(Policy), m_settings(std::move(Settings)),
      m_store(Store), m_keyServers(Servers), m_log(Log),
      m_poison(poisonPolicy(Policy)),
      m_hosts(RosterPolicy{}, m_settings.m_host),
      m_feed(Executor, Policy.m_feed, m_settings, Store, m_hosts, Log,
             m_metrics, feedEvents()),
      m_pool(PoolPolicy{}), m_upstreams(m_pool, m_settings.m_headers),
      m_contacts(
          Executor, m_settings.m_contactBound > Millis(0), m_hosts, m_upstreams,
          Log, m_metrics,
          [this]() -> const Reachability::Servers & {
            return m_feed.servers();
          },
          [this](const std::string &Service) { return healthPathOf(Service); }),
      m_admission(Executor, Policy.m_admission, dispatchPolicy(m_settings),
                  m_hosts, Log),
      m_network(Executor, PeerNetworkPolicy{}, m_hosts, m_settings.m_peerPort,
                Log, m_metrics, peerEvents()),
      m_relay(
          Executor, relayPolicy(m_settings), m_hosts, m_upstreams, m_contacts,
          Log, m_metrics,
          [this](const std::string &Id) { return findServer(Id); },
          [this](Fingerprint Request, const ServerEntry &Server) {
            m_edge.handleBrokenOff(Request, Server);
          }),
      m_edge(Executor, edgePolicy(Policy.m_edge, m_settings), m_settings,
             m_admission, m_upstreams, m_poison, Log, m_metrics, m_hosts,
             m_contacts, m_relay, edgeView()),
      m_readinessServer(Executor, [this](std::string_view) {
        return isReady() ? TextResponse{200, "ready\n"}
                         : TextResponse{503, "not ready\n"};
      }) {
  m_admission.setNetwork(m_network);
  m_relay.setNetwork(m_network);
  m_feed.setNetwork(m_network);
}

FeedEvents GatewayHost::feedEvents() {
  FeedEvents Out;
  Out.m_onConfiguration = [this] { onConfiguration(); };
  Out.m_onServers = [this](const DirectoryChange &Change) {
    onServers(Change);
  };
  Out.m_onFollower = [this](std::uint32_t Link) {
    sendCrashes(Link);
    for (const auto &[Service, Feed] : m_followerFeeds)
      if (Feed.lastSent().version() > 0)
        m_network.reply(Link,
                        KeyMapMessage{Service, fullUpdate(Feed.lastSent())});
  };
  return Out;
}

PeerEvents GatewayHost::peerEvents() {
  PeerEvents Out;
  Out.m_onMessage = [this](std::uint32_t Link, const std::string &Host,
                           PeerMessage &Message) {
    onMessage(Link, Host, Message);
  };
  Out.m_onLinkDown = [this](std::uint32_t Link, const std::string &Host,
                            bool IsOutgoing) {
    // The host counts as dead until its next heartbeat, so that another one
    // coordinates its services at once.
    if (IsOutgoing)
      m_hosts.markUnreachable(Host);
    m_feed.onLinkDown(Host);
    m_admission.onLinkDown(Link);
    m_relay.onLinkDown(Link);
  };
  Out.m_makeHello = [this](const std::string &Host) {
    return HelloMessage{m_hosts.self(),
                        m_admission.dispatchesCoordinatedBy(Host),
                        m_feed.isFollowing(Host), m_admission.limitsFor(Host),
                        m_admission.coldServersFor(Host)};
  };
  Out.m_makeHeartbeat = [this](const Heartbeat *Received) {
    return makeHeartbeat(Received);
  };
  Out.m_onHeartbeat = [this](const Heartbeat &Beat) { onHeartbeat(Beat); };
  return Out;
}

EdgeServer::Callbacks GatewayHost::edgeView() {
  EdgeServer::Callbacks Out;
  Out.m_routes = [this] { return m_feed.routes(); };
  Out.m_hasServers = [this] { return !m_feed.servers().empty(); };
  Out.m_findServer = [this](const std::string &Id) { return findServer(Id); };
  Out.m_onNotHeld = [this](const std::string &Service, Key Value) {
    const auto Runner = m_granterRunners.find(Service);
    if (Runner == m_granterRunners.end())
      return;
    if (Runner->second->isGranter())
      Runner->second->onNotHeld(Value);
    else if (m_hosts.isAlive(Runner->second->knownGranter().m_host,
                             BootClock::now()))
      m_network.send(Runner->second->knownGranter().m_host,
                     NotHeldMessage{Service, Value});
  };
  Out.m_onLeaving = [this](const ServerEntry &Server) {
    handleLeaving({Server.m_id, Server.m_startMs}, true);
  };
  Out.m_onCrash = [this](std::uint64_t Fingerprint, const ServerEntry &Server) {
    handleCrash({Fingerprint,
                 Server.m_id + "@" + std::to_string(Server.m_startMs), false,
                 Millis(0)},
                true);
  };
  Out.m_onAnswered = [this](std::uint64_t Fingerprint) {
    handleAnswered(Fingerprint);
  };
  Out.m_mayTry = [this](std::uint64_t Fingerprint) {
    return mayTry(Fingerprint);
  };
  return Out;
}

const ServerEntry *GatewayHost::findServer(const std::string &Id) const {
  const auto Found = m_feed.servers().find(Id);
  return Found == m_feed.servers().end() ? nullptr : &Found->second;
}

std::error_code GatewayHost::start() {
  std::error_code Error = m_network.start();
  if (!Error)
    Error = m_readinessServer.start(m_settings.m_readyAddress);
  if (!Error)
    Error = m_edge.start();
  if (Error)
    return Error;
  if (!m_settings.m_metricsAddress.empty()) {
    m_metricsServer =
        std::make_unique<TextServer>(m_executor, [this](std::string_view) {
          return TextResponse{200, metricsText()};
        });
    // The host serves requests even without metrics.
    if (const std::error_code Failed =
            m_metricsServer->start(m_settings.m_metricsAddress))
      m_log.write("metrics-unavailable", {{"reason", Failed.message()}});
  }
  m_feed.start();
  m_contacts.start(m_network);
  asio::co_spawn(m_executor, tickLoop(), asio::detached);
  asio::co_spawn(m_executor, heartbeatLoop(), asio::detached);
  asio::co_spawn(m_executor, flushLoop(), asio::detached);
  return {};
}

bool GatewayHost::isReady() const {
  return !m_isStopping && m_feed.routes() != nullptr &&
         !m_feed.servers().empty();
}

void GatewayHost::onConfiguration() {
  std::vector<std::string> Names;
  std::map<std::string, ColdPolicy> Cold;
  for (const auto &[Name, Item] : m_feed.routes()->configuration().m_services) {
    Names.push_back(Name);
    Cold[Name] = Item.m_cold;
    if (Item.m_isKeyed && m_granterRunners.count(Name) == 0) {
      m_admission.setKeyMap(Name, KeyMap(0, {}));
      asio::co_spawn(m_executor, makeGranterRunner(Name).run(), asio::detached);
    }
  }
  m_admission.setServices(Names);
  m_admission.setColdPolicies(std::move(Cold));
  updateCoordinators();
}

void GatewayHost::onServers(const DirectoryChange &Change) {
  m_admission.setServers(m_feed.servers());
  std::vector<std::string> Known;
  for (const auto &[Id, Entry] : m_feed.servers())
    if (std::find(Change.m_restarted.begin(), Change.m_restarted.end(), Id) ==
        Change.m_restarted.end())
      Known.push_back(Id);
  m_pool.retainPeers(Known);
}

GranterRunner &GatewayHost::makeGranterRunner(const std::string &Service) {
  GranterContext Context;
  Context.m_startedAt = m_startedAt;
  Context.m_isFirstStart = m_settings.m_isFirstStart;
  Context.m_storeLostFor = [this] { return m_feed.storeLostFor(); };
  Context.m_onStoreCall = [this](bool HasSucceeded, TimePoint SentAt) {
    m_feed.recordStoreCall(HasSucceeded, SentAt, "ownership", "not readable");
  };
  Context.m_storeAvailableFor = [this] { return m_feed.storeAvailableFor(); };
  Context.m_servers = [this]() -> const std::map<std::string, ServerEntry> & {
    return m_feed.servers();
  };
  Context.m_serverCapacity = [this, Service](const std::string &Server) {
    return m_admission.dispatchers()
        .dispatcher(Service, BootClock::now())
        .capacityOf(Server);
  };
  Context.m_keyDemand = [this, Service] {
    const TimePoint Now = BootClock::now();
    return m_admission.dispatchers().dispatcher(Service, Now).keyDemand(Now);
  };
  Context.m_onKeyMap = [this, Service](const KeyMap &Map) {
    m_admission.setKeyMap(Service, Map);
  };
  Context.m_requestKeyMaps = [this, Service] {
    m_network.sendToCandidates(KeyMapRequest{Service});
  };
  Context.m_onRecordedMap = [this, Service](const KeyMap &Map) {
    m_admission.setKeyMap(Service, Map);
  };
  Context.m_isCutOff = [this] { return m_contacts.isCutOff(); };
  Context.m_onContact = [this](const std::string &Server, bool IsReached) {
    m_contacts.record(Server, IsReached);
  };
  std::unique_ptr<GranterRunner> Runner = std::make_unique<GranterRunner>(
      m_executor, Service, GranterRunnerPolicy{}, GrantPolicy{}, m_store,
      m_keyServers, m_hosts, m_log, m_metrics, std::move(Context));
  return *m_granterRunners.emplace(Service, std::move(Runner)).first->second;
}

std::string GatewayHost::healthPathOf(const std::string &Service) const {
  const std::shared_ptr<RouteTable> &Routes = m_feed.routes();
  const gateway::Service *Found =
      Routes == nullptr ? nullptr : Routes->findService(Service);
  return Found == nullptr ? "" : Found->m_healthPath;
}

void GatewayHost::sendKeyMap(std::uint32_t Link, const std::string &Service) {
  const KeyMap &Known = m_admission.keyMap(Service);
  if (Known.version() > 0)
    m_network.reply(Link, KeyMapMessage{Service, fullUpdate(Known)});
}

void GatewayHost::sendKeyMapChanges() {
  const TimePoint Now = BootClock::now();
  for (const auto &[Service, Runner] : m_granterRunners) {
    const KeyMap &Current = m_admission.keyMap(Service);
    KeyMapFeed &ToCandidates =
        m_candidateFeeds.emplace(Service, Millis(0)).first->second;
    if (Runner->isGranter())
      if (const std::optional<KeyMapUpdate> Change =
              ToCandidates.nextUpdate(Current, Now))
        m_network.sendToCandidates(KeyMapMessage{Service, *Change});
    KeyMapFeed &ToFollowers =
        m_followerFeeds.emplace(Service, m_policy.m_keyMapInterval)
            .first->second;
    if (m_network.hasFollowers())
      if (const std::optional<KeyMapUpdate> Change =
              ToFollowers.nextUpdate(Current, Now))
        m_network.sendToFollowers(KeyMapMessage{Service, *Change});
  }
}

void GatewayHost::updateCoordinators() {
  if (m_feed.routes() == nullptr)
    return;
  const TimePoint Now = BootClock::now();
  std::vector<std::string> Names;
  for (const auto &[Name, Item] : m_feed.routes()->configuration().m_services)
    Names.push_back(Name);
  std::map<std::string, std::string> Chosen = m_hosts.coordinators(Names, Now);
  for (const auto &[Service, Runner] : m_granterRunners) {
    // A live granter coordinates its service: it is the first to know new
    // holders, and it needs the load of the keys.
    const std::string &Host = Runner->knownGranter().m_host;
    if (Chosen.count(Service) > 0 && !Host.empty() &&
        m_hosts.isAlive(Host, Now) &&
        m_hosts.processStartMs(Host) == Runner->knownGranter().m_processStartMs)
      Chosen[Service] = Host;
    const auto Coordinator = Chosen.find(Service);
    if (Coordinator != Chosen.end() &&
        Coordinator->second == m_hosts.self().m_name &&
        m_admission.keyMap(Service).version() == 0)
      Runner->lookUpHolders();
  }
  m_admission.setCoordinators(std::move(Chosen));
}

void GatewayHost::onHeartbeat(const Heartbeat &Beat) {
  const TimePoint Now = BootClock::now();
  if (!m_hosts.isAlive(Beat.m_host.m_name, Now))
    m_log.write("peer-heard", {{"peer", Beat.m_host.m_name},
                               {"life", Beat.m_host.m_processStartMs},
                               {"config", Beat.m_configVersion}});
  m_hosts.recordHeartbeat(Beat, Now);
  m_feed.onHeartbeat(Beat);
  for (const auto &[Service, Granter] : Beat.m_granters) {
    const auto Found = m_granterRunners.find(Service);
    if (Found != m_granterRunners.end())
      Found->second->noteKnownGranter(Granter);
  }
}

Heartbeat GatewayHost::makeHeartbeat(const Heartbeat *Received) const {
  Heartbeat Out;
  Out.m_host = m_hosts.self();
  Out.m_isStopping = m_isStopping;
  Out.m_storeLostMs = static_cast<std::uint32_t>(
      std::min<std::int64_t>(m_feed.storeLostFor().count(), INT32_MAX));
  Out.m_storeAvailableMs =
      static_cast<std::uint32_t>(m_feed.storeAvailableFor().count());
  Out.m_configVersion = m_feed.configurationVersion();
  Out.m_isCutOff = m_contacts.isCutOff();
  Out.m_reachesServers = m_contacts.reachesServers();
  for (const auto &[Service, Runner] : m_granterRunners)
    Out.m_granters[Service] = Runner->knownGranter();
  if (Received != nullptr && Received->m_configVersion == 0)
    Out.m_initialPeers =
        m_hosts.initialPeers(Received->m_host.m_zone, BootClock::now());
  return Out;
}

void GatewayHost::handleLeaving(const LeavingMessage &Message, bool IsOwn) {
  if (!m_feed.markLeaving(Message))
    return;
  if (IsOwn)
    m_network.sendToCandidates(Message);
  m_network.sendToFollowers(Message);
}

bool GatewayHost::onRelayMessage(std::uint32_t Link, PeerMessage &Message) {
  if (auto *Request = std::get_if<RelayMessage>(&Message))
    m_relay.onRelay(Link, *Request);
  else if (auto *Answer = std::get_if<RelayAnswerMessage>(&Message))
    m_relay.onAnswer(Link, *Answer);
  else if (const auto *Cancel = std::get_if<RelayCancelMessage>(&Message))
    m_relay.onCancel(Link, *Cancel);
  else
    return false;
  return true;
}

void GatewayHost::onMessage(std::uint32_t Link, const std::string &Host,
                            PeerMessage &Message) {
  if (onRelayMessage(Link, Message))
    return;
  if (const auto *Hello = std::get_if<HelloMessage>(&Message)) {
    m_hosts.addHosts({Hello->m_host}, BootClock::now());
    m_admission.onRunning(Link, Hello->m_running, Hello->m_limits,
                          Hello->m_cold);
    if (Hello->m_isFollowing)
      m_feed.onFollow(Link, true);
  } else if (const auto *Running = std::get_if<RunningMessage>(&Message)) {
    m_admission.onRunning(Link, Running->m_running, Running->m_limits,
                          Running->m_cold);
  } else if (auto *Request = std::get_if<DispatchRequestMessage>(&Message)) {
    const std::optional<HostInfo> Peer = m_hosts.find(Host);
    m_admission.onAsk(Link, Peer ? Peer->m_zone : "", *Request);
  } else if (const auto *Queued = std::get_if<QueuedMessage>(&Message)) {
    m_admission.onQueued(Link, Queued->m_number);
  } else if (const auto *Decision = std::get_if<DecisionMessage>(&Message)) {
    m_admission.onDecision(Link, Decision->m_decision);
  } else if (const auto *Finish = std::get_if<FinishMessage>(&Message)) {
    m_admission.onFinish(Link, *Finish);
  } else if (const auto *Withdraw = std::get_if<WithdrawMessage>(&Message)) {
    m_admission.onWithdraw(Link, *Withdraw);
  } else if (const auto *Keys = std::get_if<KeyMapMessage>(&Message)) {
    if (!m_admission.changeKeyMap(Keys->m_service, Keys->m_change))
      m_network.reply(Link, KeyMapRequest{Keys->m_service});
  } else if (const auto *KeysWanted = std::get_if<KeyMapRequest>(&Message)) {
    sendKeyMap(Link, KeysWanted->m_service);
  } else if (const auto *NotHeld = std::get_if<NotHeldMessage>(&Message)) {
    const auto Runner = m_granterRunners.find(NotHeld->m_service);
    if (Runner != m_granterRunners.end())
      Runner->second->onNotHeld(NotHeld->m_key);
  } else if (const auto *Needed = std::get_if<StateRequest>(&Message)) {
    m_feed.onStateRequest(Link, *Needed);
  } else if (const auto *State = std::get_if<StateMessage>(&Message)) {
    m_feed.onState(Host, *State);
  } else if (const auto *Listing = std::get_if<ListingMessage>(&Message)) {
    m_feed.onListing(Link, Host, *Listing);
  } else if (const auto *Config = std::get_if<ConfigurationMessage>(&Message)) {
    m_feed.onConfiguration(*Config, "source " + Host);
  } else if (const auto *Follow = std::get_if<FollowMessage>(&Message)) {
    m_feed.onFollow(Link, Follow->m_isFollowing);
  } else if (const auto *Hosts = std::get_if<HostsMessage>(&Message)) {
    m_feed.onHosts(*Hosts);
  } else if (const auto *Crash = std::get_if<CrashMessage>(&Message)) {
    handleCrash(*Crash, false);
  } else if (const auto *Leaving = std::get_if<LeavingMessage>(&Message)) {
    handleLeaving(*Leaving, false);
  } else if (const auto *Zones = std::get_if<EvacuationsMessage>(&Message)) {
    m_feed.applyEvacuations(Zones->m_evacuations, "source " + Host);
  }
}

asio::awaitable<void> GatewayHost::tickLoop() {
  TimePoint DueAt = BootClock::now();
  double CpuMs = processCpuMs();
  while (true) {
    const TimePoint Now = BootClock::now();
    noteStall(std::chrono::duration_cast<Millis>(Now - DueAt),
              processCpuMs() - CpuMs);
    DueAt = Now + m_policy.m_tickInterval;
    CpuMs = processCpuMs();
    m_admission.tick();
    m_feed.tick();
    m_relay.tick();
    updateCoordinators();
    sendKeyMapChanges();
    co_await sleepFor(m_policy.m_tickInterval);
  }
}

asio::awaitable<void> GatewayHost::heartbeatLoop() {
  while (true) {
    m_hosts.noteRunning(BootClock::now());
    m_network.sendDueHeartbeats();
    co_await sleepFor(m_policy.m_heartbeatPollInterval);
  }
}

asio::awaitable<void> GatewayHost::flushLoop() {
  while (true) {
    m_log.flush();
    m_pool.closeExpired(BootClock::now());
    m_edge.closeExpiredConnections();
    co_await sleepFor(m_policy.m_flushInterval);
  }
}

} // namespace tamarackdrum::gateway

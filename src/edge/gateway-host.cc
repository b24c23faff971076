#include "tamarackdrum/gateway/gateway-host.h"

#include "tamarackdrum/error.h"
#include "tamarackdrum/sleep.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <random>
#include <spdlog/fmt/fmt.h>

namespace tamarackdrum::gateway {
namespace {

namespace asio = boost::asio;

/// Crashes that make a request refused. Source: the users allow a request to
/// crash three servers.
constexpr unsigned CrashesToRefuse = 3;
/// Crash reports that are remembered at most.
constexpr std::size_t MostCrashes = 4096;
/// Pause between two looks whether running requests have ended.
constexpr Millis DrainPoll{50};
/// Changes of more servers than this are logged by their number.
constexpr std::size_t LongestChange = 20;
/// Part of the process's memory, as a divisor, that bodies may take. Source:
/// what a process needs without bodies is below half of it.
constexpr std::size_t BodyMemoryDivisor = 4;

PoisonPolicy poisonPolicy() {
  PoisonPolicy Out;
  Out.m_crashesToRefuse = CrashesToRefuse;
  return Out;
}

DispatchPolicy dispatchPolicy(const GatewaySettings &Settings) {
  DispatchPolicy Out;
  Out.m_retries = Settings.m_retries;
  return Out;
}

EdgePolicy edgePolicy(EdgePolicy Out, const GatewaySettings &Settings) {
  Out.m_bodyMemory =
      std::min(Out.m_bodyMemory, Settings.m_memoryBytes / BodyMemoryDivisor);
  return Out;
}

/// Returns \p Time changed by up to a fifth, so that hosts do not stay in step.
Millis jittered(Millis Time) {
  static std::minstd_rand Engine{std::random_device{}()};
  std::uniform_int_distribution<std::int64_t> Spread(-Time.count() / 5,
                                                     Time.count() / 5);
  return Time + Millis(Spread(Engine));
}

} // namespace

GatewayHost::GatewayHost(asio::any_io_executor Executor, HostPolicy Policy,
                         GatewaySettings Settings, GatewayStore &Store,
                         KeyServers &Servers, EventLog &Log)
    : m_executor(Executor), m_policy(Policy), m_settings(std::move(Settings)),
      m_store(Store), m_keyServers(Servers), m_log(Log),
      m_poison(poisonPolicy()), m_hosts(RosterPolicy{}, m_settings.m_host),
      m_storeHealth(Policy.m_goodGap), m_directory(Policy.m_directory),
      m_pool(PoolPolicy{}), m_upstreams(m_pool, m_settings.m_headers),
      m_admission(Executor, AdmissionPolicy{}, dispatchPolicy(m_settings),
                  m_hosts, Log),
      m_network(Executor, PeerNetworkPolicy{}, m_hosts, m_settings.m_peerPort,
                Log, m_metrics, peerEvents()),
      m_edge(Executor, edgePolicy(Policy.m_edge, m_settings), m_settings,
             m_admission, m_upstreams, m_poison, Log, m_metrics, m_hosts,
             edgeView()),
      m_readiness(Executor,
                  [this](std::string_view) {
                    return isReady() ? TextAnswer{200, "ready\n"}
                                     : TextAnswer{503, "not ready\n"};
                  }),
      m_listings(m_settings.m_host.m_life) {
  m_admission.setNetwork(m_network);
}

PeerEvents GatewayHost::peerEvents() {
  PeerEvents Out;
  Out.m_onMessage = [this](std::uint32_t Link, const std::string &Host,
                           PeerMessage &Message) {
    onMessage(Link, Host, Message);
  };
  Out.m_onLinkDown = [this](std::uint32_t Link, const std::string &Host,
                            bool IsOutgoing) {
    // Until its next beat: another coordinator is there at once.
    if (IsOutgoing)
      m_hosts.noteLost(Host);
    m_admission.onLinkDown(Link);
  };
  Out.m_hello = [this](const std::string &Host) {
    return HelloMessage{m_hosts.self(), m_admission.runningFor(Host)};
  };
  Out.m_beat = [this] { return makeBeat(); };
  Out.m_onBeat = [this](const HostBeat &Beat) { onBeat(Beat); };
  return Out;
}

EdgeServer::View GatewayHost::edgeView() {
  EdgeServer::View Out;
  Out.m_routes = [this] { return m_routes; };
  Out.m_hasServers = [this] { return !m_directory.entries().empty(); };
  Out.m_findServer = [this](const std::string &Id) -> const ServerEntry * {
    const auto Found = m_directory.entries().find(Id);
    return Found == m_directory.entries().end() ? nullptr : &Found->second;
  };
  Out.m_onNotHeld = [this](const std::string &Service, Key Value) {
    const auto Keeper = m_keepers.find(Service);
    if (Keeper == m_keepers.end())
      return;
    if (Keeper->second->isGranter())
      Keeper->second->noteNotHeld(Value);
    else if (m_hosts.isAlive(Keeper->second->claim().m_host, BootClock::now()))
      m_network.send(Keeper->second->claim().m_host,
                     NotHeldMessage{Service, Value});
  };
  Out.m_onCrash = [this](std::uint64_t Fingerprint, const ServerEntry &Server) {
    spreadCrash(
        {Fingerprint, Server.m_id + "@" + std::to_string(Server.m_bornMs)},
        true);
  };
  return Out;
}

std::error_code GatewayHost::start() {
  std::error_code Error = m_network.start();
  if (!Error)
    Error = m_readiness.start(m_settings.m_readyAddress);
  if (!Error)
    Error = m_edge.start();
  if (Error)
    return Error;
  if (!m_settings.m_metricsAddress.empty()) {
    m_metricsServer =
        std::make_unique<TextServer>(m_executor, [this](std::string_view) {
          return TextAnswer{200, metricsText()};
        });
    // Requests are served without metrics, too.
    if (const std::error_code Failed =
            m_metricsServer->start(m_settings.m_metricsAddress))
      m_log.write("metrics-unavailable", {{"reason", Failed.message()}});
  }
  asio::co_spawn(m_executor, enter(), asio::detached);
  asio::co_spawn(m_executor, learnFromPeers(), asio::detached);
  asio::co_spawn(m_executor, readConfigurationLoop(), asio::detached);
  asio::co_spawn(m_executor, readServersLoop(), asio::detached);
  asio::co_spawn(m_executor, tickLoop(), asio::detached);
  asio::co_spawn(m_executor, beatLoop(), asio::detached);
  asio::co_spawn(m_executor, flushLoop(), asio::detached);
  return {};
}

bool GatewayHost::isReady() const {
  return !m_isStopping && m_routes != nullptr && !m_directory.entries().empty();
}

Millis GatewayHost::storeLost() const {
  return m_storeHealth.lostFor(BootClock::now());
}

bool GatewayHost::isReader() const {
  if (m_storeHealth.isLost())
    return false;
  for (const HostInfo &Item : m_hosts.anchors(BootClock::now())) {
    if (Item.m_name == m_hosts.self().m_name)
      return true;
    const HostBeat *Beat = m_hosts.lastBeat(Item.m_name);
    if (Beat != nullptr && Beat->m_storeLostMs == 0)
      return false;
  }
  return false;
}

void GatewayHost::noteStore(bool IsGood, TimePoint AskedAt,
                            std::string_view What, std::string_view Reason) {
  const Millis LostFor = m_storeHealth.lostFor(BootClock::now());
  const bool IsNews = m_storeHealth.note(IsGood, AskedAt);
  if (!IsGood)
    m_metrics.count("store_failures", fmt::format("read=\"{}\"", What));
  if (IsNews && IsGood)
    m_log.write("store-back", {{"read", What}, {"lost_ms", LostFor}});
  else if (IsNews)
    m_log.write("store-lost",
                {{"read", What},
                 {"reason", Reason},
                 {"last_good_ms", m_storeHealth.lostFor(BootClock::now())}});
}

asio::awaitable<void> GatewayHost::enter() {
  ReadPauses Pauses(m_policy.m_storePause, m_policy.m_longestStorePause);
  while (true) {
    const TimePoint AskedAt = BootClock::now();
    const Result<std::vector<HostInfo>> Hosts =
        co_await m_store.enterHost(m_hosts.self());
    noteStore(Hosts.has_value(), AskedAt, "hosts",
              Hosts ? "" : Hosts.error().message());
    if (Hosts) {
      m_hosts.addListed(Hosts.value(), BootClock::now());
      break;
    }
    // Hosts that were there before may know what the store cannot tell now.
    sendToSeeds();
    co_await sleepFor(jittered(Pauses.take()));
  }
  co_await readHostsLoop();
}

void GatewayHost::sendToSeeds() {
  for (const std::string &Ip : m_settings.m_seedIps)
    if (Ip != m_hosts.self().m_ip)
      m_network.sendBeat(Ip, false);
}

asio::awaitable<void> GatewayHost::learnFromPeers() {
  while (m_routes == nullptr) {
    sendToSeeds();
    co_await sleepFor(m_policy.m_askPeersEvery);
    if (m_routes == nullptr)
      sendToAnchors(StateRequest{});
  }
}

void GatewayHost::sendToAnchors(const PeerMessage &Message) {
  for (const HostInfo &Peer : m_hosts.anchors(BootClock::now()))
    if (Peer.m_name != m_hosts.self().m_name)
      m_network.send(Peer.m_name, Message);
}

asio::awaitable<void> GatewayHost::readHostsLoop() {
  while (true) {
    co_await sleepFor(jittered(m_policy.m_readHostsEvery));
    const TimePoint AskedAt = BootClock::now();
    const Result<std::vector<HostInfo>> Hosts = co_await m_store.readHosts();
    noteStore(Hosts.has_value(), AskedAt, "hosts",
              Hosts ? "" : Hosts.error().message());
    if (Hosts)
      m_hosts.addListed(Hosts.value(), BootClock::now());
  }
}

asio::awaitable<void> GatewayHost::readConfigurationLoop() {
  ReadPauses Pauses(m_policy.m_storePause, m_policy.m_longestStorePause);
  while (true) {
    const TimePoint AskedAt = BootClock::now();
    if (!isReader() &&
        AskedAt - m_configurationAt < m_policy.m_configurationAge) {
      co_await sleepFor(m_policy.m_lookEvery);
      continue;
    }
    const Result<ReadConfiguration> Read =
        co_await m_store.awaitConfiguration(m_policy.m_configurationWait);
    const bool IsGood = Read || Read.error() == TableErrc::Conflict;
    noteStore(IsGood, AskedAt, "configuration",
              IsGood ? "" : Read.error().message());
    if (IsGood)
      m_configurationAt = BootClock::now();
    if (Read)
      applyConfiguration(Read.value(), "store");
    if (IsGood) {
      Pauses.reset();
      continue;
    }
    // Without a configuration no request can be served.
    if (m_routes == nullptr)
      Pauses.reset();
    co_await sleepFor(jittered(Pauses.take()));
  }
}

asio::awaitable<void> GatewayHost::readServersLoop() {
  ReadPauses Pauses(m_policy.m_storePause, m_policy.m_longestStorePause);
  while (true) {
    const TimePoint AskedAt = BootClock::now();
    if (!isListingDue(m_listingTimes, isReader(), m_policy.m_readServersEvery,
                      m_policy.m_listingAge, AskedAt)) {
      co_await sleepFor(m_policy.m_lookEvery);
      continue;
    }
    const Result<std::vector<ServerRow>> Rows = co_await m_store.readServers();
    noteStore(Rows.has_value(), AskedAt, "servers",
              Rows ? "" : Rows.error().message());
    if (!Rows) {
      m_directory.noteReadFailed();
      co_await sleepFor(jittered(Pauses.take()));
      continue;
    }
    Pauses.reset();
    m_listingTimes = {AskedAt, BootClock::now()};
    applyServers(
        m_directory.applyListing(Rows.value(), AskedAt, BootClock::now()),
        true);
    shareListing(AskedAt, Rows.value());
  }
}

void GatewayHost::shareListing(TimePoint AskedAt,
                               const std::vector<ServerRow> &Rows) {
  m_rowsAskedAt = AskedAt;
  ListingMessage News = m_listings.update(Rows);
  if (!isReader())
    return;
  setAges(News);
  m_network.broadcast(News);
}

void GatewayHost::setAges(ListingMessage &News) const {
  const TimePoint Now = BootClock::now();
  const auto AgeMs = [Now](TimePoint Since) {
    return static_cast<std::uint32_t>(std::min<std::int64_t>(
        std::chrono::duration_cast<Millis>(Now - Since).count(), INT32_MAX));
  };
  News.m_ageMs = AgeMs(m_rowsAskedAt);
  News.m_configAgeMs = AgeMs(m_configurationAt);
  News.m_configVersion =
      m_routes == nullptr ? 0 : m_routes->configuration().m_version;
}

void GatewayHost::onListing(std::uint32_t Link, const std::string &Host,
                            const ListingMessage &Listing) {
  const TimePoint Now = BootClock::now();
  const std::uint64_t Own =
      m_routes == nullptr ? 0 : m_routes->configuration().m_version;
  const std::optional<std::vector<ServerRow>> Rows =
      m_heard[Host].apply(Listing);
  const StateRequest Needed{Listing.m_configVersion > Own, !Rows};
  if (Needed.m_needsConfiguration || Needed.m_needsServers)
    m_network.reply(Link, Needed);
  if (Listing.m_configVersion == Own && Own > 0)
    m_configurationAt =
        std::max(m_configurationAt, Now - Millis(Listing.m_configAgeMs));
  const TimePoint AskedAt = Now - Millis(Listing.m_ageMs);
  if (!Rows || AskedAt < m_listingTimes.m_askedAt)
    return;
  m_listingTimes = {AskedAt, Now};
  applyServers(m_directory.applyListing(*Rows, AskedAt, Now),
               Listing.m_hasRows);
}

void GatewayHost::pushTo(std::uint32_t Link, const StateRequest &Needed) {
  if (!isReader() || !m_listings.hasRows()) {
    StateMessage Known;
    if (Needed.m_needsConfiguration)
      Known.m_configuration = m_configurationText;
    if (Needed.m_needsServers)
      for (const auto &[Id, Entry] : m_directory.entries())
        Known.m_servers.push_back(Entry);
    m_network.reply(Link, Known);
    return;
  }
  if (Needed.m_needsConfiguration && !m_configurationText.empty())
    m_network.reply(Link, ConfigurationMessage{m_configurationText});
  if (!Needed.m_needsServers)
    return;
  ListingMessage Whole = m_listings.whole();
  setAges(Whole);
  m_network.reply(Link, Whole);
}

void GatewayHost::applyConfiguration(const ReadConfiguration &Read,
                                     std::string_view Source) {
  const std::uint64_t Old =
      m_routes == nullptr ? 0 : m_routes->configuration().m_version;
  if (Read.m_configuration.m_version <= Old)
    return;
  m_routes = std::make_shared<RouteTable>(Read.m_configuration);
  m_configurationText = Read.m_text;
  if (isReader())
    m_network.broadcast(ConfigurationMessage{m_configurationText});
  m_log.write("configuration",
              {{"version", Read.m_configuration.m_version},
               {"was", Old},
               {"source", Source},
               {"routes", Read.m_configuration.m_routes.size()}});
  std::vector<std::string> Names;
  for (const auto &[Name, Item] : Read.m_configuration.m_services) {
    Names.push_back(Name);
    if (Item.m_isKeyed && m_keepers.count(Name) == 0) {
      m_admission.setKeyMap(Name, KeyMap(0, {}));
      asio::co_spawn(m_executor, makeKeeper(Name).run(), asio::detached);
    }
  }
  m_admission.setServices(Names);
  updateCoordinators();
}

void GatewayHost::applyServers(const DirectoryChange &Change, bool IsListing) {
  const auto Report = [this](const char *What,
                             const std::vector<std::string> &Ids) {
    // The first listing names all servers of the site.
    if (Ids.size() > LongestChange)
      m_log.write(What, {{"servers", Ids.size()}});
    else
      for (const std::string &Id : Ids)
        m_log.write(What, {{"server", Id}});
  };
  Report("server-added", Change.m_added);
  Report("server-removed", Change.m_removed);
  Report("server-draining", Change.m_draining);
  Report("server-reborn", Change.m_reborn);
  if (Change.isEmpty() && !IsListing)
    return;
  m_admission.setServers(m_directory.entries());
  std::vector<std::string> Known;
  for (const auto &[Id, Entry] : m_directory.entries())
    if (std::find(Change.m_reborn.begin(), Change.m_reborn.end(), Id) ==
        Change.m_reborn.end())
      Known.push_back(Id);
  m_pool.retain(Known);
}

OwnershipKeeper &GatewayHost::makeKeeper(const std::string &Service) {
  KeeperView View;
  View.m_storeLost = [this] { return storeLost(); };
  View.m_onStore = [this](bool IsGood, TimePoint AskedAt) {
    noteStore(IsGood, AskedAt, "ownership", "not readable");
  };
  View.m_storeGood = [this] { return m_storeHealth.goodFor(); };
  View.m_servers = [this]() -> const std::map<std::string, ServerEntry> & {
    return m_directory.entries();
  };
  View.m_rateOf = [this, Service](const std::string &Server) {
    return m_admission.hub()
        .dispatcher(Service, BootClock::now())
        .rateOf(Server);
  };
  View.m_demand = [this, Service] {
    const TimePoint Now = BootClock::now();
    return m_admission.hub().dispatcher(Service, Now).keyDemand(Now);
  };
  View.m_onKeyMap = [this, Service](const KeyMap &Map) {
    const KeyMapChange Change = changeBetween(m_admission.keyMap(Service), Map);
    if (m_admission.setKeyMap(Service, Map))
      m_network.broadcast(KeyMapMessage{Service, Change});
  };
  View.m_askPeers = [this, Service] { sendToAnchors(KeyMapRequest{Service}); };
  View.m_onRecordedMap = [this, Service](const KeyMap &Map) {
    m_admission.setKeyMap(Service, Map);
  };
  std::unique_ptr<OwnershipKeeper> Made = std::make_unique<OwnershipKeeper>(
      m_executor, Service, KeeperPolicy{}, GrantPolicy{}, m_store, m_keyServers,
      m_hosts, m_log, m_metrics, std::move(View));
  return *m_keepers.emplace(Service, std::move(Made)).first->second;
}

void GatewayHost::sendKeyMap(std::uint32_t Link, const std::string &Service) {
  const KeyMap &Known = m_admission.keyMap(Service);
  if (Known.version() > 0)
    m_network.reply(Link, KeyMapMessage{Service, wholeMap(Known)});
}

void GatewayHost::updateCoordinators() {
  if (m_routes == nullptr)
    return;
  const TimePoint Now = BootClock::now();
  std::vector<std::string> Names;
  for (const auto &[Name, Item] : m_routes->configuration().m_services)
    Names.push_back(Name);
  std::map<std::string, std::string> Chosen = m_hosts.coordinators(Names, Now);
  for (const auto &[Service, Keeper] : m_keepers) {
    // The granter knows the holders first and the load of the keys.
    const std::string &Host = Keeper->claim().m_host;
    if (Chosen.count(Service) > 0 && !Host.empty() &&
        m_hosts.isAlive(Host, Now) &&
        m_hosts.lifeOf(Host) == Keeper->claim().m_life)
      Chosen[Service] = Host;
    const auto Coordinator = Chosen.find(Service);
    if (Coordinator != Chosen.end() &&
        Coordinator->second == m_hosts.self().m_name &&
        m_admission.keyMap(Service).version() == 0)
      Keeper->recallHolders();
  }
  m_admission.setCoordinators(std::move(Chosen));
  // The reader's news come over the links that its peers have opened.
  for (const HostInfo &Item : m_hosts.anchors(Now))
    if (Item.m_name != m_hosts.self().m_name)
      m_network.keepLink(Item.m_name);
}

void GatewayHost::onBeat(const HostBeat &Beat) {
  const TimePoint Now = BootClock::now();
  if (!m_hosts.isAlive(Beat.m_host.m_name, Now))
    m_log.write("peer-heard", {{"peer", Beat.m_host.m_name},
                               {"life", Beat.m_host.m_life},
                               {"config", Beat.m_configVersion}});
  m_hosts.noteBeat(Beat, Now);
  applyServers(m_directory.noteServedToOthers(Millis(Beat.m_storeGoodMs), Now));
  for (const auto &[Service, Claim] : Beat.m_claims) {
    const auto Found = m_keepers.find(Service);
    if (Found != m_keepers.end())
      Found->second->noteClaim(Claim);
  }
}

HostBeat GatewayHost::makeBeat() const {
  HostBeat Out;
  Out.m_host = m_hosts.self();
  Out.m_isStopping = m_isStopping;
  Out.m_storeLostMs = static_cast<std::uint32_t>(
      std::min<std::int64_t>(storeLost().count(), INT32_MAX));
  Out.m_storeGoodMs =
      static_cast<std::uint32_t>(m_storeHealth.goodFor().count());
  Out.m_configVersion =
      m_routes == nullptr ? 0 : m_routes->configuration().m_version;
  for (const auto &[Service, Keeper] : m_keepers)
    Out.m_claims[Service] = Keeper->claim();
  return Out;
}

void GatewayHost::spreadCrash(const CrashMessage &Message, bool IsOwn) {
  if (m_crashes.size() >= MostCrashes)
    m_crashes.clear();
  // Each host passes a report on once.
  if (!m_crashes.emplace(Message.m_fingerprint, Message.m_server).second)
    return;
  m_poison.noteCrash(Message.m_fingerprint, Message.m_server, bootMillis());
  m_metrics.count("server_crashes_seen");
  if (IsOwn)
    sendToAnchors(Message);
  m_network.broadcast(Message);
}

void GatewayHost::onMessage(std::uint32_t Link, const std::string &Host,
                            PeerMessage &Message) {
  if (const auto *Hello = std::get_if<HelloMessage>(&Message)) {
    m_admission.onRunning(Link, Hello->m_running);
    if (isReader() && m_listings.hasRows())
      pushTo(Link, StateRequest{});
    for (const auto &[Service, Keeper] : m_keepers)
      if (Keeper->isGranter())
        sendKeyMap(Link, Service);
  } else if (const auto *Running = std::get_if<RunningMessage>(&Message)) {
    m_admission.onRunning(Link, Running->m_running);
  } else if (auto *Ask = std::get_if<AskMessage>(&Message)) {
    const std::optional<HostInfo> Peer = m_hosts.find(Host);
    m_admission.onAsk(Link, Peer ? Peer->m_zone : "", *Ask);
  } else if (const auto *Queued = std::get_if<QueuedMessage>(&Message)) {
    m_admission.onQueued(Link, Queued->m_number);
  } else if (const auto *Made = std::get_if<DecisionMessage>(&Message)) {
    m_admission.onDecision(Link, Made->m_decision);
  } else if (const auto *Finish = std::get_if<FinishMessage>(&Message)) {
    m_admission.onFinish(Link, *Finish);
  } else if (const auto *Withdraw = std::get_if<WithdrawMessage>(&Message)) {
    m_admission.onWithdraw(Link, *Withdraw);
  } else if (const auto *Keys = std::get_if<KeyMapMessage>(&Message)) {
    if (!m_admission.changeKeyMap(Keys->m_service, Keys->m_change))
      m_network.reply(Link, KeyMapRequest{Keys->m_service});
  } else if (const auto *Wanted = std::get_if<KeyMapRequest>(&Message)) {
    sendKeyMap(Link, Wanted->m_service);
  } else if (const auto *NotHeld = std::get_if<NotHeldMessage>(&Message)) {
    const auto Keeper = m_keepers.find(NotHeld->m_service);
    if (Keeper != m_keepers.end())
      Keeper->second->noteNotHeld(NotHeld->m_key);
  } else if (const auto *Needed = std::get_if<StateRequest>(&Message)) {
    pushTo(Link, *Needed);
  } else if (const auto *State = std::get_if<StateMessage>(&Message)) {
    const Result<ReadConfiguration> Read =
        m_store.decodeConfiguration(State->m_configuration);
    if (Read)
      applyConfiguration(Read.value(), "peer " + Host);
    applyServers(m_directory.adopt(State->m_servers));
  } else if (const auto *Listing = std::get_if<ListingMessage>(&Message)) {
    onListing(Link, Host, *Listing);
  } else if (const auto *News = std::get_if<ConfigurationMessage>(&Message)) {
    const Result<ReadConfiguration> Read =
        m_store.decodeConfiguration(News->m_text);
    if (Read)
      applyConfiguration(Read.value(), "reader " + Host);
    else
      m_log.write("configuration-unreadable", {{"peer", Host}});
  } else if (const auto *Crash = std::get_if<CrashMessage>(&Message)) {
    spreadCrash(*Crash, false);
  }
}

asio::awaitable<void> GatewayHost::tickLoop() {
  while (true) {
    m_admission.tick();
    applyServers(m_directory.expire(BootClock::now()));
    updateCoordinators();
    co_await sleepFor(m_policy.m_tickEvery);
  }
}

asio::awaitable<void> GatewayHost::beatLoop() {
  while (true) {
    m_network.sendBeats();
    co_await sleepFor(m_policy.m_beatEvery);
  }
}

asio::awaitable<void> GatewayHost::flushLoop() {
  while (true) {
    m_log.flush();
    m_pool.dropExpired(BootClock::now());
    co_await sleepFor(m_policy.m_flushEvery);
  }
}

std::string GatewayHost::metricsText() {
  m_metrics.setGauge("active_requests",
                     static_cast<double>(m_edge.activeRequests()));
  m_metrics.setGauge("client_connections",
                     static_cast<double>(m_edge.connections()));
  m_metrics.setGauge("known_servers", static_cast<double>(knownServers()));
  m_metrics.setGauge("store_lost_ms", static_cast<double>(storeLost().count()));
  m_metrics.setGauge("upstream_connections_opened",
                     static_cast<double>(m_pool.opened()));
  m_metrics.setGauge("log_lines_dropped", static_cast<double>(m_log.dropped()));
  m_metrics.setGauge(
      "configuration_version",
      m_routes == nullptr
          ? 0
          : static_cast<double>(m_routes->configuration().m_version));
  for (const auto &[Service, Item] : m_admission.hub().all())
    m_metrics.setGauge("waiting{service=\"" + Service + "\"}",
                       static_cast<double>(Item->load().m_waiting));
  return m_metrics.toText();
}

void GatewayHost::stop(std::function<void()> OnStopped) {
  if (m_isStopping)
    return;
  m_isStopping = true;
  m_hosts.setStopping();
  m_edge.beginDrain();
  for (const auto &[Service, Keeper] : m_keepers)
    Keeper->stop();
  m_network.sendBeats();
  m_log.write("stopping", {{"active", m_edge.activeRequests()},
                           {"connections", m_edge.connections()}});
  asio::co_spawn(m_executor, stopSequence(std::move(OnStopped)),
                 asio::detached);
}

asio::awaitable<void>
GatewayHost::stopSequence(std::function<void()> OnStopped) {
  const TimePoint End =
      BootClock::now() + m_settings.m_stopTimeout - m_policy.m_stopMargin;
  co_await sleepFor(m_policy.m_stopTaking);
  m_edge.refuseNew();
  co_await sleepFor(m_policy.m_stopListening - m_policy.m_stopTaking);
  m_edge.closeIdle();
  while (BootClock::now() < End &&
         (m_edge.activeRequests() > 0 || m_edge.connections() > 0)) {
    if (BootClock::now() > End - m_policy.m_refuseMargin) {
      m_edge.refuseWaiting();
    }
    co_await sleepFor(DrainPoll);
  }
  for (const auto &[Service, Keeper] : m_keepers)
    Keeper->leave();
  co_await sleepFor(m_policy.m_leaveTime);
  m_log.write("stopped", {{"active", m_edge.activeRequests()},
                          {"connections", m_edge.connections()}});
  m_log.flush();
  OnStopped();
}

} // namespace tamarackdrum::gateway

#include "soak-site.h"

#include "platform/standin/wire-encode.h"
#include "tamarackdrum/core.h"
#include "tamarackdrum/sleep.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <fstream>
#include <spdlog/fmt/fmt.h>

namespace tamarackdrum::soak {

namespace asio = boost::asio;
using namespace platform::standin;
using namespace gateway;

namespace {

constexpr Millis ReportInterval{870};       ///< As at the users' sites.
constexpr Millis RegistrationTimeout{2610}; ///< Three missed reports.
constexpr Millis LeaveServeTime{2500};
constexpr std::uint16_t ClientPort = 8080;
constexpr std::uint16_t ReadyPort = 8081;
constexpr std::uint16_t PeerPort = 7540;
constexpr std::uint16_t ServerPort = 9000;
constexpr std::uint16_t StorePort = 8541;
constexpr std::size_t PlainServerCount = 4;
constexpr std::size_t ResettingServerCount = 3;
constexpr std::size_t KeyedServerCount = 6;
constexpr unsigned SlotsPerServer = 4;
/// Of every second server; the platform allows clocks to be 2% slow.
constexpr double ClockSlowdown = 1.02;
constexpr Millis StoreCallDelay{250};
constexpr Millis RestoreOutage{300}; ///< Before the store is restored.
/// From the restore until the operator writes the configuration again.
constexpr Millis RewriteDelay{400};
constexpr Millis LinkDelay{120};
constexpr Millis RouteTimeout{2000};

Endpoint endpointOf(const std::string &Ip, std::uint16_t Port) {
  return {asio::ip::make_address(Ip), Port};
}

Route makeRoute(const std::string &Name, const char *Service,
                RequestKind Kind) {
  Route Out;
  Out.m_name = Name;
  Out.m_host = HostName;
  Out.m_prefix = "/" + Name + "/";
  Out.m_kind = Kind;
  Out.m_timeout = RouteTimeout;
  Out.m_objective = RouteTimeout / 4;
  Out.m_attempts = 3;
  Out.m_parts = {{Service, 1}};
  return Out;
}

} // namespace

std::string addressText(const Endpoint &Address) {
  return fmt::format("{}:{}", Address.address().to_string(), Address.port());
}

SoakSite::SoakSite(asio::io_context &Context, SiteOptions Options,
                   std::uint64_t Seed, History &Recorded)
    : m_context(Context), m_options(std::move(Options)), m_random(Seed),
      m_limitRandom(Seed), m_evacuationRandom(Seed), m_history(Recorded),
      m_store(Context, endpointOf(addressOf(250, 1), StorePort)) {
  std::filesystem::create_directories(m_options.m_directory);
  for (std::size_t I = 0; I < m_options.m_hostCount; ++I)
    addHost(I);
  for (std::size_t I = 0; I < PlainServerCount; ++I)
    addBackend(PlainService);
  for (std::size_t I = 0; I < ResettingServerCount; ++I)
    addBackend(ResettingService);
  for (std::size_t I = 0; I < KeyedServerCount; ++I)
    addBackend(KeyedService);
  for (const char *Name : {PlainService, ResettingService, KeyedService}) {
    Service &Made = m_config.m_services[Name];
    Made.m_name = Name;
    Made.m_maxConnections = 64;
    Made.m_isKeyed = Name == std::string(KeyedService);
  }
  m_config.m_routes = {makeRoute("safe", PlainService, RequestKind::Safe),
                       makeRoute("once", ResettingService, RequestKind::Unsafe),
                       makeRoute("key", KeyedService, RequestKind::Unsafe)};
}

SoakSite::~SoakSite() = default;

std::string SoakSite::addressOf(unsigned Third, std::size_t Fourth) const {
  return fmt::format("{}.{}.{}", m_options.m_network, Third, Fourth);
}

void SoakSite::addHost(std::size_t Index) {
  constexpr std::size_t PerThird = 200;
  const std::string Ip =
      addressOf(static_cast<unsigned>(Index / PerThird), 1 + Index % PerThird);
  Host Made;
  GatewaySettings &Settings = Made.m_settings;
  Settings.m_host = {fmt::format("host-{}", Index), Ip,
                     fmt::format("zone-{}", Index % m_options.m_zoneCount), 0,
                     20};
  Settings.m_clientAddress = fmt::format("{}:{}", Ip, ClientPort);
  Settings.m_readyAddress = fmt::format("{}:{}", Ip, ReadyPort);
  Settings.m_peerPort = PeerPort;
  Settings.m_retries.m_baseRetries = 50;
  Settings.m_evacuationBound = GuaranteeBounds{}.m_evacuation;
  if (!m_hosts.empty())
    Settings.m_seedIps = {m_hosts.front().m_settings.m_host.m_ip};
  Made.m_storeProxy = std::make_unique<FaultProxy>(
      m_context, endpointOf(Ip, StorePort), m_store.address());
  m_hosts.push_back(std::move(Made));
}

void SoakSite::addBackend(const char *Service) {
  const std::size_t Index = m_backends.size();
  Backend Made;
  Made.m_service = Service;
  Made.m_zone = fmt::format("zone-{}", Index % m_options.m_zoneCount);
  Made.m_proxy = std::make_unique<FaultProxy>(
      m_context, endpointOf(addressOf(251, 1 + Index), ServerPort),
      endpointOf(addressOf(251, 1 + Index), 0));
  m_backends.push_back(std::move(Made));
}

void SoakSite::start() {
  m_store.saveSnapshot();
  writeConfiguration();
  for (std::size_t I = 0; I < m_backends.size(); ++I)
    startServer(I, false);
  for (std::size_t I = 0; I < m_hosts.size(); ++I)
    startHost(I);
  asio::co_spawn(m_context, reportPeriodically(), asio::detached);
  if (m_options.m_namesLimits)
    asio::co_spawn(m_context, nameLimits(), asio::detached);
  if (m_options.m_evacuates)
    asio::co_spawn(m_context, evacuateZones(), asio::detached);
  if (!m_options.m_previousProgram.empty())
    asio::co_spawn(m_context, upgradeHosts(), asio::detached);
}

asio::awaitable<void> SoakSite::evacuateZones() {
  constexpr std::uint64_t MaxPauseMs = 3000;
  constexpr Millis MinDuration{6000}; // Beyond the bound.
  constexpr std::uint64_t MaxMoreMs = 3000;
  const auto Below = [this](std::uint64_t End) {
    return static_cast<std::int64_t>(m_evacuationRandom() % End);
  };
  while (true) {
    co_await sleepFor(Millis(Below(MaxPauseMs)));
    m_evacuatedZone =
        fmt::format("zone-{}", m_evacuationRandom() % m_options.m_zoneCount);
    beginEvacuation();
    co_await sleepFor(MinDuration + Millis(Below(MaxMoreMs)));
    endEvacuation();
    m_store.remove(OperatorTable, EvacuationKeyPrefix + m_evacuatedZone);
    m_evacuatedZone.clear();
  }
}

void SoakSite::beginEvacuation() {
  m_store.put(OperatorTable, EvacuationKeyPrefix + m_evacuatedZone, "{}");
  m_history.m_evacuations.push_back({m_evacuatedZone, BootClock::now()});
}

void SoakSite::rewriteEvacuations() {
  if (!m_options.m_evacuates)
    return;
  for (std::size_t I = 0; I < m_options.m_zoneCount; ++I) {
    const std::string Zone = fmt::format("zone-{}", I);
    if (Zone != m_evacuatedZone)
      m_store.remove(OperatorTable, EvacuationKeyPrefix + Zone);
  }
  if (!m_evacuatedZone.empty())
    beginEvacuation();
}

void SoakSite::endEvacuation() {
  if (!m_history.m_evacuations.empty())
    m_history.m_evacuations.back().m_to =
        std::min(m_history.m_evacuations.back().m_to, BootClock::now());
}

asio::awaitable<void> SoakSite::nameLimits() {
  constexpr std::uint64_t MaxPauseMs = 2500;
  while (true) {
    co_await sleepFor(
        Millis(static_cast<std::int64_t>(m_limitRandom() % MaxPauseMs)));
    const std::size_t First = m_limitRandom() % m_backends.size();
    const bool IsMostOfService = m_limitRandom() % 8 == 0;
    for (std::size_t I = 0; I < m_backends.size(); ++I)
      if (I == First ||
          (IsMostOfService && m_limitRandom() % 4 != 0 &&
           m_backends[I].m_service == m_backends[First].m_service))
        nameLimit(I);
  }
}

void SoakSite::nameLimit(std::size_t Index) {
  // Texts without a number name no limit by the rule. Most of the others are
  // well below what a server gets without a limit.
  static const std::vector<std::pair<const char *, std::optional<double>>>
      Choices{{"", std::nullopt},
              {"", std::nullopt},
              {"-3", std::nullopt},
              {"soon", std::nullopt},
              {"0", 0},
              {"0.5", 0.5},
              {"1", 1},
              {"1.4", 1.4},
              {"2.9", 2.9},
              {"5", 5},
              {"20", 20},
              {"100", 100},
              {"99999999999", 1e11}};
  const auto &[Text, Limit] = Choices[m_limitRandom() % Choices.size()];
  if (m_backends[Index].m_server)
    m_backends[Index].m_server->setRateLimit(Text, Limit);
}

void SoakSite::startServer(std::size_t Index, bool KeepsId) {
  Backend &Item = m_backends[Index];
  KeyServerOptions Options;
  ServerEntry &Entry = Options.m_entry;
  if (!KeepsId)
    ++Item.m_incarnation;
  Entry.m_id = fmt::format("server-{}-{}", Index, Item.m_incarnation);
  Entry.m_service = Item.m_service;
  Entry.m_address = addressText(Item.m_proxy->address());
  Entry.m_zone = Item.m_zone;
  Entry.m_slots = SlotsPerServer;
  Entry.m_startMs = unixMillis();
  Options.m_isKeyed = Item.m_service == KeyedService;
  Options.m_closesWhenFull = Item.m_service == ResettingService;
  Options.m_clockSlowdown = Index % 2 == 0 ? 1 : ClockSlowdown;
  Item.m_reportCount = 0;
  Item.m_isDraining = false;
  Item.m_server = std::make_unique<KeyServer>(
      m_context, endpointOf(addressOf(251, 1 + Index), 0), Options,
      m_history.m_serverRecords);
  Item.m_proxy->setTarget(Item.m_server->address());
  m_removedIds.erase(Entry.m_id);
  m_history.m_zones[Entry.m_id] = Item.m_zone;
  report(Index);
}

void SoakSite::report(std::size_t Index) {
  Backend &Item = m_backends[Index];
  ServerEntry Entry = Item.m_server->entry();
  Entry.m_reportNumber = ++Item.m_reportCount;
  Entry.m_isDraining = Item.m_isDraining;
  m_store.put(ServerTable, Entry.m_id, encodeServer(Entry));
}

asio::awaitable<void> SoakSite::reportPeriodically() {
  while (true) {
    co_await sleepFor(ReportInterval);
    for (std::size_t I = 0; I < m_backends.size(); ++I)
      if (m_backends[I].m_server)
        report(I);
  }
}

void SoakSite::writeConfiguration() {
  ++m_config.m_version;
  const std::string Name = fmt::format("v{}", m_config.m_version);
  m_config.m_routes.push_back(makeRoute(Name, PlainService, RequestKind::Safe));
  m_store.put(OperatorTable, ConfigurationKey, encodeConfiguration(m_config));
  m_history.m_versions.push_back({m_config.m_version, BootClock::now()});
}

Endpoint SoakSite::clientEndpoint(std::size_t Host) const {
  return endpointOf(m_hosts[Host].m_settings.m_host.m_ip, ClientPort);
}

Endpoint SoakSite::readyEndpoint(std::size_t Host) const {
  return endpointOf(m_hosts[Host].m_settings.m_host.m_ip, ReadyPort);
}

bool SoakSite::isRunning(std::size_t Host) const {
  return m_hosts[Host].m_child.has_value();
}

asio::awaitable<void> SoakSite::injectFault(FaultEvent Event) {
  const std::size_t Index = m_history.m_faults.size();
  const TimePoint Now = BootClock::now();
  const bool IsOfHost = Event.m_kind <= FaultKind::HostReload;
  if (IsOfHost && m_hosts[Event.m_target].m_isBeingReplaced)
    co_return;
  m_history.m_faults.push_back(
      {Event.m_kind, Event.m_target, Now, TimePoint::max()});
  if (Event.m_kind == FaultKind::ConfigChange)
    writeConfiguration();
  else if (IsOfHost)
    co_await injectHostFault(Event);
  else if (Event.m_kind <= FaultKind::ServerLinkOneWay)
    co_await injectServerFault(Event);
  else if (Event.m_kind <= FaultKind::StoreOlderCopy)
    co_await injectStoreFault(Event);
  else
    co_await injectLinkFault(*m_hosts[Event.m_target].m_storeProxy, Event);
  m_history.m_faults[Index].m_to = BootClock::now();
}

asio::awaitable<void> SoakSite::injectServerFault(FaultEvent Event) {
  Backend &Item = m_backends[Event.m_target];
  if (!Item.m_server)
    co_return;
  if (Event.m_kind == FaultKind::ServerLeave) {
    co_await replaceServer(Event.m_target);
  } else if (Event.m_kind == FaultKind::ServerKill) {
    const std::string Id = Item.m_server->entry().m_id;
    const bool KeepsId = m_random() % 3 == 0;
    Item.m_server.reset();
    Item.m_proxy->setFault(LinkFault::Refused);
    Item.m_proxy->resetConnections();
    co_await sleepFor(std::min(Event.m_duration, RegistrationTimeout));
    if (!KeepsId || Event.m_duration > RegistrationTimeout)
      removeFromRegistry(Id);
    co_await sleepFor(
        std::max(Millis(0), Event.m_duration - RegistrationTimeout));
    Item.m_proxy->setFault(LinkFault::None);
    startServer(Event.m_target, KeepsId);
  } else {
    co_await injectLinkFault(*Item.m_proxy, Event);
  }
}

asio::awaitable<void> SoakSite::replaceServer(std::size_t Index) {
  Backend &Item = m_backends[Index];
  const ServerEntry Entry = Item.m_server->entry();
  const bool Drains = m_random() % 3 != 0;
  Item.m_server->setLeaving();
  if (Drains) {
    Item.m_isDraining = true;
    report(Index);
  } else {
    removeFromRegistry(Entry.m_id);
  }
  m_history.m_leaves.push_back({Entry.m_id, Entry.m_startMs, BootClock::now()});
  // A server without a row keeps serving, but stops reporting.
  std::unique_ptr<KeyServer> Leaving;
  if (!Drains)
    Leaving = std::move(Item.m_server);
  co_await sleepFor(LeaveServeTime);
  Leaving.reset();
  Item.m_server.reset();
  removeFromRegistry(Entry.m_id);
  Item.m_proxy->resetConnections();
  startServer(Index, false);
}

asio::awaitable<void> SoakSite::injectStoreFault(FaultEvent Event) {
  StoreFaults &Faults = m_store.m_faults;
  switch (Event.m_kind) {
  case FaultKind::StoreDown:
    Faults.m_isDown = true;
    co_await sleepFor(Event.m_duration);
    Faults.m_isDown = false;
    break;
  case FaultKind::StoreSlow:
    Faults.m_delay = StoreCallDelay;
    co_await sleepFor(Event.m_duration);
    Faults.m_delay = Millis(0);
    break;
  case FaultKind::StoreLosesAnswers:
    Faults.m_losesAnswers = true;
    co_await sleepFor(Event.m_duration);
    Faults.m_losesAnswers = false;
    break;
  case FaultKind::StoreOlderCopy:
    co_await rollBackStore(Event.m_duration);
    break;
  case FaultKind::StoreLateWrites:
    Faults.m_writeDelay = Event.m_duration;
    co_await sleepFor(Event.m_duration);
    Faults.m_writeDelay = Millis(0);
    break;
  default:
    m_store.dropHistory();
  }
}

asio::awaitable<void> SoakSite::rollBackStore(Millis Duration) {
  m_store.saveSnapshot();
  co_await sleepFor(Duration);
  m_store.m_faults.m_isDown = true;
  co_await sleepFor(RestoreOutage);
  // The copy may lack the row of an evacuation until the operator writes it
  // again, or name one that has ended.
  endEvacuation();
  m_store.restoreSnapshot();
  m_store.m_faults.m_isDown = false;
  // Running servers report again; restored rows of removed servers lapse.
  co_await sleepFor(RewriteDelay);
  m_store.put(OperatorTable, ConfigurationKey, encodeConfiguration(m_config));
  rewriteEvacuations();
  co_await sleepFor(RegistrationTimeout - RewriteDelay);
  for (const std::string &Id : m_removedIds)
    m_store.remove(ServerTable, Id);
}

void SoakSite::removeFromRegistry(const std::string &Id) {
  m_store.remove(ServerTable, Id);
  m_removedIds.insert(Id);
}

asio::awaitable<void> SoakSite::injectLinkFault(FaultProxy &Link,
                                                FaultEvent Event) {
  switch (Event.m_kind) {
  case FaultKind::ServerLinkReset:
  case FaultKind::HostStoreReset:
    Link.resetConnections();
    co_return;
  case FaultKind::ServerLinkDelay:
    Link.setFault(LinkFault::Delayed, LinkDelay);
    break;
  case FaultKind::ServerLinkOneWay:
  case FaultKind::HostStoreOneWay:
    Link.setFault(LinkFault::DropFromTarget);
    break;
  default:
    Link.setFault(LinkFault::Silent);
  }
  co_await sleepFor(Event.m_duration);
  Link.setFault(LinkFault::None);
}

} // namespace tamarackdrum::soak

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

constexpr Millis ReportEvery{870}; ///< Source: the users' sites.
constexpr Millis LapseTime{2610};  ///< Three reports that are missing.
constexpr Millis ServeAfterLeave{2500};
constexpr Millis ChildStep{20}; ///< Between two looks at a process.
constexpr std::uint16_t ClientPort = 8080;
constexpr std::uint16_t ReadyPort = 8081;
constexpr std::uint16_t PeerPort = 7540;
constexpr std::uint16_t ServerPort = 9000;
constexpr std::uint16_t StorePort = 8541;
constexpr std::size_t PlainServers = 4;
constexpr std::size_t ResettingServers = 3;
constexpr std::size_t KeyedServers = 6;
constexpr unsigned SlotsOfServer = 4;
/// Every second server's clock runs slow. Source: the platform allows 2%.
constexpr double SlowClock = 1.02;
constexpr Millis StoreDelay{250};
constexpr Millis StoreAway{300}; ///< Before it comes back from a copy.
/// Until the operator has written again what was lost.
constexpr Millis RewriteTime{400};
constexpr Millis LinkDelay{120};
constexpr Millis RouteTimeout{2000};

Endpoint endpointOf(const std::string &Ip, std::uint16_t Port) {
  return {asio::ip::make_address(Ip), Port};
}

std::string toText(const Endpoint &Address) {
  return fmt::format("{}:{}", Address.address().to_string(), Address.port());
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

SoakSite::SoakSite(asio::io_context &Context, SiteOptions Options,
                   std::uint64_t Seed, History &Seen)
    : m_context(Context), m_options(std::move(Options)), m_random(Seed),
      m_seen(Seen), m_store(Context, endpointOf(addressOf(250, 1), StorePort)) {
  std::filesystem::create_directories(m_options.m_directory);
  for (std::size_t I = 0; I < m_options.m_hosts; ++I)
    addHost(I);
  for (std::size_t I = 0; I < PlainServers; ++I)
    addPlace(PlainService);
  for (std::size_t I = 0; I < ResettingServers; ++I)
    addPlace(ResettingService);
  for (std::size_t I = 0; I < KeyedServers; ++I)
    addPlace(KeyedService);
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
                     fmt::format("zone-{}", Index % m_options.m_zones), 0, 20};
  Settings.m_clientAddress = fmt::format("{}:{}", Ip, ClientPort);
  Settings.m_readyAddress = fmt::format("{}:{}", Ip, ReadyPort);
  Settings.m_peerPort = PeerPort;
  Settings.m_retries.m_baseRetries = 50;
  if (!m_hosts.empty())
    Settings.m_seedIps = {m_hosts.front().m_settings.m_host.m_ip};
  Made.m_storeLink = std::make_unique<FaultProxy>(
      m_context, endpointOf(Ip, StorePort), m_store.address());
  m_hosts.push_back(std::move(Made));
}

void SoakSite::addPlace(const char *Service) {
  const std::size_t Index = m_servers.size();
  Place Made;
  Made.m_service = Service;
  Made.m_zone = fmt::format("zone-{}", Index % m_options.m_zones);
  Made.m_link = std::make_unique<FaultProxy>(
      m_context, endpointOf(addressOf(251, 1 + Index), ServerPort),
      endpointOf(addressOf(251, 1 + Index), 0));
  m_servers.push_back(std::move(Made));
}

void SoakSite::start() {
  m_store.takeCopy();
  writeConfiguration();
  for (std::size_t I = 0; I < m_servers.size(); ++I)
    startServer(I, false);
  for (std::size_t I = 0; I < m_hosts.size(); ++I)
    startHost(I);
  asio::co_spawn(m_context, keepReporting(), asio::detached);
}

void SoakSite::startHost(std::size_t Index) {
  Host &Item = m_hosts[Index];
  const std::string &Name = Item.m_settings.m_host.m_name;
  const std::filesystem::path File = m_options.m_directory / (Name + ".json");
  Item.m_settings.m_isFirstStart = Item.m_life == 0;
  std::ofstream(File) << encodeSettings(Item.m_settings,
                                        toText(Item.m_storeLink->address()));
  ++Item.m_life;
  Item.m_child.emplace(std::vector<std::string>{m_options.m_program,
                                                "--settings", File.string()},
                       (m_options.m_directory / (Name + ".log")).string());
}

void SoakSite::startServer(std::size_t Index, bool KeepsId) {
  Place &Item = m_servers[Index];
  KeyServerOptions Options;
  ServerEntry &Entry = Options.m_entry;
  if (!KeepsId)
    ++Item.m_lives;
  Entry.m_id = fmt::format("server-{}-{}", Index, Item.m_lives);
  Entry.m_service = Item.m_service;
  Entry.m_address = toText(Item.m_link->address());
  Entry.m_zone = Item.m_zone;
  Entry.m_slots = SlotsOfServer;
  Entry.m_startMs = unixMillis();
  Options.m_isKeyed = Item.m_service == KeyedService;
  Options.m_resetsWhenFull = Item.m_service == ResettingService;
  Options.m_slowClock = Index % 2 == 0 ? 1 : SlowClock;
  Item.m_report = 0;
  Item.m_isDraining = false;
  Item.m_server = std::make_unique<KeyServer>(
      m_context, endpointOf(addressOf(251, 1 + Index), 0), Options,
      m_seen.m_servers);
  Item.m_link->setTarget(Item.m_server->address());
  m_gone.erase(Entry.m_id);
  report(Index);
}

void SoakSite::report(std::size_t Index) {
  Place &Item = m_servers[Index];
  ServerEntry Entry = Item.m_server->entry();
  Entry.m_reportNumber = ++Item.m_report;
  Entry.m_isDraining = Item.m_isDraining;
  m_store.put(ServerTable, Entry.m_id, encodeServer(Entry));
}

asio::awaitable<void> SoakSite::keepReporting() {
  while (true) {
    co_await sleepFor(ReportEvery);
    for (std::size_t I = 0; I < m_servers.size(); ++I)
      if (m_servers[I].m_server)
        report(I);
  }
}

void SoakSite::writeConfiguration() {
  ++m_config.m_version;
  const std::string Name = fmt::format("v{}", m_config.m_version);
  m_config.m_routes.push_back(makeRoute(Name, PlainService, RequestKind::Safe));
  m_store.put(OperatorTable, ConfigurationKey, encodeConfiguration(m_config));
  m_seen.m_versions.push_back({m_config.m_version, BootClock::now()});
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

asio::awaitable<void> SoakSite::play(FaultEvent Event) {
  const std::size_t Place = m_seen.m_faults.size();
  const TimePoint Now = BootClock::now();
  m_seen.m_faults.push_back(
      {Event.m_kind, Event.m_target, Now, TimePoint::max()});
  if (Event.m_kind == FaultKind::ConfigChange)
    writeConfiguration();
  else if (Event.m_kind <= FaultKind::HostReload)
    co_await playHost(Event);
  else if (Event.m_kind <= FaultKind::ServerLinkOneWay)
    co_await playServer(Event);
  else if (Event.m_kind <= FaultKind::StoreOlderCopy)
    co_await playStore(Event);
  else
    co_await playLink(*m_hosts[Event.m_target].m_storeLink, Event);
  m_seen.m_faults[Place].m_to = BootClock::now();
}

asio::awaitable<void> SoakSite::playHost(FaultEvent Event) {
  Host &Item = m_hosts[Event.m_target];
  if (!Item.m_child)
    co_return;
  switch (Event.m_kind) {
  case FaultKind::HostKill:
    Item.m_child.reset();
    co_await sleepFor(Event.m_length);
    startHost(Event.m_target);
    break;
  case FaultKind::HostStop:
    co_await stopHost(Event.m_target);
    startHost(Event.m_target);
    break;
  case FaultKind::HostPause:
    Item.m_child->signal(SIGSTOP);
    co_await sleepFor(Event.m_length);
    Item.m_child->signal(SIGCONT);
    break;
  default:
    Item.m_child->signal(SIGHUP);
  }
}

asio::awaitable<void> SoakSite::stopHost(std::size_t Index) {
  Host &Item = m_hosts[Index];
  Item.m_child->signal(SIGTERM);
  const TimePoint End = BootClock::now() + Item.m_settings.m_stopTimeout;
  while (!Item.m_child->hasEnded() && BootClock::now() < End)
    co_await sleepFor(ChildStep);
  Item.m_child.reset();
}

asio::awaitable<void> SoakSite::playServer(FaultEvent Event) {
  Place &Item = m_servers[Event.m_target];
  if (!Item.m_server)
    co_return;
  if (Event.m_kind == FaultKind::ServerLeave) {
    co_await leave(Event.m_target);
  } else if (Event.m_kind == FaultKind::ServerKill) {
    const std::string Id = Item.m_server->entry().m_id;
    const bool KeepsId = m_random() % 3 == 0;
    Item.m_server.reset();
    Item.m_link->setFault(LinkFault::Refused);
    Item.m_link->resetAll();
    co_await sleepFor(std::min(Event.m_length, LapseTime));
    if (!KeepsId || Event.m_length > LapseTime)
      removeRow(Id);
    co_await sleepFor(std::max(Millis(0), Event.m_length - LapseTime));
    Item.m_link->setFault(LinkFault::None);
    startServer(Event.m_target, KeepsId);
  } else {
    co_await playLink(*Item.m_link, Event);
  }
}

asio::awaitable<void> SoakSite::leave(std::size_t Index) {
  Place &Item = m_servers[Index];
  const ServerEntry Entry = Item.m_server->entry();
  const bool SaysSo = m_random() % 3 != 0;
  Item.m_server->setLeaving();
  if (SaysSo) {
    Item.m_isDraining = true;
    report(Index);
  } else {
    removeRow(Entry.m_id);
  }
  m_seen.m_leaves.push_back({Entry.m_id, Entry.m_startMs, BootClock::now()});
  // A server without a row goes on serving, and does not report any more.
  std::unique_ptr<KeyServer> Leaving;
  if (!SaysSo)
    Leaving = std::move(Item.m_server);
  co_await sleepFor(ServeAfterLeave);
  Leaving.reset();
  Item.m_server.reset();
  removeRow(Entry.m_id);
  Item.m_link->resetAll();
  startServer(Index, false);
}

asio::awaitable<void> SoakSite::playStore(FaultEvent Event) {
  StoreFaults &Faults = m_store.m_faults;
  switch (Event.m_kind) {
  case FaultKind::StoreDown:
    Faults.m_isDown = true;
    co_await sleepFor(Event.m_length);
    Faults.m_isDown = false;
    break;
  case FaultKind::StoreSlow:
    Faults.m_delay = StoreDelay;
    co_await sleepFor(Event.m_length);
    Faults.m_delay = Millis(0);
    break;
  case FaultKind::StoreLosesAnswers:
    Faults.m_losesAnswers = true;
    co_await sleepFor(Event.m_length);
    Faults.m_losesAnswers = false;
    break;
  case FaultKind::StoreOlderCopy:
    co_await loseWrites(Event.m_length);
    break;
  case FaultKind::StoreLateWrites:
    Faults.m_lateBy = Event.m_length;
    co_await sleepFor(Event.m_length);
    Faults.m_lateBy = Millis(0);
    break;
  default:
    m_store.dropHistory();
  }
}

asio::awaitable<void> SoakSite::loseWrites(Millis Length) {
  m_store.takeCopy();
  co_await sleepFor(Length);
  m_store.m_faults.m_isDown = true;
  co_await sleepFor(StoreAway);
  m_store.returnToCopy();
  m_store.m_faults.m_isDown = false;
  // Servers report again by themselves; what has gone lapses once more.
  co_await sleepFor(RewriteTime);
  m_store.put(OperatorTable, ConfigurationKey, encodeConfiguration(m_config));
  co_await sleepFor(LapseTime - RewriteTime);
  for (const std::string &Id : m_gone)
    m_store.remove(ServerTable, Id);
}

void SoakSite::removeRow(const std::string &Id) {
  m_store.remove(ServerTable, Id);
  m_gone.insert(Id);
}

asio::awaitable<void> SoakSite::playLink(FaultProxy &Link, FaultEvent Event) {
  switch (Event.m_kind) {
  case FaultKind::ServerLinkReset:
  case FaultKind::HostStoreReset:
    Link.resetAll();
    co_return;
  case FaultKind::ServerLinkDelay:
    Link.setFault(LinkFault::Delayed, LinkDelay);
    break;
  case FaultKind::ServerLinkOneWay:
  case FaultKind::HostStoreOneWay:
    Link.setFault(LinkFault::CutBack);
    break;
  default:
    Link.setFault(LinkFault::Silent);
  }
  co_await sleepFor(Event.m_length);
  Link.setFault(LinkFault::None);
}

} // namespace tamarackdrum::soak

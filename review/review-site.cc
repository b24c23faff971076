#include "review-site.h"

#include "platform/standin/wire-encode.h"
#include "tamarackdrum/endpoint.h"
#include "tamarackdrum/sleep.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <cstdlib>
#include <iostream>
#include <nlohmann/json.hpp>
#include <spdlog/fmt/fmt.h>

namespace tamarackdrum::review {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using Json = nlohmann::json;
using namespace gateway;
using namespace platform::standin;

namespace {

constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::uint16_t StorePort = 8541;
constexpr std::uint16_t ControlPort = 8544;
constexpr Millis ReportInterval{870}; ///< heartbeat_ms of the settings.
constexpr Millis ReadyPollInterval{50};
constexpr std::size_t MaxSeeds = 3;
constexpr const char *SettingsVariable = "TAMARACKDRUM_BOOT";

Endpoint endpointOf(const std::string &Ip, std::uint16_t Port) {
  return Endpoint(asio::ip::make_address(Ip), Port);
}

asio::awaitable<bool> isReady(std::string Ip) {
  boost::beast::tcp_stream Stream(co_await asio::this_coro::executor);
  Stream.expires_after(Millis(500));
  const auto [ConnectError] =
      co_await Stream.async_connect(endpointOf(Ip, ReadyPort), UseTuple);
  if (ConnectError)
    co_return false;
  http::request<http::empty_body> Ask(http::verb::get, ReadyPath, 11);
  Ask.set(http::field::host, Ip);
  const auto [WriteError, Written] =
      co_await http::async_write(Stream, Ask, UseTuple);
  boost::beast::flat_buffer Buffer;
  http::response<http::string_body> Answer;
  const auto [ReadError, Read] =
      co_await http::async_read(Stream, Buffer, Answer, UseTuple);
  co_return !WriteError && !ReadError && Answer.result_int() == 200;
}

} // namespace

CaseOptions parseCaseOptions(int Argc, char **Argv) {
  std::map<std::string, std::string> Given;
  for (int I = 1; I + 1 < Argc; I += 2)
    Given[Argv[I]] = Argv[I + 1];
  const auto Find = [&Given](const char *Name) {
    const auto Found = Given.find(Name);
    if (Found == Given.end())
      throw std::invalid_argument(fmt::format("{} is missing", Name));
    return Found->second;
  };
  return {Find("--trouble") != "0", Find("--record"), Find("--directory"),
          Find("--program")};
}

void Record::add(const std::string &Line) {
  const Millis Since =
      std::chrono::duration_cast<Millis>(BootClock::now() - m_startedAt);
  m_out << fmt::format("{:>7} {}\n", Since.count(), Line) << std::flush;
}

ReviewSite::ReviewSite(asio::io_context &Context, const CaseOptions &Options,
                       std::string Network, std::size_t HostCount,
                       Record &Notes)
    : m_context(Context), m_options(Options), m_network(std::move(Network)),
      m_record(Notes), m_store(Context, endpointOf(address(200, 1), StorePort)),
      m_hosts(HostCount) {
  asio::co_spawn(m_context, reportServers(), asio::detached);
}

std::string ReviewSite::address(unsigned Third, std::size_t Fourth) const {
  return fmt::format("{}.{}.{}", m_network, Third, Fourth);
}

void ReviewSite::writeConfiguration(const Configuration &Config) {
  m_store.put(OperatorTable, ConfigurationKey, encodeConfiguration(Config));
  m_record.add(fmt::format("operator: version r{} acknowledged, {} routes",
                           Config.m_version, Config.m_routes.size()));
}

void ReviewSite::addServer(const ServerEntry &Entry) {
  m_servers[Entry.m_id] = Entry;
  m_store.put(ServerTable, Entry.m_id, encodeServer(Entry));
}

void ReviewSite::removeServer(const std::string &Id) {
  m_servers.erase(Id);
  m_store.remove(ServerTable, Id);
}

Ticks ReviewSite::reportServers() {
  while (true) {
    for (auto &[Id, Entry] : m_servers) {
      ++Entry.m_reportNumber;
      m_store.put(ServerTable, Id, encodeServer(Entry));
    }
    co_await sleepFor(ReportInterval);
  }
}

std::string ReviewSite::settingsOf(std::size_t Host) const {
  const std::string Ip = hostAddress(Host);
  Json Seeds = Json::array();
  for (std::size_t I = 0; I < std::min(MaxSeeds, m_hosts.size()); ++I)
    Seeds.push_back(fmt::format("{}:{}", hostAddress(I), ControlPort));
  const auto At = [&Ip](std::uint16_t Port) {
    return fmt::format("{}:{}", Ip, Port);
  };
  Json Out = {
      {"node", fmt::format("front-{}", Host + 1)},
      {"role", "gateway"},
      {"class", "front"},
      {"serves", {"front", "control"}},
      {"ip", Ip},
      {"zone", fmt::format("zone-{}", Host % 3)},
      {"region", "region"},
      {"zones",
       {{"zone-0", "region"}, {"zone-1", "region"}, {"zone-2", "region"}}},
      {"listen",
       {{"front", At(ClientPort)},
        {"ready", At(ReadyPort)},
        {"control", At(ControlPort)}}},
      {"internal_ports", {7540, 7555}},
      {"seeds", std::move(Seeds)},
      {"bootstrap", true},
      {"limits",
       {{"cpu_share", 0.2},
        {"cores", 1},
        {"memory_mb", 260},
        {"max_fds", 4100},
        {"link_mbps", 1000.0},
        {"disk_mb", 0}}},
      {"data_dir", nullptr},
      {"discovery", "platform"},
      {"entry", "vip"},
      {"heartbeat_ms", ReportInterval.count()},
      {"grants", "rpc"}};
  Out["contracts"] = {"base",  "drain",   "config", "cost",
                      "retry", "recover", "own",    "platform"};
  Out["bounds"] = {"seed_lag_s=3",
                   "reuse_after_s=2",
                   "contact_ms=3000",
                   "ack_ms=4000",
                   "catch_up_s=4",
                   "drain_ms=2000",
                   "grace_s=6",
                   "loss_slack_ms=200",
                   "config_apply_ms=2000",
                   "rollback_slack_ms=250",
                   "skew_max_ms=5000",
                   "budget_ratio=0.2",
                   "budget_window_s=10",
                   "budget_slack=56",
                   "recover_s=15",
                   "hold_max_ms=10000",
                   "thaw_slack_ms=300"};
  Out["provider"] = {
      {"address", fmt::format("{}:{}", address(200, 1), StorePort)},
      {"form", "table"},
      {"writes_per_s", 400},
      {"reads_per_s", 2000},
      {"row_bytes", 65536},
      {"across", true},
      {"history_s", 20}};
  return Out.dump();
}

void ReviewSite::startHost(std::size_t Host) {
  const std::filesystem::path File =
      m_options.m_directory / fmt::format("boot-{}.json", Host);
  std::ofstream(File) << settingsOf(Host);
  ::setenv(SettingsVariable, File.c_str(), 1);
  m_hosts.at(Host).emplace(
      std::vector<std::string>{m_options.m_program},
      (m_options.m_directory / fmt::format("host-{}.log", Host)).string());
  m_record.add(fmt::format("platform: process of host {} started", Host));
}

asio::awaitable<bool> ReviewSite::awaitReady(Millis Limit) {
  const TimePoint End = BootClock::now() + Limit;
  for (std::size_t I = 0; I < m_hosts.size();) {
    if (BootClock::now() >= End)
      co_return false;
    const bool IsUp = co_await isReady(hostAddress(I));
    if (IsUp)
      ++I;
    else
      co_await sleepFor(ReadyPollInterval);
  }
  co_return true;
}

void ReviewSite::stop() {
  for (std::optional<Child> &Item : m_hosts)
    Item.reset();
}

Route makeRoute(const std::string &Prefix, const std::string &Service,
                RequestKind Kind, Millis Timeout) {
  Route Out;
  Out.m_name = "route" + Prefix;
  Out.m_host = HostName;
  Out.m_prefix = Prefix;
  Out.m_kind = Kind;
  Out.m_timeout = Timeout;
  Out.m_objective = Timeout / 2;
  Out.m_attempts = 2;
  Out.m_priority = 1;
  Out.m_parts = {{Service, 1}};
  return Out;
}

int runCase(asio::io_context &Context, asio::awaitable<Verdict> Body) {
  Verdict Out = Verdict::NotRun;
  asio::signal_set Stop(Context, SIGTERM, SIGINT);
  Stop.async_wait([&Context](boost::system::error_code Error, int) {
    if (!Error)
      Context.stop();
  });
  asio::co_spawn(Context, std::move(Body),
                 [&](const std::exception_ptr &Error, Verdict Made) {
                   Out = Error ? Verdict::NotRun : Made;
                   try {
                     if (Error)
                       std::rethrow_exception(Error);
                   } catch (const std::exception &Item) {
                     std::cerr << Item.what() << '\n';
                   }
                   Context.stop();
                 });
  Context.run();
  return static_cast<int>(Out);
}

} // namespace tamarackdrum::review

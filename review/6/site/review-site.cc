/// \file
/// Plays one case of the review against a gateway process: starts the gateway,
/// plays the platform's store, the servers and the clients, and writes what was
/// sent, answered and run.
///
/// Exit codes: 0 the rule was kept, 1 it was broken, 2 the case could not run.

#include "child-process.h"
#include "keyed-server.h"
#include "platform/standin/row-store.h"
#include "request-history.h"
#include "site-settings.h"
#include "tamarackdrum/sleep.h"

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/program_options.hpp>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <random>
#include <spdlog/fmt/fmt.h>

namespace tamarackdrum::review {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
namespace po = boost::program_options;
using asio::ip::tcp;

constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);
constexpr int ExitKept = 0;
constexpr int ExitBroken = 1;
constexpr int ExitNotRun = 2;
constexpr const char *ServiceName = "orders";
constexpr const char *RouteHost = "orders.example";
constexpr std::size_t ServerCount = 8;
constexpr unsigned SlotsPerServer = 2;
constexpr Millis ReportInterval{870};
constexpr Millis ReadyTimeout{15000};
constexpr Millis SettleTime{3000}; ///< For the first grants of the keys.
constexpr Millis LateRunTime{2500};
constexpr Millis ClientDeadline{3000};
constexpr Millis ClientTimeout{5000};
constexpr std::size_t OrderBytes = 1200;
/// With fewer answered requests, the run shows nothing.
constexpr std::size_t MinServed = 500;

/// A disruption of the servers that comes again and again.
struct Trouble {
  Millis m_every{0};  ///< From one begin to the next.
  Millis m_length{0}; ///< Of each.
  double m_serverShare = 0;
  double m_answerShare = 0; ///< Of the requests at a server that it hits.
};

/// What a case plays.
struct Case {
  bool m_isKeyed = false;
  std::size_t m_clients = 0;
  Millis m_minWork{0};
  Millis m_maxWork{0};
  Millis m_traffic{0};
  Trouble m_sheds;
  Trouble m_copies;
  Trouble m_fails;
  Millis m_minCopyDelay{0};
  Millis m_maxCopyDelay{0};
};

std::optional<Case> findCase(const std::string &Name) {
  if (Name == "late-refusal")
    return Case{.m_isKeyed = true,
                .m_clients = 24,
                .m_minWork = Millis(20),
                .m_maxWork = Millis(40),
                .m_traffic = Millis(85000),
                .m_sheds = {Millis(10000), Millis(8500), 1, 0.15},
                .m_copies = {Millis(5000), Millis(5000), 0.6, 0.03},
                .m_minCopyDelay = Millis(4),
                .m_maxCopyDelay = Millis(30)};
  if (Name == "failed-429")
    return Case{.m_clients = 12,
                .m_minWork = Millis(40),
                .m_maxWork = Millis(120),
                .m_traffic = Millis(20000),
                .m_fails = {Millis(10000), Millis(6500), 0.14, 0.45}};
  return std::nullopt;
}

struct Options {
  std::string m_program;
  std::string m_case;
  std::string m_record;
  std::uint64_t m_seed = 1;
  bool m_hasTrouble = true;
};

/// The whole site of a case.
class ReviewSite {
public:
  ReviewSite(asio::io_context &Context, Options Chosen, Case Played)
      : m_context(Context), m_options(std::move(Chosen)),
        m_case(std::move(Played)), m_random(m_options.m_seed),
        m_store(Context, {asio::ip::make_address("127.0.0.1"), 0}) {
    std::string Pattern =
        (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    m_directory = ::mkdtemp(Pattern.data());
  }
  ~ReviewSite() {
    m_gateway.reset();
    std::filesystem::remove_all(m_directory);
  }
  ReviewSite(const ReviewSite &) = delete;
  ReviewSite &operator=(const ReviewSite &) = delete;

  asio::awaitable<void> play() {
    startServers();
    m_store.put("op", "config", configurationText());
    m_network = chooseNetwork(m_random);
    startGateway();
    if (!co_await isReadyInTime())
      throw std::runtime_error("the gateway does not become ready");
    co_await sleepFor(SettleTime);
    m_trafficEnd = BootClock::now() + m_case.m_traffic;
    if (m_options.m_hasTrouble)
      spawnTroubles();
    for (std::size_t I = 0; I < m_case.m_clients; ++I)
      asio::co_spawn(m_context, runClient(m_random()), asio::detached);
    co_await sleepFor(m_case.m_traffic + ClientTimeout);
    co_await sleepFor(LateRunTime);
    m_gateway->signal(SIGTERM);
    m_exitCode = m_gateway->wait();
  }

  int judge() {
    const Verdict Found = m_history.judge();
    std::ofstream Out(m_options.m_record);
    Out << fmt::format("case {}, seed {}, trouble {}\n", m_options.m_case,
                       m_options.m_seed, m_options.m_hasTrouble);
    Out << fmt::format("sent {}, answered 200 {}, answered otherwise {}, no "
                       "answer {}\n",
                       Found.m_sent, Found.m_served, Found.m_otherwise,
                       Found.m_unanswered);
    Out << fmt::format("refusals of servers {}, late copies of refusals {}, "
                       "exit code of the gateway {}\n",
                       m_history.m_refusals, m_history.m_copies, m_exitCode);
    Out << fmt::format("REFUSED broken {} times, TWICE broken {} times\n",
                       Found.m_refusedThoughRun, Found.m_runTwice);
    m_history.write(Out);
    std::cout << fmt::format(
        "sent {}, served {}, REFUSED broken {} times, TWICE broken {} times\n",
        Found.m_sent, Found.m_served, Found.m_refusedThoughRun,
        Found.m_runTwice);
    if (Found.m_served < MinServed)
      return ExitNotRun;
    return Found.m_refusedThoughRun + Found.m_runTwice > 0 ? ExitBroken
                                                           : ExitKept;
  }

private:
  void startServers() {
    for (std::size_t I = 0; I < ServerCount; ++I) {
      ServerOptions Own;
      Own.m_id =
          fmt::format("i-{:08x}", static_cast<std::uint32_t>(m_random()));
      Own.m_zone = fmt::format("zone-{}", I % 3);
      Own.m_service = ServiceName;
      Own.m_slots = SlotsPerServer;
      Own.m_isKeyed = m_case.m_isKeyed;
      Own.m_minWork = m_case.m_minWork;
      Own.m_maxWork = m_case.m_maxWork;
      Own.m_minCopyDelay = m_case.m_minCopyDelay;
      Own.m_maxCopyDelay = m_case.m_maxCopyDelay;
      m_servers.push_back(std::make_unique<KeyedServer>(
          m_context, std::move(Own), m_random(), m_history));
    }
    asio::co_spawn(m_context, report(), asio::detached);
  }

  asio::awaitable<void> report() {
    while (true) {
      for (const std::unique_ptr<KeyedServer> &Item : m_servers)
        m_store.put("servers", Item->id(), Item->nextEntry());
      co_await sleepFor(ReportInterval);
    }
  }

  std::string configurationText() const {
    const nlohmann::json Route = {
        {"host", RouteHost},      {"prefix", "/order/"}, {"kind", "unsafe"},
        {"timeout_ms", 1500},     {"slo_ms", 800},       {"priority", 1},
        {"service", ServiceName}, {"attempts", 2}};
    const nlohmann::json Service = {{"health_path", "/healthz"},
                                    {"max_conns", 110},
                                    {"protocol", "h1"},
                                    {"tls", false},
                                    {"sharded", m_case.m_isKeyed},
                                    {"warm_s", 2.0},
                                    {"grants", "rpc"}};
    return nlohmann::json{{"version", "r1"},
                          {"routes", {{"r-order", Route}}},
                          {"services", {{ServiceName, Service}}},
                          {"limits",
                           {{"max_header_bytes", 16384},
                            {"max_body_bytes", 67108864},
                            {"header_timeout_ms", 3000},
                            {"idle_timeout_ms", 15000}}}}
        .dump();
  }

  void startGateway() {
    const std::string File = m_directory + "/boot.json";
    std::ofstream(File) << settingsText(
        m_network, fmt::format("127.0.0.1:{}", m_store.address().port()));
    ::setenv("TAMARACKDRUM_BOOT", File.c_str(), 1);
    m_gateway.emplace(std::vector<std::string>{m_options.m_program},
                      m_directory + "/gateway.log");
  }

  asio::awaitable<bool> isReadyInTime() {
    const TimePoint End = BootClock::now() + ReadyTimeout;
    while (BootClock::now() < End && !m_gateway->hasEnded()) {
      beast::tcp_stream Stream(m_context);
      Stream.expires_after(Millis(500));
      const auto [Error] = co_await Stream.async_connect(
          endpointOf(m_network.m_readyPort), UseTuple);
      http::request<http::empty_body> Ask(http::verb::get, "/-/readyz", 11);
      http::response<http::string_body> Answer;
      beast::flat_buffer Buffer;
      if (!Error) {
        co_await http::async_write(Stream, Ask, UseTuple);
        co_await http::async_read(Stream, Buffer, Answer, UseTuple);
      }
      if (Answer.result_int() == 200 && !Answer.body().empty())
        co_return true;
      co_await sleepFor(Millis(100));
    }
    co_return false;
  }

  tcp::endpoint endpointOf(std::uint16_t Port) const {
    return {asio::ip::make_address(m_network.m_ip), Port};
  }

  void spawnTroubles() {
    using Set = void (KeyedServer::*)(double);
    const std::vector<std::pair<Trouble, Set>> All{
        {m_case.m_sheds, &KeyedServer::setShedShare},
        {m_case.m_copies, &KeyedServer::setCopyShare},
        {m_case.m_fails, &KeyedServer::setFailShare}};
    for (const auto &[Item, Change] : All)
      if (Item.m_length > Millis(0))
        asio::co_spawn(m_context, disrupt(Item, Change), asio::detached);
  }

  /// Begins and ends \p Item at servers that are drawn anew each time.
  asio::awaitable<void> disrupt(Trouble Item,
                                void (KeyedServer::*Change)(double)) {
    while (BootClock::now() + Item.m_length < m_trafficEnd) {
      std::vector<KeyedServer *> Hit;
      for (const std::unique_ptr<KeyedServer> &Server : m_servers)
        Hit.push_back(Server.get());
      std::shuffle(Hit.begin(), Hit.end(), m_random);
      Hit.resize(static_cast<std::size_t>(Item.m_serverShare * ServerCount));
      for (KeyedServer *Server : Hit)
        (Server->*Change)(Item.m_answerShare);
      co_await sleepFor(Item.m_length);
      for (KeyedServer *Server : Hit)
        (Server->*Change)(0);
      co_await sleepFor(Item.m_every - Item.m_length);
    }
  }

  /// A client that places one order after the other on a kept connection.
  asio::awaitable<void> runClient(std::uint64_t Seed) {
    std::mt19937_64 Random(Seed);
    std::optional<beast::tcp_stream> Stream;
    beast::flat_buffer Buffer;
    while (BootClock::now() < m_trafficEnd) {
      if (!Stream) {
        Stream.emplace(m_context);
        Buffer.clear();
        Stream->expires_after(Millis(1000));
        const auto [Error] = co_await Stream->async_connect(
            endpointOf(m_network.m_clientPort), UseTuple);
        if (Error) {
          Stream.reset();
          co_await sleepFor(Millis(50));
          continue;
        }
      }
      const std::string Id = fmt::format("{:016x}", Random());
      http::request<http::string_body> Order(http::verb::post, "/order/new",
                                             11);
      Order.set(http::field::host, RouteHost);
      Order.set("X-Request-Id", Id);
      Order.set("X-Deadline-Ms", std::to_string(ClientDeadline.count()));
      if (m_case.m_isKeyed)
        Order.set("X-Shard-Key", std::to_string(Random() % KeyCount));
      Order.body().assign(OrderBytes, 'o');
      Order.prepare_payload();
      m_history.sent(Id);
      Stream->expires_after(ClientTimeout);
      co_await http::async_write(*Stream, Order, UseTuple);
      http::response<http::string_body> Answer;
      const auto [Error, Count] =
          co_await http::async_read(*Stream, Buffer, Answer, UseTuple);
      m_history.answered(Id, Error ? 0 : Answer.result_int());
      if (Error || !Answer.keep_alive())
        Stream.reset();
    }
  }

  asio::io_context &m_context;
  const Options m_options;
  const Case m_case;
  std::mt19937_64 m_random;
  RequestHistory m_history;
  platform::standin::RowStore m_store;
  std::vector<std::unique_ptr<KeyedServer>> m_servers;
  std::string m_directory;
  SiteNetwork m_network;
  std::optional<Child> m_gateway;
  TimePoint m_trafficEnd;
  int m_exitCode = 0;
};

int run(int Argc, char **Argv) {
  Options Chosen;
  po::options_description Known("review-site");
  Known.add_options()("program", po::value(&Chosen.m_program)->required(),
                      "path of tamarack-gateway")(
      "case", po::value(&Chosen.m_case)->required(), "name of the case")(
      "record", po::value(&Chosen.m_record)->required(),
      "file to write")("seed", po::value(&Chosen.m_seed), "seed of all draws")(
      "trouble", po::value(&Chosen.m_hasTrouble), "0: no disruption");
  po::variables_map Values;
  po::store(po::parse_command_line(Argc, Argv, Known), Values);
  po::notify(Values);
  const std::optional<Case> Played = findCase(Chosen.m_case);
  if (!Played)
    throw std::runtime_error("unknown case " + Chosen.m_case);
  std::signal(SIGPIPE, SIG_IGN);
  asio::io_context Context(1);
  ReviewSite Site(Context, std::move(Chosen), *Played);
  std::exception_ptr Failure;
  asio::co_spawn(Context, Site.play(), [&](std::exception_ptr Thrown) {
    Failure = Thrown;
    Context.stop();
  });
  Context.run();
  if (Failure)
    std::rethrow_exception(Failure);
  return Site.judge();
}

} // namespace
} // namespace tamarackdrum::review

int main(int Argc, char **Argv) {
  try {
    return tamarackdrum::review::run(Argc, Argv);
  } catch (const std::exception &Error) {
    std::cerr << Error.what() << '\n';
    return 2;
  }
}

// Servers that name a limit on their rate of requests, and the hosts of a site
// that share it. The check is the one of the soak.

#include "fake-platform.h"
#include "limit-check.h"

#include "platform/key-server-client.h"
#include "platform/wire-decode.h"

#include <gtest/gtest.h>
#include <spdlog/fmt/fmt.h>

namespace tamarackdrum::gateway {
namespace {

using namespace test;
using platform::standin::KeyServer;
using platform::standin::KeyServerOptions;
using soak::LimitExcess;

constexpr Millis ReadyTimeout{30000};
constexpr int NoOutput = -1; ///< Discards log lines.
constexpr std::size_t HostCount = 3;
constexpr unsigned Slots = 4;
constexpr Millis WorkTime{20};
constexpr Millis ClientPause{20}; ///< Between two requests of a client.
constexpr Millis Deadline{1500};
/// From the naming of a limit until the end of the last judged window.
constexpr Millis JudgedTime{8000};

/// Three hosts, each with one client of the unkeyed service "web" and one of
/// the keyed service "stock". Each service has three servers.
class ServerLimitTest : public testing::Test {
protected:
  struct Reply {
    std::string m_path;
    unsigned m_status = 0;
    double m_retryAfter = 0; ///< In seconds.
  };

  ServerLimitTest() {
    for (const char *Service : {"web", "stock"})
      for (int I = 0; I < 3; ++I)
        addServer(fmt::format("{}-{}", Service, I), Service);
    Configuration &Config = m_store.m_configuration;
    Config.m_version = 3;
    Config.m_routes = {makeRoute("safe", "/web/", "web"),
                       makeRoute("keyed", "/stock/", "stock")};
    Config.m_services["web"] = {"web", 100, false};
    Config.m_services["stock"] = {"stock", 100, true};
  }

  ~ServerLimitTest() override { m_context.stop(); }

  static Route makeRoute(const char *Name, const char *Prefix,
                         const char *Service) {
    Route Out;
    Out.m_name = Name;
    Out.m_host = "shop.example";
    Out.m_prefix = Prefix;
    Out.m_kind = RequestKind::Safe;
    Out.m_timeout = Deadline;
    Out.m_objective = Deadline / 3;
    Out.m_attempts = 2;
    Out.m_parts = {{Service, 1}};
    return Out;
  }

  void addServer(const std::string &Id, const char *Service) {
    KeyServerOptions Options;
    Options.m_entry.m_id = Id;
    Options.m_entry.m_service = Service;
    Options.m_entry.m_zone = "zone-a";
    Options.m_entry.m_slots = Slots;
    Options.m_entry.m_startMs = 1;
    Options.m_isKeyed = Service == std::string("stock");
    Options.m_workTime = WorkTime;
    m_servers[Id] = std::make_unique<KeyServer>(
        m_context, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0),
        Options, m_records);
    ServerRow Row{Id, true, Options.m_entry};
    const asio::ip::tcp::endpoint Address = m_servers[Id]->address();
    Row.m_entry.m_address =
        fmt::format("{}:{}", Address.address().to_string(), Address.port());
    m_store.m_servers.push_back(Row);
  }

  /// Returns ports that are all different.
  std::vector<std::uint16_t> freePorts(std::size_t Count) {
    std::vector<std::unique_ptr<asio::ip::tcp::acceptor>> Probes;
    std::vector<std::uint16_t> Out;
    for (std::size_t I = 0; I < Count; ++I) {
      Probes.push_back(std::make_unique<asio::ip::tcp::acceptor>(
          m_context,
          asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0)));
      Out.push_back(Probes.back()->local_endpoint().port());
    }
    return Out;
  }

  void startHosts() {
    const std::vector<std::uint16_t> Ports = freePorts(3);
    for (std::size_t I = 0; I < HostCount; ++I) {
      GatewaySettings Settings;
      const std::string Ip = fmt::format("127.0.0.{}", I + 1);
      Settings.m_host = {fmt::format("host-{}", I), Ip, "zone-a",
                         static_cast<std::int64_t>(I + 1), 20};
      if (I > 0)
        Settings.m_seedIps = {"127.0.0.1"};
      Settings.m_clientAddress = fmt::format("{}:{}", Ip, Ports[0]);
      Settings.m_readyAddress = fmt::format("{}:{}", Ip, Ports[1]);
      Settings.m_peerPort = Ports[2];
      Settings.m_headers = platform::headerNames();
      m_addresses.push_back(parseEndpoint(Settings.m_clientAddress).value());
      m_hosts.push_back(std::make_unique<GatewayHost>(m_context.get_executor(),
                                                      HostPolicy{}, Settings,
                                                      m_store, m_keys, m_log));
      ASSERT_FALSE(m_hosts.back()->start());
    }
    ASSERT_TRUE(runUntil([this] {
      return std::all_of(m_hosts.begin(), m_hosts.end(),
                         [](const auto &Item) { return Item->isReady(); });
    }));
    for (std::size_t I = 0; I < HostCount; ++I)
      for (const char *Path : {"/web/", "/stock/"})
        asio::co_spawn(m_context, runClient(I, Path), asio::detached);
    // Until keys have holders and the hosts have found their coordinators.
    ASSERT_TRUE(runUntil([this] { return servedCount("/stock/") > 50; }));
  }

  template <typename Predicate> bool runUntil(Predicate Condition) {
    const TimePoint End = BootClock::now() + ReadyTimeout;
    while (!Condition() && BootClock::now() < End)
      m_context.run_one_for(Millis(20));
    return Condition();
  }

  /// Sends requests one after the other over one connection at a time.
  asio::awaitable<void> runClient(std::size_t Host, std::string Path) {
    while (true) {
      boost::beast::tcp_stream Stream(m_context);
      boost::beast::flat_buffer Buffer;
      const auto [Error] =
          co_await Stream.async_connect(m_addresses[Host], UseTuple);
      bool IsOpen = !Error;
      while (IsOpen) {
        const bool IsKept = co_await exchange(Stream, Buffer, Host, Path);
        IsOpen = IsKept;
        co_await sleepFor(ClientPause);
      }
      co_await sleepFor(ClientPause);
    }
  }

  asio::awaitable<bool> exchange(boost::beast::tcp_stream &Stream,
                                 boost::beast::flat_buffer &Buffer,
                                 std::size_t Host, const std::string &Path) {
    const std::string Id = fmt::format("{}-{}", Host, ++m_lastId);
    const HeaderNames Names = platform::headerNames();
    http::request<http::empty_body> Call(http::verb::get, Path + Id, 11);
    Call.set(http::field::host, "shop.example");
    Call.set(Names.m_requestId, Id);
    Call.set(Names.m_deadlineMs, std::to_string(Deadline.count()));
    Call.set(Names.m_key, std::to_string(m_lastId * 7919 % KeyCount));
    const auto [WriteError, Written] =
        co_await http::async_write(Stream, Call, UseTuple);
    if (WriteError)
      co_return false;
    http::response<http::string_body> Answer;
    const auto [ReadError, Read] =
        co_await http::async_read(Stream, Buffer, Answer, UseTuple);
    if (ReadError)
      co_return false;
    const std::string RetryAfter(Answer[http::field::retry_after]);
    m_replies.push_back({Path, Answer.result_int(),
                         RetryAfter.empty() ? 0 : std::stod(RetryAfter)});
    co_return Answer.keep_alive();
  }

  std::size_t servedCount(const std::string &Path) const {
    return static_cast<std::size_t>(std::count_if(
        m_replies.begin(), m_replies.end(), [&Path](const Reply &Item) {
          return Item.m_path == Path && Item.m_status == 200;
        }));
  }

  /// Returns the answers of 503 to requests for keys.
  std::vector<Reply> refusals() const {
    std::vector<Reply> Out;
    for (const Reply &Item : m_replies)
      if (Item.m_path == "/stock/" && Item.m_status == 503)
        Out.push_back(Item);
    return Out;
  }

  void name(const std::string &Server, const std::string &Text,
            std::optional<double> Limit) {
    m_servers.at(Server)->setRateLimit(Text, Limit);
  }

  /// The ids of requests begin with the number of their host.
  std::vector<LimitExcess> findExcesses() const {
    std::vector<soak::HostArrival> Arrivals;
    for (const platform::standin::ArrivalRecord &Item : m_records.m_arrivals)
      Arrivals.push_back({Item, std::stoul(Item.m_requestId)});
    return findLimitExcesses(
        Arrivals, m_records.m_limits,
        [](std::size_t, TimePoint, TimePoint) { return false; });
  }

  static std::string toText(const std::vector<LimitExcess> &Found) {
    std::string Out;
    for (const LimitExcess &Item : Found)
      Out += fmt::format("{}: {} of {}; ", Item.m_server, Item.m_count,
                         Item.m_allowed);
    return Out;
  }

  std::size_t arrivalsSince(const std::string &Server, TimePoint From) const {
    return static_cast<std::size_t>(
        std::count_if(m_records.m_arrivals.begin(), m_records.m_arrivals.end(),
                      [&](const platform::standin::ArrivalRecord &Item) {
                        return Item.m_server == Server && Item.m_at >= From;
                      }));
  }

  asio::io_context m_context{1};
  EventLog m_log{LogPolicy{}, "test", NoOutput};
  FakeStore m_store;
  platform::KeyServerClient m_keys;
  platform::standin::ServerRecords m_records;
  std::map<std::string, std::unique_ptr<KeyServer>> m_servers;
  std::vector<Endpoint> m_addresses;
  std::vector<std::unique_ptr<GatewayHost>> m_hosts;
  std::vector<Reply> m_replies;
  std::uint64_t m_lastId = 0;
};

// Incident inc1: a server got as many requests after it had named its limit as
// before.
TEST_F(ServerLimitTest, Answer_NamesLimit_AllHostsTogetherKeepIt) {
  startHosts();
  name("web-0", "2.5", 2.5);
  name("stock-0", "2.5", 2.5);
  m_context.run_for(JudgedTime);
  EXPECT_EQ(toText(findExcesses()), "");
}

TEST_F(ServerLimitTest, Answer_NamesLimit_RateIsUsed) {
  startHosts();
  name("web-0", "5", 5.0);
  name("web-1", "5", 5.0);
  name("web-2", "5", 5.0);
  m_context.run_for(Millis(1000));
  const TimePoint From = BootClock::now();
  EXPECT_TRUE(runUntil([this, From] {
    return arrivalsSince("web-0", From) >= 25 &&
           arrivalsSince("web-1", From) >= 25 &&
           arrivalsSince("web-2", From) >= 25;
  }));
  const double Seconds =
      std::chrono::duration<double>(BootClock::now() - From).count();
  for (const char *Server : {"web-0", "web-1", "web-2"})
    EXPECT_LE(static_cast<double>(arrivalsSince(Server, From)), 5 * Seconds + 3)
        << Server;
}

// The coordinator knows limits from all hosts; the next one has heard less.
TEST_F(ServerLimitTest, Hosts_StopInTurn_LimitIsKept) {
  startHosts();
  name("web-0", "0.5", 0.5);
  name("web-1", "0.5", 0.5);
  name("stock-0", "0.5", 0.5);
  m_context.run_for(Millis(3000));
  for (std::size_t I = 0; I + 1 < HostCount; ++I) {
    m_hosts[I]->stop([] {});
    m_context.run_for(Millis(3500));
  }
  EXPECT_EQ(toText(findExcesses()), "");
}

TEST_F(ServerLimitTest, Answer_NamesNoLimitAnyMore_ServerIsUsedAgain) {
  startHosts();
  for (const char *Server : {"web-0", "web-1", "web-2"})
    name(Server, "0.5", 0.5);
  m_context.run_for(Millis(3000));
  for (const char *Server : {"web-0", "web-1", "web-2"})
    name(Server, "", std::nullopt);
  // By the limits, this would take over two minutes.
  const std::size_t ServedBefore = servedCount("/web/");
  EXPECT_TRUE(runUntil([this, ServedBefore] {
    return servedCount("/web/") >= ServedBefore + 200;
  }));
}

TEST_F(ServerLimitTest, Answer_NamesNoNumber_ServersAreUsedAsBefore) {
  startHosts();
  for (const char *Text : {"-1", "soon", "1e-3", "nan"}) {
    for (const char *Server : {"web-0", "web-1", "web-2"})
      name(Server, Text, std::nullopt);
    const std::size_t ServedBefore = servedCount("/web/");
    EXPECT_TRUE(runUntil([this, ServedBefore] {
      return servedCount("/web/") >= ServedBefore + 50;
    })) << Text;
  }
}

// Only the holder of a key may run its requests. DispatcherLimitTest has the
// times, on a virtual clock.
TEST_F(ServerLimitTest, KeyedRequest_AllHoldersAreLimited_RestIsRefused) {
  startHosts();
  for (const char *Server : {"stock-0", "stock-1", "stock-2"})
    name(Server, "0.2", 0.2);
  m_context.run_for(Millis(1000));
  m_replies.clear();
  EXPECT_TRUE(runUntil([this] { return refusals().size() >= 100; }));
  for (const Reply &Item : refusals())
    EXPECT_GT(Item.m_retryAfter, 0);
  m_context.run_for(JudgedTime);
  EXPECT_EQ(toText(findExcesses()), "");
}

TEST_F(ServerLimitTest, KeyedRequest_HolderIsLimited_KeysMoveToOthers) {
  startHosts();
  name("stock-0", "0.5", 0.5);
  bool HaveMoved = false;
  for (const TimePoint End = BootClock::now() + ReadyTimeout;
       !HaveMoved && BootClock::now() < End;) {
    m_replies.clear();
    EXPECT_TRUE(runUntil([this] { return servedCount("/stock/") >= 100; }));
    HaveMoved = refusals().size() < servedCount("/stock/") / 3;
  }
  EXPECT_TRUE(HaveMoved);
  m_context.run_for(JudgedTime);
  EXPECT_EQ(toText(findExcesses()), "");
}

} // namespace
} // namespace tamarackdrum::gateway

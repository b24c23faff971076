#include "fake-platform.h"

#include <gtest/gtest.h>

namespace tamarackdrum::gateway {
namespace {

using namespace test;

constexpr Millis WaitTimeout{30000};
constexpr Millis ContactBound{3000};
constexpr int HostCount = 3;
constexpr int NoOutput = -1;

/// Key servers that one host reaches or not.
class LinkedKeyServers : public FakeKeyServers {
public:
  asio::awaitable<GrantReply> call(GrantCall Call,
                                   TimePoint Deadline) override {
    if (m_isCut) {
      co_await sleepFor(Millis(20));
      co_return GrantReply{GrantResult::NotSent, ""};
    }
    GrantReply Out = co_await FakeKeyServers::call(std::move(Call), Deadline);
    co_return Out;
  }

  bool m_isCut = false;
};

/// How new connections of a cut-off host end. Silent: they are accepted, e.g.
/// by a proxy in the path, and nothing comes back over them.
enum class Cut { Refused, Hanging, Silent };

/// Three hosts and four servers of two services in two zones. One host, the
/// granter, is cut off from all servers.
class CutOffHostTest : public testing::TestWithParam<Cut> {
protected:
  CutOffHostTest() {
    m_store.m_configuration.m_version = 3;
    m_store.m_configuration.m_routes = {
        makeRoute("safe", "/web/", RequestKind::Safe, "web"),
        makeRoute("once", "/pay/", RequestKind::Unsafe, "web"),
        makeRoute("keyed", "/stock/", RequestKind::Safe, "stock")};
    m_store.m_configuration.m_services["web"] = {"web", 100, false};
    m_store.m_configuration.m_services["stock"] = {"stock", 100, true};
    for (auto &[Name, Item] : m_store.m_configuration.m_services)
      Item.m_healthPath = ScriptedServer::HealthPath;
    for (std::size_t I = 0; I < m_servers.size(); ++I) {
      ServerEntry Entry;
      Entry.m_service = I < 2 ? "web" : "stock";
      Entry.m_id = Entry.m_service + "-" + std::to_string(I % 2);
      Entry.m_address = m_servers[I].address();
      Entry.m_zone = I % 2 == 0 ? "zone-a" : "zone-b";
      Entry.m_slots = 4;
      Entry.m_startMs = 1;
      m_store.m_servers.push_back({Entry.m_id, true, Entry});
    }
    fillBacklog();
    const std::uint16_t PeerPort = freePort();
    for (int I = 0; I < HostCount; ++I)
      addHost(I, PeerPort);
  }

  ~CutOffHostTest() override { m_context.stop(); }

  static Route makeRoute(const char *Name, const char *Prefix, RequestKind Kind,
                         const char *Service) {
    Route Out;
    Out.m_name = Name;
    Out.m_host = "shop.example";
    Out.m_prefix = Prefix;
    Out.m_kind = Kind;
    Out.m_timeout = Millis(3000);
    Out.m_objective = Millis(800);
    Out.m_attempts = 2;
    Out.m_parts = {{Service, 1}};
    return Out;
  }

  /// Fills the queue of a listening socket, so that further connections hang.
  void fillBacklog() {
    m_full.open(asio::ip::tcp::v4());
    m_full.bind({asio::ip::address_v4::loopback(), 0});
    m_full.listen(0);
    for (asio::ip::tcp::socket &Socket : m_fillers)
      Socket.async_connect(m_full.local_endpoint(),
                           [](boost::system::error_code) {});
  }

  std::uint16_t freePort() {
    asio::ip::tcp::acceptor &Probe = m_probes.emplace_back(
        m_context,
        asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    return Probe.local_endpoint().port();
  }

  void addHost(int Number, std::uint16_t PeerPort) {
    const std::string Ip = "127.0.0." + std::to_string(Number + 2);
    GatewaySettings Settings;
    Settings.m_host = {"host-" + std::to_string(Number), Ip,
                       Number < 2 ? "zone-a" : "zone-b", Number + 1, 20};
    Settings.m_clientAddress = Ip + ":" + std::to_string(freePort());
    Settings.m_readyAddress = Ip + ":" + std::to_string(freePort());
    Settings.m_peerPort = PeerPort;
    Settings.m_headers = Headers;
    Settings.m_contactBound = ContactBound;
    m_addresses.push_back(parseEndpoint(Settings.m_clientAddress).value());
    m_hosts.push_back(std::make_unique<GatewayHost>(
        m_context.get_executor(), HostPolicy{}, Settings, m_store,
        m_keys[Number], m_log));
    EXPECT_FALSE(m_hosts.back()->start());
  }

  template <typename Predicate> bool runUntil(Predicate Condition) {
    const TimePoint End = BootClock::now() + WaitTimeout;
    while (!Condition() && BootClock::now() < End)
      m_context.run_one_for(Millis(20));
    return Condition();
  }

  void setCut(bool IsCut) {
    m_keys[m_cutHost].m_isCut = IsCut;
    const std::string Target = "127.0.0.1:" + std::to_string(cutPort());
    m_hosts[m_cutHost]->setAddressMap(
        [=](const std::string &Address) { return IsCut ? Target : Address; });
  }

  std::uint16_t cutPort() const {
    if (GetParam() == Cut::Refused)
      return 1;
    return (GetParam() == Cut::Hanging ? m_full : m_silent)
        .local_endpoint()
        .port();
  }

  /// Sends a first attempt to \p Host and counts its end.
  asio::awaitable<void> attempt(int Host, std::string Bytes, bool IsCounted) {
    boost::beast::tcp_stream Stream(m_context);
    unsigned Status = 0;
    const auto [Error] =
        co_await Stream.async_connect(m_addresses[Host], UseTuple);
    if (!Error) {
      co_await asio::async_write(Stream, asio::buffer(Bytes), UseTuple);
      boost::beast::flat_buffer Buffer;
      http::response<http::string_body> Answer;
      const auto [ReadError, Count] =
          co_await http::async_read(Stream, Buffer, Answer, UseTuple);
      Status = ReadError ? 0 : Answer.result_int();
    }
    if (IsCounted)
      ++(Status == 200 ? m_served : m_failed)[Host];
    --m_open;
  }

  /// Sends safe and unsafe requests to \p Hosts for \p Time.
  void sendRequests(const std::vector<int> &Hosts, Millis Time, Millis Interval,
                    bool IsCounted) {
    const TimePoint End = BootClock::now() + Time;
    while (BootClock::now() < End) {
      for (const int Host : Hosts) {
        const std::string Id = "id-" + std::to_string(++m_lastId);
        const bool IsSafe = m_lastId / HostCount % 2 == 0;
        const std::string Bytes =
            (IsSafe ? "GET /web/" : "POST /pay/") +
            std::string(" HTTP/1.1\r\nHost: shop.example\r\nTest-Id: ") + Id +
            "\r\nTest-Deadline: 3000\r\nContent-Length: " +
            std::to_string(IsSafe ? 0 : Id.size()) + "\r\n\r\n" +
            (IsSafe ? "" : Id);
        ++m_open;
        asio::co_spawn(m_context, attempt(Host, Bytes, IsCounted),
                       asio::detached);
      }
      const TimePoint Next = BootClock::now() + Interval;
      while (BootClock::now() < Next)
        m_context.run_one_until(Next);
    }
    EXPECT_TRUE(runUntil([this] { return m_open == 0; }));
  }

  asio::io_context m_context{1};
  EventLog m_log{LogPolicy{}, "test", NoOutput};
  FakeStore m_store;
  std::array<LinkedKeyServers, HostCount> m_keys;
  std::array<ScriptedServer, 4> m_servers{
      ScriptedServer(m_context), ScriptedServer(m_context),
      ScriptedServer(m_context), ScriptedServer(m_context)};
  std::list<asio::ip::tcp::acceptor> m_probes; ///< Keep their ports reserved.
  asio::ip::tcp::acceptor m_full{m_context};
  /// The kernel accepts its connections; nobody reads from them.
  asio::ip::tcp::acceptor m_silent{
      m_context, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0)};
  std::array<asio::ip::tcp::socket, 3> m_fillers{
      asio::ip::tcp::socket(m_context), asio::ip::tcp::socket(m_context),
      asio::ip::tcp::socket(m_context)};
  std::vector<Endpoint> m_addresses;
  std::vector<std::unique_ptr<GatewayHost>> m_hosts;
  int m_cutHost = 0;
  int m_lastId = 0;
  int m_open = 0;
  std::map<int, int> m_served; ///< By host.
  std::map<int, int> m_failed; ///< By host.
};

// The rule: from the contact bound on, first attempts at a cut-off host are
// served at least two thirds as often as those at other hosts, and at most 10
// and 1 in 50 fail. Unsafe requests run at most once.
TEST_P(CutOffHostTest, AllServersUnreachable_PeersReachThem_IsServedByPeers) {
  const auto Granter = [this] {
    return m_store.m_ownership.m_record.m_granter;
  };
  ASSERT_TRUE(runUntil([&] {
    return !Granter().empty() &&
           std::all_of(m_hosts.begin(), m_hosts.end(),
                       [](const auto &Item) { return Item->isReady(); });
  }));
  m_cutHost = Granter().back() - '0';
  const int Other = (m_cutHost + 1) % HostCount;
  // Lets each host reach servers and learn that its peers do.
  sendRequests({0, 1, 2}, Millis(1000), Millis(100), false);
  setCut(true);
  sendRequests({m_cutHost, Other}, ContactBound, Millis(200), false);
  sendRequests({m_cutHost, Other}, Millis(2000), Millis(50), true);
  EXPECT_TRUE(m_hosts[m_cutHost]->isCutOff());
  EXPECT_TRUE(m_hosts[m_cutHost]->isReady());
  EXPECT_FALSE(m_hosts[Other]->isCutOff());
  const int Attempts = m_served[m_cutHost] + m_failed[m_cutHost];
  EXPECT_GE(m_served[m_cutHost] * 3, m_served[Other] * 2);
  EXPECT_LE(m_failed[m_cutHost], 10 + Attempts / 50);
  EXPECT_GT(m_served[Other], 0);
  std::map<std::string, int> Runs;
  for (const ScriptedServer &Item : m_servers)
    for (const ReceivedRequest &Seen : Item.m_requests)
      if (Seen.m_method == "POST") {
        EXPECT_EQ(++Runs[Seen.m_body], 1);
      }
  const std::string Name = "host-" + std::to_string(m_cutHost);
  EXPECT_TRUE(runUntil([&] { return Granter() != Name; }));
  setCut(false);
  EXPECT_TRUE(runUntil([&] { return !m_hosts[m_cutHost]->isCutOff(); }));
}

// A host that turned out to be cut off gave up what its servers were at work
// on, although the connections worked and nobody would send the request again.
TEST_P(CutOffHostTest, RequestOnItsLastAttempt_CutOffDuringStop_IsServed) {
  m_store.m_configuration.m_routes[0].m_attempts = 1;
  ASSERT_TRUE(runUntil([this] {
    return std::all_of(m_hosts.begin(), m_hosts.end(),
                       [](const auto &Item) { return Item->isReady(); });
  }));
  sendRequests({0, 1, 2}, Millis(1000), Millis(100), false);
  bool IsHeld = true;
  std::size_t Held = 0;
  for (ScriptedServer &Item : m_servers)
    Item.m_script =
        [&IsHeld, &Held](ScriptedServer::Stream &To,
                         const ReceivedRequest &Seen) -> asio::awaitable<bool> {
      ++Held;
      while (IsHeld)
        co_await sleepFor(Millis(5));
      co_return co_await ScriptedServer::answerOk(To, Seen);
    };
  ++m_open;
  asio::co_spawn(m_context,
                 attempt(m_cutHost,
                         "GET /web/ HTTP/1.1\r\nHost: shop.example\r\n"
                         "Test-Id: held\r\nTest-Deadline: 3000\r\n\r\n",
                         true),
                 asio::detached);
  ASSERT_TRUE(runUntil([&Held] { return Held == 1; }));
  m_hosts[m_cutHost]->stop([] {});
  setCut(true);
  EXPECT_TRUE(runUntil([this] { return m_hosts[m_cutHost]->isCutOff(); }));
  IsHeld = false;
  EXPECT_TRUE(runUntil([this] { return m_open == 0; }));
  EXPECT_EQ(m_served[m_cutHost], 1);
}

INSTANTIATE_TEST_SUITE_P(Connections, CutOffHostTest,
                         testing::Values(Cut::Refused, Cut::Hanging,
                                         Cut::Silent));

} // namespace
} // namespace tamarackdrum::gateway

/// \file
/// Fixture of tests that run whole hosts against in-memory servers.

#ifndef TAMARACKDRUM_GATEWAY_HOST_FIXTURE_H
#define TAMARACKDRUM_GATEWAY_HOST_FIXTURE_H

#include "fake-platform.h"

#include <gtest/gtest.h>

namespace tamarackdrum::gateway::test {

/// Longer than any passing test waits.
inline constexpr Millis WaitTimeout{30000};
/// An invalid descriptor, so that log lines are discarded.
inline constexpr int NoOutput = -1;

/// One or more hosts, two servers of the unkeyed service "web" and two of the
/// keyed service "stock".
class GatewayHostTest : public testing::Test {
protected:
  GatewayHostTest() {
    for (int I = 0; I < 2; ++I) {
      addServer(m_web[I], I == 0 ? "web-0" : "web-1", "web");
      addServer(m_stock[I], I == 0 ? "stock-0" : "stock-1", "stock");
    }
    Configuration &Config = m_store.m_configuration;
    Config.m_version = 3;
    Config.m_routes = {
        makeRoute("safe", "/web/", RequestKind::Safe, "web"),
        makeRoute("once", "/pay/", RequestKind::Unsafe, "web"),
        makeRoute("keyed", "/stock/", RequestKind::Safe, "stock")};
    Config.m_services["web"] = {"web", 100, false};
    Config.m_services["stock"] = {"stock", 100, true};
    Config.m_limits.m_maxBodyBytes = 16U << 20U;
  }

  ~GatewayHostTest() override { m_context.stop(); }

  static Route makeRoute(const char *Name, const char *Prefix, RequestKind Kind,
                         const char *Service) {
    Route Out;
    Out.m_name = Name;
    Out.m_host = "shop.example";
    Out.m_prefix = Prefix;
    Out.m_kind = Kind;
    Out.m_timeout = Millis(20000);
    Out.m_objective = Millis(10000);
    Out.m_attempts = 2;
    Out.m_parts = {{Service, 1}};
    return Out;
  }

  void addServer(const ScriptedServer &Server, const char *Id,
                 const char *Service) {
    ServerRow Row{Id, true, {}};
    Row.m_entry.m_id = Id;
    Row.m_entry.m_service = Service;
    Row.m_entry.m_address = Server.address();
    Row.m_entry.m_zone = "zone-a";
    Row.m_entry.m_slots = 2;
    Row.m_entry.m_startMs = 1;
    m_store.m_servers.push_back(Row);
  }

  /// Runs until \p Condition holds or the wait times out. Returns whether it
  /// holds.
  template <typename Predicate> bool runUntil(Predicate Condition) {
    const TimePoint End = BootClock::now() + WaitTimeout;
    while (!Condition() && BootClock::now() < End)
      m_context.run_one_for(Millis(20));
    return Condition();
  }

  /// Returns a port that no earlier call has returned: the system may give the
  /// port of a closed probe to the next one.
  std::uint16_t freePort() {
    while (true) {
      asio::ip::tcp::acceptor Probe(m_context,
                                    {asio::ip::address_v4::loopback(), 0});
      const std::uint16_t Port = Probe.local_endpoint().port();
      if (m_usedPorts.insert(Port).second)
        return Port;
    }
  }

  GatewayHost &addHost(int Number) {
    if (m_peerPort == 0)
      m_peerPort = freePort();
    GatewaySettings Settings;
    std::string Ip("127.0.0.");
    Ip += std::to_string(Number + 1);
    std::string Name("host-");
    Name += std::to_string(Number);
    Settings.m_host = {Name, Ip, "zone-a", Number + 1, 20};
    Settings.m_seedIps = m_seedIps;
    std::string Client(Ip);
    Client += ":";
    Client += std::to_string(freePort());
    std::string Ready(Ip);
    Ready += ":";
    Ready += std::to_string(freePort());
    Settings.m_clientAddress = Client;
    Settings.m_readyAddress = Ready;
    Settings.m_metricsAddress = Ip + ":" + std::to_string(freePort());
    Settings.m_peerPort = m_peerPort;
    Settings.m_headers = Headers;
    Settings.m_stopTimeout = m_stopTimeout;
    Settings.m_contactBound = m_contactBound;
    m_addresses.push_back(parseEndpoint(Client).value());
    m_metricsAddresses.push_back(
        parseEndpoint(Settings.m_metricsAddress).value());
    m_hosts.push_back(
        std::make_unique<GatewayHost>(m_context.get_executor(), m_policy,
                                      Settings, *m_storeOfNext, m_keys, m_log));
    EXPECT_FALSE(m_hosts.back()->start());
    return *m_hosts.back();
  }

  void startAll(int Count = 1) {
    for (int I = 0; I < Count; ++I)
      addHost(I);
    EXPECT_TRUE(runUntil([this] {
      return std::all_of(m_hosts.begin(), m_hosts.end(),
                         [](const auto &Item) { return Item->isReady(); });
    }));
  }

  struct Answer {
    bool m_isWhole = false;
    unsigned m_status = 0;
    std::string m_body;
    http::response<http::string_body> m_head;
  };

  asio::awaitable<void> exchange(std::string Bytes, int Host,
                                 std::shared_ptr<Answer> Out,
                                 std::shared_ptr<bool> IsDone) {
    return exchange(std::move(Bytes), m_addresses[Host], std::move(Out),
                    std::move(IsDone));
  }

  asio::awaitable<void> exchange(std::string Bytes, Endpoint To,
                                 std::shared_ptr<Answer> Out,
                                 std::shared_ptr<bool> IsDone) {
    boost::beast::tcp_stream Stream(m_context);
    const auto [Error] = co_await Stream.async_connect(To, UseTuple);
    if (!Error) {
      co_await asio::async_write(Stream, asio::buffer(Bytes), UseTuple);
      boost::beast::flat_buffer Buffer;
      http::response_parser<http::string_body> Parser;
      Parser.body_limit(boost::none);
      const auto [ReadError, Count] =
          co_await http::async_read(Stream, Buffer, Parser, UseTuple);
      Out->m_isWhole = !ReadError;
      Out->m_head = Parser.release();
      Out->m_status = Out->m_head.result_int();
      Out->m_body = Out->m_head.body();
    }
    *IsDone = true;
  }

  /// Sends \p Bytes on a new connection and returns the answer.
  Answer send(const std::string &Bytes, int Host = 0) {
    return send(Bytes, m_addresses[Host]);
  }

  Answer send(const std::string &Bytes, const Endpoint &To) {
    const std::shared_ptr<Answer> Out = std::make_shared<Answer>();
    const std::shared_ptr<bool> IsDone = std::make_shared<bool>(false);
    asio::co_spawn(m_context, exchange(Bytes, To, Out, IsDone), asio::detached);
    EXPECT_TRUE(runUntil([IsDone] { return *IsDone; }));
    return *Out;
  }

  /// A request that was sent and, once it has ended, its answer.
  struct Sent {
    std::shared_ptr<Answer> m_answer = std::make_shared<Answer>();
    std::shared_ptr<bool> m_isDone = std::make_shared<bool>(false);
  };

  /// Sends \p Bytes on a new connection.
  Sent sendLater(const std::string &Bytes, int Host = 0) {
    Sent Out;
    asio::co_spawn(m_context, exchange(Bytes, Host, Out.m_answer, Out.m_isDone),
                   asio::detached);
    return Out;
  }

  void wait(Millis Time) {
    const TimePoint End = BootClock::now() + Time;
    runUntil([End] { return BootClock::now() >= End; });
  }

  static std::string get(const std::string &Path,
                         const std::string &More = "") {
    std::string Out("GET ");
    Out += Path;
    Out += " HTTP/1.1\r\nHost: shop.example\r\nTest-Id: id-1\r\n"
           "Test-Deadline: 15000\r\n";
    Out += More;
    Out += "\r\n";
    return Out;
  }

  static std::string post(const std::string &Path, const std::string &Body) {
    std::string Out("POST ");
    Out += Path;
    Out += " HTTP/1.1\r\nHost: shop.example\r\nTest-Id: id-1\r\n"
           "Test-Deadline: 15000\r\nContent-Length: ";
    Out += std::to_string(Body.size());
    Out += "\r\n\r\n";
    Out += Body;
    return Out;
  }

  std::size_t webRequests() const {
    return m_web[0].m_requests.size() + m_web[1].m_requests.size();
  }

  /// Returns whether \p Count requests for the servers of a service come to
  /// wait in the dispatcher of a host.
  bool comeToWait(int Count, int Host = 0, const std::string &Service = "web") {
    const std::string Line = "\ntamarack_gateway_waiting{service=\"" + Service +
                             "\"} " + std::to_string(Count) + "\n";
    return runUntil([this, Host, &Line] {
      const std::string Text =
          send(get("/metrics"), m_metricsAddresses[Host]).m_body;
      return Text.find(Line) != std::string::npos;
    });
  }

  /// Sends requests until \p Server has received one, and expects that it does
  /// not receive any of ten further ones.
  void expectSingleRequest(const ScriptedServer &Server) {
    while (Server.m_requests.empty())
      EXPECT_EQ(send(get("/web/")).m_status, 200U);
    for (int I = 0; I < 10; ++I)
      EXPECT_EQ(send(get("/web/")).m_status, 200U);
    EXPECT_EQ(Server.m_requests.size(), 1U);
  }

  void setWeb(const ScriptedServer::Script &Script) {
    for (ScriptedServer &Server : m_web)
      Server.m_script = Script;
  }

  asio::io_context m_context{1};
  EventLog m_log{LogPolicy{}, "test", NoOutput};
  FakeStore m_store;
  FakeStore *m_storeOfNext = &m_store; ///< Store of the next host.
  FakeKeyServers m_keys;
  std::array<ScriptedServer, 2> m_web{ScriptedServer(m_context),
                                      ScriptedServer(m_context)};
  std::array<ScriptedServer, 2> m_stock{ScriptedServer(m_context),
                                        ScriptedServer(m_context)};
  HostPolicy m_policy;
  std::vector<std::string> m_seedIps;
  std::uint16_t m_peerPort = 0;
  Millis m_stopTimeout{6000};
  Millis m_contactBound{0}; ///< 0: hosts do not find out that they are cut off.
  std::set<std::uint16_t> m_usedPorts;
  std::vector<Endpoint> m_addresses;
  std::vector<Endpoint> m_metricsAddresses;
  std::vector<std::unique_ptr<GatewayHost>> m_hosts;
};

} // namespace tamarackdrum::gateway::test

#endif // TAMARACKDRUM_GATEWAY_HOST_FIXTURE_H

#include "fake-platform.h"

#include <gtest/gtest.h>

namespace tamarackdrum::gateway {
namespace {

using namespace test;
using asio::ip::tcp;

/// Longer than any passing test waits.
constexpr Millis WaitTimeout{30000};
constexpr int NoOutput = -1;
constexpr Millis RouteTimeout{1000};
/// More than the sockets between server and client buffer.
constexpr std::size_t LongAnswerBytes = 24U << 20U;

constexpr std::size_t MaxAnswerBytes = 128U << 10U;

/// One host with one server.
class BodyMemoryHostTest : public testing::Test {
protected:
  BodyMemoryHostTest() {
    ServerRow Row{"web-0", true, {}};
    Row.m_entry.m_id = "web-0";
    Row.m_entry.m_service = "web";
    Row.m_entry.m_address = m_server.address();
    Row.m_entry.m_zone = "zone-a";
    Row.m_entry.m_slots = 4;
    Row.m_entry.m_startMs = 1;
    m_store.m_servers.push_back(Row);
    Route Upload;
    Upload.m_name = "upload";
    Upload.m_host = "shop.example";
    Upload.m_prefix = "/";
    Upload.m_kind = RequestKind::Unsafe;
    Upload.m_timeout = RouteTimeout;
    Upload.m_parts = {{"web", 1}};
    m_store.m_configuration.m_version = 3;
    m_store.m_configuration.m_routes = {Upload};
    m_store.m_configuration.m_services["web"] = {"web", 100, false};
    m_store.m_configuration.m_limits.m_maxBodyBytes = 16U << 20U;
  }

  ~BodyMemoryHostTest() override { m_context.stop(); }

  template <typename Predicate> bool runUntil(Predicate Condition) {
    const TimePoint End = BootClock::now() + WaitTimeout;
    while (!Condition() && BootClock::now() < End)
      m_context.run_one_for(Millis(20));
    return Condition();
  }

  std::uint16_t freePort() {
    tcp::acceptor &Probe = m_probes.emplace_back(
        m_context, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    return Probe.local_endpoint().port();
  }

  void start() {
    GatewaySettings Settings;
    Settings.m_host = {"host-0", "127.0.0.2", "zone-a", 1, 20};
    Settings.m_clientAddress = "127.0.0.2:" + std::to_string(freePort());
    Settings.m_readyAddress = "127.0.0.2:" + std::to_string(freePort());
    Settings.m_peerPort = freePort();
    Settings.m_headers = Headers;
    m_host = std::make_unique<GatewayHost>(m_context.get_executor(), m_policy,
                                           Settings, m_store, m_keys, m_log);
    ASSERT_FALSE(m_host->start());
    ASSERT_TRUE(runUntil([this] { return m_host->isReady(); }));
    m_client.open(tcp::v4());
    m_client.set_option(asio::socket_base::receive_buffer_size(8192));
    m_client.connect(parseEndpoint(Settings.m_clientAddress).value());
  }

  void send(const std::string &Framing, const std::string &Body = "") {
    const std::string Bytes = "POST / HTTP/1.1\r\nHost: shop.example\r\n"
                              "Test-Id: id-1\r\n" +
                              Framing + "\r\n" + Body;
    asio::write(m_client, asio::buffer(Bytes));
  }

  /// Reads until the end of the connection or until \p Text has been received.
  void readUntil(const std::string &Text, Millis Pause = Millis(0)) {
    bool IsDone = false;
    asio::co_spawn(m_context, read(Text, Pause, IsDone), asio::detached);
    EXPECT_TRUE(runUntil([&IsDone] { return IsDone; }));
  }

  asio::awaitable<void> read(std::string Text, Millis Pause, bool &IsDone) {
    const TimePoint SlowUntil = BootClock::now() + 2 * RouteTimeout;
    std::string Piece(16U << 10U, '\0');
    // Searches only what is new: the client shares its thread with the host,
    // so that its work would count as time of the server.
    std::size_t From = 0;
    while (Text.empty() || m_received.find(Text, From) == std::string::npos) {
      From = m_received.size() - std::min(m_received.size(), Text.size());
      const auto [Error, Count] =
          co_await m_client.async_read_some(asio::buffer(Piece), UseTuple);
      if (Error)
        break;
      m_received.append(Piece, 0, Count);
      if (BootClock::now() < SlowUntil && Pause > Millis(0))
        co_await sleepFor(Pause);
    }
    IsDone = true;
  }

  void answerLong() {
    m_server.m_script =
        [this](ScriptedServer::Stream &To,
               const ReceivedRequest &Seen) -> asio::awaitable<bool> {
      std::string Text = ScriptedServer::okResponse(
          Seen.m_id, std::string(LongAnswerBytes, 'x') + "end");
      const bool IsSent = co_await ScriptedServer::send(To, std::move(Text));
      m_isAnswerSent = IsSent;
      m_hasAnswerEnded = true;
      co_return IsSent;
    };
  }

  void expectAllGivenBack() {
    EXPECT_TRUE(runUntil([this] { return m_host->bodyMemory().total() == 0; }));
  }

  void expectRefusal() {
    EXPECT_EQ(m_received.rfind("HTTP/1.1 503", 0), 0U) << m_received;
    EXPECT_NE(m_received.find("Retry-After: "), std::string::npos);
    EXPECT_NE(m_received.find("\r\n\r\nmemory\n"), std::string::npos);
    EXPECT_EQ(m_server.m_connections, 0U);
    expectAllGivenBack();
  }

  asio::io_context m_context{1};
  std::list<tcp::acceptor> m_probes; ///< Keep their ports from each other.
  EventLog m_log{LogPolicy{}, "test", NoOutput};
  FakeStore m_store;
  FakeKeyServers m_keys;
  ScriptedServer m_server{m_context};
  HostPolicy m_policy;
  std::unique_ptr<GatewayHost> m_host;
  tcp::socket m_client{m_context};
  std::string m_received;
  bool m_isAnswerSent = false;
  bool m_hasAnswerEnded = false;
};

// Bodies that were counted only after they had been read took memory beyond
// the limit. A client that is told to continue sends its body in vain.
TEST_F(BodyMemoryHostTest, DeclaredBody_DoesNotFit_IsRefusedBeforeItIsRead) {
  m_policy.m_edge.m_maxBufferedBytes = 128U << 10U;
  start();
  send("Content-Length: 100000\r\nExpect: 100-continue\r\n");
  readUntil("\r\n\r\n");
  expectRefusal();
}

TEST_F(BodyMemoryHostTest, ChunkedBody_NextChunkDoesNotFit_IsRefused) {
  m_policy.m_edge.m_maxBufferedBytes = 128U << 10U;
  start();
  send("Transfer-Encoding: chunked\r\n",
       "30d40\r\n" + std::string(100000, 'x'));
  readUntil("memory");
  expectRefusal();
}

// Only what is held of a streamed body counts, so it may be longer than the
// limit.
TEST_F(BodyMemoryHostTest, LongBody_IsStreamed_IsServed) {
  m_policy.m_edge.m_maxBufferedBytes = 400U << 10U;
  start();
  const std::string Body(2U << 20U, 'x');
  asio::co_spawn(
      m_context,
      [this, Body]() -> asio::awaitable<void> {
        const std::string Bytes = "POST / HTTP/1.1\r\nHost: shop.example\r\n"
                                  "Test-Id: id-1\r\nContent-Length: " +
                                  std::to_string(Body.size()) + "\r\n\r\n" +
                                  Body;
        co_await asio::async_write(m_client, asio::buffer(Bytes), UseTuple);
      },
      asio::detached);
  readUntil("hello");
  EXPECT_EQ(m_received.rfind("HTTP/1.1 200", 0), 0U) << m_received;
  expectAllGivenBack();
}

// The deadline of a request is for its server. An answer that is ready is
// delivered, even if its client takes longer than that to read it.
TEST_F(BodyMemoryHostTest, LongAnswer_ClientReadsSlowly_IsServed) {
  m_policy.m_edge.m_writeTimeout = Millis(5000);
  answerLong();
  start();
  send("Content-Length: 0\r\n");
  readUntil("end", Millis(20));
  EXPECT_EQ(m_received.rfind("HTTP/1.1 200", 0), 0U);
  EXPECT_GT(m_received.size(), LongAnswerBytes);
  expectAllGivenBack();
}

TEST_F(BodyMemoryHostTest, LongAnswer_ClientNeverReads_IsDisconnected) {
  m_policy.m_edge.m_writeTimeout = Millis(300);
  answerLong();
  start();
  send("Content-Length: 0\r\n");
  std::size_t Most = 0;
  ASSERT_TRUE(runUntil([this, &Most] {
    Most = std::max(Most, m_host->bodyMemory().held(BodyDirection::Answer));
    return m_hasAnswerEnded;
  }));
  EXPECT_FALSE(m_isAnswerSent);
  EXPECT_GT(Most, 0U);
  EXPECT_LE(Most, MaxAnswerBytes);
  readUntil("");
  EXPECT_LT(m_received.size(), LongAnswerBytes);
  expectAllGivenBack();
}

} // namespace
} // namespace tamarackdrum::gateway

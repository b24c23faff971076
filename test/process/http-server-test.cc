// Connections of HttpServer that end, and the requests on them.

#include "../gateway/endless-peer.h"
#include "process-group.h"
#include "tamarackdrum/sleep.h"

#include <gtest/gtest.h>

#include <future>

namespace tamarackdrum::test {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

/// Longer than any passing test waits.
constexpr Millis ReadTimeout{20000};

class HttpServerTest : public testing::Test {
protected:
  ~HttpServerTest() override {
    m_guard.reset();
    m_context.stop();
    if (m_thread.joinable())
      m_thread.join();
  }

  /// Starts a server that answers "done", once m_mayAnswer is set.
  void start(HttpLimits Limits = {}) {
    m_server.emplace(m_context, Endpoint(asio::ip::address_v4::loopback(), 0),
                     Limits, [this](const HttpRequest &) { return answer(); });
    m_server->start();
    m_thread = std::thread([this] { m_context.run(); });
    m_client.connect(m_server->address());
  }

  asio::awaitable<HttpResponse> answer() {
    ++m_calls;
    while (!m_mayAnswer)
      co_await sleepFor(Millis(5));
    co_return makeResponse(200, "done");
  }

  /// Returns whether all bytes were sent.
  bool send(const std::string &Text) {
    boost::system::error_code Error;
    asio::write(m_client, asio::buffer(Text), Error);
    return !Error;
  }

  /// Runs the client until \p HasEnded or the wait times out. Returns whether
  /// it has ended.
  bool awaitClient(const bool &HasEnded) {
    m_clientContext.restart();
    m_clientContext.run_for(ReadTimeout);
    if (HasEnded)
      return true;
    m_client.cancel();
    m_clientContext.run();
    return false;
  }

  /// Reads one answer. Returns status 0 if there is none.
  HttpResponse receive(bool IsToHead = false) {
    HttpResponse None;
    None.result(0U);
    http::response_parser<http::string_body> Parser;
    Parser.skip(IsToHead);
    bool HasEnded = false;
    boost::system::error_code Error;
    http::async_read(m_client, m_buffer, Parser,
                     [&](boost::system::error_code Result, std::size_t) {
                       Error = Result;
                       HasEnded = true;
                     });
    return awaitClient(HasEnded) && !Error ? Parser.release() : None;
  }

  /// Returns how the connection ends.
  boost::system::error_code awaitEnd() {
    char Byte = 0;
    bool HasEnded = false;
    boost::system::error_code Error;
    asio::async_read(m_client, asio::buffer(&Byte, 1),
                     [&](boost::system::error_code Result, std::size_t) {
                       Error = Result;
                       HasEnded = true;
                     });
    return awaitClient(HasEnded) ? Error : asio::error::timed_out;
  }

  static std::string request(std::size_t BodyBytes) {
    return "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: " +
           std::to_string(BodyBytes) + "\r\n\r\n";
  }

  asio::io_context m_context;
  asio::executor_work_guard<asio::io_context::executor_type> m_guard{
      m_context.get_executor()};
  std::atomic<bool> m_mayAnswer{true};
  std::atomic<int> m_calls{0};
  std::optional<HttpServer> m_server;
  std::thread m_thread;
  asio::io_context m_clientContext;
  asio::ip::tcp::socket m_client{m_clientContext};
  boost::beast::flat_buffer m_buffer;
};

// The end of idle connections closed those on which a request was being read.
TEST_F(HttpServerTest, Stop_RequestIsHalfRead_IsAnswered) {
  start();
  send(request(4) + "bo");
  std::this_thread::sleep_for(Millis(200));
  m_server->stop();
  std::this_thread::sleep_for(Millis(200));
  send("dy");
  const HttpResponse Got = receive();
  EXPECT_EQ(Got.result_int(), 200U);
  EXPECT_FALSE(Got.keep_alive());
}

TEST_F(HttpServerTest, Stop_ConnectionIsIdle_IsClosed) {
  start();
  send(request(0));
  ASSERT_EQ(receive().result_int(), 200U);
  m_server->stop();
  EXPECT_EQ(awaitEnd(), asio::error::eof);
  EXPECT_TRUE(eventually([this] { return m_server->openConnections() == 0; }));
}

// Closing with unread bytes resets the connection, and a client that is still
// sending may lose the refusal.
TEST_F(HttpServerTest, Refusal_ClientStillSends_IsNotReset) {
  HttpLimits Limits;
  Limits.m_maxBodyBytes = 1000;
  start(Limits);
  constexpr std::size_t BodyBytes = 4UL << 20U;
  const std::string Piece(64UL << 10U, 'x');
  send(request(BodyBytes));
  for (std::size_t Sent = 0; Sent < BodyBytes; Sent += Piece.size()) {
    ASSERT_TRUE(send(Piece));
    std::this_thread::sleep_for(Millis(2));
  }
  const HttpResponse Got = receive();
  EXPECT_EQ(Got.result_int(), 413U);
  EXPECT_EQ(awaitEnd(), asio::error::eof);
}

// The end of idle connections ended the read of the rest, too.
TEST_F(HttpServerTest, Refusal_ClientStillSendsDuringStop_IsNotReset) {
  HttpLimits Limits;
  Limits.m_maxBodyBytes = 1000;
  start(Limits);
  const std::string Piece(1000, 'x');
  ASSERT_TRUE(send(request(100 * Piece.size())));
  EXPECT_EQ(receive().result_int(), 413U);
  m_server->stop();
  for (int I = 0; I < 10; ++I) {
    std::this_thread::sleep_for(Millis(10));
    EXPECT_TRUE(send(Piece));
  }
}

// Clients may keep a connection open that the server has ended.
TEST_F(HttpServerTest, Stop_ClientLeavesConnectionOpen_IsNotHeldUp) {
  m_mayAnswer = false;
  start();
  send(request(0));
  ASSERT_TRUE(eventually([this] { return m_calls == 1; }));
  m_server->stop();
  m_mayAnswer = true;
  EXPECT_EQ(receive().result_int(), 200U);
  EXPECT_TRUE(eventually([this] { return m_server->openConnections() == 0; },
                         Millis(4000)));
}

// A timeout of the stream closes the socket, and no refusal was sent.
TEST_F(HttpServerTest, Request_IsNotSentInTime_IsRefused) {
  HttpLimits Limits;
  Limits.m_idleTimeout = Millis(300);
  start(Limits);
  send(request(4) + "bo");
  const HttpResponse Got = receive();
  EXPECT_EQ(Got.result_int(), 408U);
  EXPECT_EQ(Got["Tamarack-Outcome"], "not-run");
}

// A request that is sent within the limit may arrive after it.
TEST_F(HttpServerTest, IdleConnection_ShortlyAfterTheNamedLimit_IsServed) {
  HttpLimits Limits;
  Limits.m_idleTimeout = Millis(2000);
  start(Limits);
  send(request(0));
  ASSERT_EQ(receive()[http::field::keep_alive], "timeout=2");
  std::this_thread::sleep_for(Limits.m_idleTimeout + Millis(200));
  send(request(0));
  EXPECT_EQ(receive().result_int(), 200U);
}

// A client reads a body after the answer to HEAD as its next answer.
TEST_F(HttpServerTest, Request_AfterHead_IsAnswered) {
  start();
  send("HEAD /a HTTP/1.1\r\nHost: a\r\n\r\n");
  const HttpResponse ToHead = receive(true);
  EXPECT_EQ(ToHead.result_int(), 200U);
  EXPECT_EQ(ToHead[http::field::content_length], "4");
  send(request(0));
  EXPECT_EQ(receive().body(), "done");
}

// A chunk line has no end before its line break, and the parser reads it whole.
TEST_F(HttpServerTest, Request_EndlessChunkLine_IsRefused) {
  HttpLimits Limits;
  Limits.m_idleTimeout = ReadTimeout;
  start(Limits);
  std::size_t Sent = 0;
  std::thread Client([this, &Sent] {
    Sent = gateway::sendEndlessly(
        m_client,
        "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1;",
        std::string(16384, 'x'));
  });
  EXPECT_TRUE(
      eventually([this] { return m_server->counters().m_malformed > 0; }));
  m_server->stop();
  Client.join();
  EXPECT_LT(Sent, gateway::EndlessBytes);
  EXPECT_EQ(m_calls, 0);
}

// A busy thread never waits for bytes, and the limit of the read does not end
// it: a request is read long after its limit.
TEST_F(HttpServerTest, Request_EndlessChunkLinesOnBusyThread_IsRefused) {
  HttpLimits Limits;
  Limits.m_idleTimeout = Millis(300);
  const auto BusyUntil = std::chrono::steady_clock::now() + gateway::BusyTime;
  gateway::keepBusy(m_context, BusyUntil);
  start(Limits);
  std::thread Client([this] {
    gateway::sendEndlessly(
        m_client,
        "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n",
        gateway::longChunkLine());
  });
  EXPECT_TRUE(
      eventually([this] { return m_server->counters().m_malformed > 0; }));
  EXPECT_LT(std::chrono::steady_clock::now(), BusyUntil);
  m_server->stop();
  Client.join();
  EXPECT_EQ(m_calls, 0);
}

// Requests that were in flight at the end of a stop got no answer.
TEST_F(HttpServerTest, EndAll_RequestRuns_GetsTheUnknownAnswer) {
  m_mayAnswer = false;
  start();
  send(request(0));
  ASSERT_TRUE(eventually([this] { return m_calls == 1; }));
  m_server->stop();
  m_server->endAll(makeResponse(503, ""), makeResponse(502, ""));
  const HttpResponse Got = receive();
  EXPECT_EQ(Got.result_int(), 502U);
  EXPECT_FALSE(Got.keep_alive());
  m_mayAnswer = true;
  EXPECT_EQ(awaitEnd(), asio::error::eof);
}

TEST_F(HttpServerTest, EndAll_RequestIsNotWhole_GetsTheNotRunAnswer) {
  start();
  send(request(4) + "bo");
  std::this_thread::sleep_for(Millis(200));
  m_server->stop();
  m_server->endAll(makeResponse(503, ""), makeResponse(502, ""));
  EXPECT_EQ(receive().result_int(), 503U);
  EXPECT_EQ(awaitEnd(), asio::error::eof);
  EXPECT_EQ(m_calls, 0);
}

} // namespace
} // namespace tamarackdrum::test

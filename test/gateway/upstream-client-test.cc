#include "tamarackdrum/gateway/upstream-client.h"

#include "endless-peer.h"
#include "late-reader.h"
#include "one-answer.h"
#include "tamarackdrum/blocking.h"
#include "tamarackdrum/worker-context.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace tamarackdrum::gateway {
namespace {

namespace asio = boost::asio;

/// A connection that ends by a reset drops what its sender's kernel has not
/// sent; after the usual close, a server would receive that later.
class UpstreamClientTest : public testing::Test {
protected:
  ~UpstreamClientTest() override { m_context.dropPending(); }

  UpstreamRequest makeRequest(std::size_t BodyBytes) const {
    UpstreamRequest Out;
    Out.m_server.m_id = "server";
    Out.m_server.m_address = m_server.address();
    Out.m_head = "POST /work HTTP/1.1\r\nHost: a\r\nContent-Length: " +
                 std::to_string(BodyBytes) + "\r\n\r\n";
    Out.m_body = std::string(BodyBytes, 'x');
    Out.m_requestId = "id";
    Out.m_isSafe = false;
    Out.m_deadline = BootClock::now() + Millis(100);
    return Out;
  }

  ProbeResult probe(const std::string &Address) {
    return probe(Address, "/health");
  }

  ProbeResult probe(const std::string &Address, const std::string &Path) {
    m_context.restart();
    return runBlocking(m_context, m_subject.probe(Address, Path));
  }

  DispatchResult execute(UpstreamRequest Request) {
    asio::awaitable<UpstreamReply> Task =
        m_subject.execute(std::move(Request), m_token);
    return runBlocking(m_context, std::move(Task)).m_result;
  }

  DispatchResult executeAt(const EndlessServer &Server) {
    UpstreamRequest Request = makeRequest(3);
    Request.m_server.m_address = Server.address();
    return execute(std::move(Request));
  }

  static constexpr const char *ChunkedHead =
      "HTTP/1.1 500 Failed\r\nTransfer-Encoding: chunked\r\n\r\n";

  WorkerContext m_context{1};
  LateReader m_server;
  ConnectionPool m_pool{PoolPolicy{}};
  UpstreamClient m_subject{m_pool, HeaderNames{}};
  CancelToken m_token;
};

TEST_F(UpstreamClientTest, Execute_GivenUpWhileUnread_ConnectionIsReset) {
  EXPECT_EQ(execute(makeRequest(LateReader::LongBytes)),
            DispatchResult::TimedOut);
  m_server.accept();
  EXPECT_EQ(m_server.readToEnd(), asio::error::connection_reset);
  EXPECT_LT(m_server.m_text.size(), LateReader::LongBytes);
}

TEST_F(UpstreamClientTest, Execute_CancelledWhileUnread_ConnectionIsReset) {
  asio::steady_timer Timer(m_context, Millis(50));
  Timer.async_wait([this](boost::system::error_code) { m_token.cancel(); });
  UpstreamRequest Request = makeRequest(LateReader::LongBytes);
  Request.m_deadline += Millis(5000);
  EXPECT_EQ(execute(std::move(Request)), DispatchResult::Withdrawn);
  m_server.accept();
  EXPECT_EQ(m_server.readToEnd(), asio::error::connection_reset);
  EXPECT_LT(m_server.m_text.size(), LateReader::LongBytes);
}

// A process that is frozen while it connects must not send a request that its
// client no longer waits for.
TEST_F(UpstreamClientTest, Execute_DeadlinePassesWhileConnecting_IsNotSent) {
  std::optional<UpstreamReply> Reply;
  UpstreamRequest Request = makeRequest(3);
  Request.m_maxIdleConnections = 0;
  asio::co_spawn(
      m_context,
      [&]() -> asio::awaitable<void> {
        Reply = co_await m_subject.execute(std::move(Request), m_token);
      },
      asio::detached);
  m_context.run_one();
  std::this_thread::sleep_for(Millis(150));
  while (!Reply)
    m_context.run_one();
  EXPECT_FALSE(Reply->m_isSent);
  EXPECT_EQ(Reply->m_result, DispatchResult::TimedOut);
  m_server.accept();
  m_server.readToEnd();
  EXPECT_EQ(m_server.m_text, "");
}

// A reset after the answer could fail the next operation of the server.
TEST_F(UpstreamClientTest, Execute_Answered_ConnectionEndsWithoutReset) {
  std::thread Server([this] {
    m_server.accept();
    m_server.send("HTTP/1.1 503 busy\r\nConnection: close\r\n"
                  "Content-Length: 2\r\n\r\nno");
  });
  const DispatchResult Result = execute(makeRequest(3));
  Server.join();
  EXPECT_EQ(Result, DispatchResult::Failed);
  EXPECT_EQ(m_server.readToEnd(), asio::error::eof);
  EXPECT_TRUE(m_server.m_text.ends_with("xxx"));
}

TEST_F(UpstreamClientTest, IsDown_ServerListens_ConnectionEndsWithoutReset) {
  EXPECT_FALSE(runBlocking(m_context, m_subject.isDown(m_server.address())));
  m_server.accept();
  EXPECT_EQ(m_server.readToEnd(), asio::error::eof);
}

// A proxy accepts connections although the path behind it is cut.
TEST_F(UpstreamClientTest, Probe_ServerListensOnly_IsSilent) {
  EXPECT_EQ(probe(m_server.address()), ProbeResult::Silent);
  EXPECT_EQ(probe(m_server.address(), ""), ProbeResult::Answered);
}

TEST_F(UpstreamClientTest, Probe_NobodyListens_IsUnreachable) {
  EXPECT_EQ(probe("127.0.0.1:1"), ProbeResult::Unreachable);
}

TEST_F(UpstreamClientTest, Probe_AnyAnswer_CountsAsAnswered) {
  for (const char *Text : {"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
                           "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
                           "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n",
                           "HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n"}) {
    const OneAnswer Server(Text);
    EXPECT_EQ(probe(Server.address()), ProbeResult::Answered);
    EXPECT_THAT(Server.request(), testing::StartsWith("GET /health HTTP/1.1"));
  }
}

TEST_F(UpstreamClientTest, Probe_ConnectionEndsWithoutAnswer_IsBrokenOff) {
  const OneAnswer Server("");
  EXPECT_EQ(probe(Server.address()), ProbeResult::BrokenOff);
}

// The lines before the chunks of a piece can be any number of bytes.
TEST_F(UpstreamClientTest, Answer_EndlessChunkLines_EndsAtTheDeadline) {
  EndlessServer Server(ChunkedHead, longChunkLine());
  EXPECT_EQ(executeAt(Server), DispatchResult::TimedOut);
  EXPECT_LT(Server.sentBytes(), EndlessBytes);
}

// A busy thread never waits for bytes, and the timer of the stream does not end
// the read: a request keeps its slot long after its deadline.
TEST_F(UpstreamClientTest, Answer_EndlessChunkLinesOnBusyThread_EndsInTime) {
  EndlessServer Server(ChunkedHead, longChunkLine());
  const auto BusyUntil = std::chrono::steady_clock::now() + BusyTime;
  keepBusy(m_context, BusyUntil);
  EXPECT_EQ(executeAt(Server), DispatchResult::TimedOut);
  EXPECT_LT(std::chrono::steady_clock::now(), BusyUntil);
}

} // namespace
} // namespace tamarackdrum::gateway

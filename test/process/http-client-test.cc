// Answers without end, which HttpClient must not keep, and bytes that are no
// answer.

#include "../gateway/endless-peer.h"
#include "../gateway/one-answer.h"
#include "tamarackdrum/blocking.h"
#include "tamarackdrum/error.h"
#include "tamarackdrum/http.h"

#include <gtest/gtest.h>

namespace tamarackdrum::test {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using gateway::EndlessBytes;
using gateway::EndlessServer;
using gateway::longChunkLine;
using gateway::MaxHeldBytes;

constexpr const char *ChunkedHead =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
/// Longer than any passing test waits.
constexpr Millis LongTimeout{20000};

class HttpClientTest : public testing::Test {
protected:
  template <typename Server>
  asio::awaitable<Result<HttpResponse>> request(const Server &To,
                                                Millis Timeout) {
    HttpRequest Request(http::verb::get, "/a", 11);
    Request.set(http::field::host, "a");
    return m_subject.send(To.endpoint(), std::move(Request),
                          BootClock::now() + Timeout);
  }

  static HttpClientLimits makeLimits() {
    HttpClientLimits Out;
    Out.m_maxReplyBytesInAll = 1U << 20U;
    return Out;
  }

  HttpClient m_subject{makeLimits()};
};

TEST_F(HttpClientTest, Answer_EndlessChunkLine_EndsAtItsLimit) {
  EndlessServer Server(std::string(ChunkedHead) + "1;",
                       std::string(16384, 'x'));
  const Result<HttpResponse> Got = runBlocking(request(Server, LongTimeout));
  EXPECT_EQ(Got.error(), HttpErrc::ReplyTorn);
  EXPECT_LT(Server.sentBytes(), MaxHeldBytes);
}

TEST_F(HttpClientTest, Answer_EndlessTrailers_EndsAtTheirLimit) {
  EndlessServer Server(std::string(ChunkedHead) + "0\r\n",
                       "X-More: " + std::string(16384, 'x') + "\r\n");
  const Result<HttpResponse> Got = runBlocking(request(Server, LongTimeout));
  EXPECT_EQ(Got.error(), HttpErrc::ReplyTorn);
  EXPECT_LT(Server.sentBytes(), MaxHeldBytes);
}

// The timer of a stream ends only an operation that waits.
TEST_F(HttpClientTest, Answer_EndlessChunkLines_EndsAtTheDeadline) {
  EndlessServer Server(ChunkedHead, longChunkLine());
  const Result<HttpResponse> Got = runBlocking(request(Server, Millis(100)));
  EXPECT_EQ(Got.error(), HttpErrc::TimedOut);
  EXPECT_LT(Server.sentBytes(), EndlessBytes);
}

// A busy thread never waits for bytes, and the timer of the stream does not end
// the read: a call outlives its deadline.
TEST_F(HttpClientTest, Answer_EndlessChunkLinesOnBusyThread_EndsInTime) {
  EndlessServer Server(ChunkedHead, longChunkLine());
  asio::io_context Context;
  const auto BusyUntil = std::chrono::steady_clock::now() + gateway::BusyTime;
  gateway::keepBusy(Context, BusyUntil);
  const Result<HttpResponse> Got =
      runBlocking(Context, request(Server, Millis(100)));
  EXPECT_EQ(Got.error(), HttpErrc::TimedOut);
  EXPECT_LT(std::chrono::steady_clock::now(), BusyUntil);
}

// The limit of one reply, times all connections, is more than a host has.
TEST_F(HttpClientTest, Answers_ManyEndlessBodies_EndAtTheirCommonLimit) {
  constexpr unsigned Count = 8;
  EndlessServer Server("HTTP/1.1 200 OK\r\n\r\n", std::string(16384, 'x'),
                       Count);
  asio::io_context Context;
  unsigned Torn = 0;
  for (unsigned I = 0; I < Count; ++I)
    asio::co_spawn(
        Context,
        [&]() -> asio::awaitable<void> {
          const Result<HttpResponse> Got =
              co_await request(Server, LongTimeout);
          if (Got.error() == HttpErrc::ReplyTorn)
            ++Torn;
        },
        asio::detached);
  Context.run();
  EXPECT_EQ(Torn, Count);
  EXPECT_LT(Server.sentBytes(), Count * MaxHeldBytes);
}

TEST_F(HttpClientTest, Answer_StatusOutOfRange_IsTorn) {
  for (const char *Status : {"000", "099", "600", "999"}) {
    const gateway::OneAnswer Server("HTTP/1.1 " + std::string(Status) +
                                    " OK\r\nContent-Length: 5\r\n\r\nhello");
    const Result<HttpResponse> Got = runBlocking(request(Server, LongTimeout));
    EXPECT_EQ(Got.error(), HttpErrc::ReplyTorn) << Status;
  }
}

TEST_F(HttpClientTest, Answer_BlankInFieldName_IsTorn) {
  for (const char *Line :
       {"X-Odd : 3", "X Odd: 3", " X-Odd: 3", "X-\1Odd: 3"}) {
    const gateway::OneAnswer Server("HTTP/1.1 200 OK\r\n" + std::string(Line) +
                                    "\r\nContent-Length: 5\r\n\r\nhello");
    const Result<HttpResponse> Got = runBlocking(request(Server, LongTimeout));
    EXPECT_EQ(Got.error(), HttpErrc::ReplyTorn) << Line;
  }
}

TEST_F(HttpClientTest, Answer_OddButLegal_IsWhole) {
  for (const char *Head :
       {"299 Odd\r\nContent-Length: 5", "200 \r\nA:", "599 "}) {
    const gateway::OneAnswer Server("HTTP/1.1 " + std::string(Head) +
                                    "\r\n\r\nhello");
    const Result<HttpResponse> Got = runBlocking(request(Server, LongTimeout));
    ASSERT_TRUE(Got) << Head;
    EXPECT_EQ(Got.value().body(), "hello") << Head;
  }
}

} // namespace
} // namespace tamarackdrum::test

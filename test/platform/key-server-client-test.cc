#include "platform/key-server-client.h"

#include "../gateway/endless-peer.h"
#include "../gateway/late-reader.h"
#include "../gateway/one-answer.h"
#include "platform/standin/key-server.h"
#include "platform/wire-decode.h"
#include "tamarackdrum/blocking.h"
#include "tamarackdrum/sleep.h"
#include "tamarackdrum/worker-context.h"

#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/connect.hpp>
#include <boost/asio/detached.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <thread>

namespace tamarackdrum::platform {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using namespace gateway;
using namespace standin;

class KeyServerClientTest : public testing::Test {
protected:
  KeyServerClientTest() {
    m_server.emplace(m_context, Endpoint(asio::ip::address_v4::loopback(), 0),
                     makeOptions(), m_records);
  }
  ~KeyServerClientTest() override { m_context.dropPending(); }

  static KeyServerOptions makeOptions() {
    KeyServerOptions Out;
    Out.m_entry.m_id = "server";
    Out.m_entry.m_slots = 2;
    Out.m_isKeyed = true;
    Out.m_workTime = Millis(150);
    return Out;
  }

  template <typename T> T await(asio::awaitable<T> Task) {
    return runBlocking(m_context, std::move(Task));
  }

  GrantReply call(bool IsRelease, Key From, Key To, std::uint64_t Fence,
                  Millis Hold = Millis(1000)) {
    GrantCall Call;
    Call.m_isRelease = IsRelease;
    Call.m_address = "127.0.0.1:" + std::to_string(m_server->address().port());
    Call.m_from = From;
    Call.m_to = To;
    Call.m_fence = Fence;
    Call.m_hold = Hold;
    return await(m_subject.call(Call, BootClock::now() + Millis(600)));
  }

  GrantReply callAt(const std::string &Address, bool IsRelease) {
    GrantCall Call;
    Call.m_isRelease = IsRelease;
    Call.m_address = Address;
    return await(m_subject.call(Call, BootClock::now() + Millis(5000)));
  }

  /// Returns the status of a request for key \p Wanted.
  asio::awaitable<unsigned> requestKey(Key Wanted) {
    const HeaderNames Names = headerNames();
    boost::beast::tcp_stream Stream(m_context);
    co_await Stream.async_connect(m_server->address(), asio::use_awaitable);
    Request Call(http::verb::get, "/work", 11);
    Call.set(Names.m_requestId, "id");
    Call.set(Names.m_key, std::to_string(Wanted));
    Call.prepare_payload();
    co_await http::async_write(Stream, Call, asio::use_awaitable);
    boost::beast::flat_buffer Buffer;
    Response Answer;
    co_await http::async_read(Stream, Buffer, Answer, asio::use_awaitable);
    co_return Answer.result_int();
  }

  WorkerContext m_context{1};
  ServerRecords m_records;
  std::optional<KeyServer> m_server;
  KeyServerClient m_subject;
};

TEST_F(KeyServerClientTest, Grant_Keys_AreServed) {
  EXPECT_EQ(await(requestKey(5)), 421U);
  EXPECT_EQ(call(false, 0, 9, 1).m_result, GrantResult::Done);
  EXPECT_EQ(await(requestKey(5)), 200U);
  EXPECT_EQ(await(requestKey(10)), 421U);
  ASSERT_EQ(m_records.m_runs.size(), 1U);
  EXPECT_EQ(m_records.m_runs[0].m_fence, 1U);
}

TEST_F(KeyServerClientTest, Grant_LowerFence_IsRefused) {
  EXPECT_EQ(call(false, 0, 9, 4).m_result, GrantResult::Done);
  EXPECT_EQ(call(false, 5, 20, 3).m_result, GrantResult::HigherFence);
  EXPECT_EQ(call(false, 0, 9, 4).m_result, GrantResult::Done);
}

TEST_F(KeyServerClientTest, Grant_HoldEnds_KeysAreNotServed) {
  EXPECT_EQ(call(false, 0, 9, 1, Millis(50)).m_result, GrantResult::Done);
  m_context.run_for(Millis(100));
  EXPECT_EQ(await(requestKey(5)), 421U);
}

TEST_F(KeyServerClientTest, Grant_HoldEndsDuringRequest_AnswerIsAFailure) {
  EXPECT_EQ(call(false, 0, 9, 1, Millis(50)).m_result, GrantResult::Done);
  EXPECT_EQ(await(requestKey(5)), 500U);
}

TEST_F(KeyServerClientTest, Release_RequestIsRunning_AnswersAfterItsEnd) {
  EXPECT_EQ(call(false, 0, 9, 1).m_result, GrantResult::Done);
  unsigned Status = 0;
  asio::co_spawn(
      m_context,
      [&]() -> asio::awaitable<void> { Status = co_await requestKey(5); },
      asio::detached);
  m_context.run_for(Millis(50));
  const GrantReply Reply = call(true, 0, 9, 1);
  EXPECT_EQ(Reply.m_result, GrantResult::Done);
  EXPECT_FALSE(Reply.m_handover.empty());
  ASSERT_EQ(m_records.m_runs.size(), 1U);
  EXPECT_NE(m_records.m_runs[0].m_end, TimePoint{});
  EXPECT_EQ(await(requestKey(5)), 421U);
}

// A server that receives a grant after the term of its granter has ended may
// hold keys that another granter has moved.
TEST_F(KeyServerClientTest, Grant_GivenUpWhileUnread_ConnectionIsReset) {
  for (const bool IsRelease : {false, true}) {
    LateReader Server;
    GrantCall Call;
    Call.m_isRelease = IsRelease;
    Call.m_address = Server.address();
    Call.m_handover = std::string(LateReader::LongBytes, 'x');
    const GrantReply Reply =
        await(m_subject.call(Call, BootClock::now() + Millis(100)));
    EXPECT_EQ(Reply.m_result, GrantResult::NoAnswer);
    Server.accept();
    EXPECT_EQ(Server.readToEnd(), asio::error::connection_reset);
    EXPECT_LT(Server.m_text.size(), LateReader::LongBytes);
  }
}

// A process that is frozen while it connects must not send a grant that its
// granter no longer waits for.
TEST_F(KeyServerClientTest, Grant_TimeoutPassesWhileConnecting_IsNotSent) {
  for (const bool IsRelease : {false, true}) {
    LateReader Server;
    GrantCall Call;
    Call.m_isRelease = IsRelease;
    Call.m_address = Server.address();
    std::optional<GrantReply> Reply;
    const TimePoint Deadline = BootClock::now() + Millis(100);
    asio::co_spawn(
        m_context,
        [&]() -> asio::awaitable<void> {
          Reply = co_await m_subject.call(Call, Deadline);
        },
        asio::detached);
    m_context.run_one();
    std::this_thread::sleep_for(Millis(150));
    while (!Reply)
      m_context.run_one();
    EXPECT_EQ(Reply->m_result, GrantResult::NotSent);
    Server.accept();
    Server.readToEnd();
    EXPECT_EQ(Server.m_text, "");
  }
}

/// Answers each call on one connection, grants twice.
class DoublingServer {
public:
  explicit DoublingServer(asio::io_context &Context)
      : m_acceptor(Context, {asio::ip::address_v4::loopback(), 0}) {
    asio::co_spawn(Context, serve(), asio::detached);
  }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
  }

  bool m_hasReleased = false;
  bool m_mayRelease = false;

private:
  asio::awaitable<void> serve() {
    boost::beast::tcp_stream Peer(
        co_await m_acceptor.async_accept(asio::use_awaitable));
    boost::beast::flat_buffer Buffer;
    for (int I = 0; I < 2; ++I) {
      http::request<http::string_body> Seen;
      co_await http::async_read(Peer, Buffer, Seen, asio::use_awaitable);
      http::response<http::empty_body> Answer(http::status::ok, 11);
      Answer.prepare_payload();
      if (Seen.target() == "/-/grant") {
        co_await http::async_write(Peer, Answer, asio::use_awaitable);
        continue;
      }
      // The second copy of the grant's answer comes after the release.
      co_await http::async_write(Peer, Answer, asio::use_awaitable);
      while (!m_mayRelease)
        co_await sleepFor(Millis(5));
      m_hasReleased = true;
      Answer.set("X-Handover", "h");
      co_await http::async_write(Peer, Answer, asio::use_awaitable);
    }
  }

  asio::ip::tcp::acceptor m_acceptor;
};

// A release that counts as done too early lets the next owner have the keys
// while the server still works on them.
TEST_F(KeyServerClientTest, Release_CopyOfEarlierAnswerComes_IsNotTakenForIt) {
  DoublingServer Server(m_context);
  GrantCall Call;
  Call.m_address = Server.address();
  EXPECT_EQ(
      await(m_subject.call(Call, BootClock::now() + Millis(5000))).m_result,
      GrantResult::Done);
  Call.m_isRelease = true;
  std::optional<GrantReply> Reply;
  asio::co_spawn(
      m_context,
      [&]() -> asio::awaitable<void> {
        Reply = co_await m_subject.call(Call, BootClock::now() + Millis(5000));
      },
      asio::detached);
  m_context.run_for(Millis(100));
  EXPECT_FALSE(Reply);
  Server.m_mayRelease = true;
  while (!Reply)
    m_context.run_one();
  EXPECT_TRUE(Server.m_hasReleased);
  EXPECT_EQ(Reply->m_handover, "h");
}

// A server that has started again has forgotten which tokens are outdated.
TEST_F(KeyServerClientTest, Renewal_ServerHasStartedAgain_IsNotSent) {
  GrantCall Call;
  Call.m_from = 0;
  Call.m_to = 9;
  Call.m_fence = 1;
  Call.m_hold = Millis(1000);
  const Endpoint Address = m_server->address();
  Call.m_address = "127.0.0.1:" + std::to_string(Address.port());
  const auto Send = [this](const GrantCall &Sent) {
    return await(m_subject.call(Sent, BootClock::now() + Millis(600)));
  };
  const GrantReply First = Send(Call);
  ASSERT_EQ(First.m_result, GrantResult::Done);
  Call.m_connectedBy = First.m_writtenAt;
  EXPECT_EQ(Send(Call).m_result, GrantResult::Done);
  m_server.reset();
  m_context.poll();
  m_context.restart();
  m_server.emplace(m_context, Address, makeOptions(), m_records);
  EXPECT_EQ(Send(Call).m_result, GrantResult::Unproven);
  Call.m_connectedBy = {};
  EXPECT_EQ(Send(Call).m_result, GrantResult::Done);
}

// Neither an interim answer nor one with another status says that a call is
// done, or which keys its server holds.
TEST_F(KeyServerClientTest, Answer_NoFinalStatus_ProvesNothing) {
  for (const char *Status : {"000", "099", "100", "199", "600", "999"})
    for (const bool IsRelease : {false, true}) {
      const OneAnswer Server("HTTP/1.1 " + std::string(Status) +
                             " OK\r\nX-Handover: h\r\n"
                             "Content-Length: 0\r\n\r\n");
      const GrantReply Reply = callAt(Server.address(), IsRelease);
      EXPECT_EQ(Reply.m_result, GrantResult::NoAnswer) << Status;
      EXPECT_EQ(Reply.m_handover, "") << Status;
    }
}

TEST_F(KeyServerClientTest, Answer_BlankInFieldName_ProvesNothing) {
  for (const char *Line : {"X-Odd : 3", "X Odd: 3", " X-Odd: 3", "X-\1Odd: 3"})
    for (const bool IsRelease : {false, true}) {
      const OneAnswer Server("HTTP/1.1 200 OK\r\n" + std::string(Line) +
                             "\r\nContent-Length: 0\r\n\r\n");
      const GrantReply Reply = callAt(Server.address(), IsRelease);
      EXPECT_EQ(Reply.m_result, GrantResult::NoAnswer) << Line;
    }
}

// A host makes many calls at the same time, and no part of the body is used.
TEST_F(KeyServerClientTest, Answer_EndlessBody_EndsAtItsLimit) {
  EndlessServer Server("HTTP/1.1 200 OK\r\n\r\n", std::string(16384, 'x'));
  GrantCall Call;
  Call.m_address = Server.address();
  const GrantReply Reply =
      await(m_subject.call(Call, BootClock::now() + Millis(20000)));
  EXPECT_EQ(Reply.m_result, GrantResult::NoAnswer);
  EXPECT_LT(Server.sentBytes(), MaxHeldBytes);
}

// The timer of a stream ends only an operation that waits.
TEST_F(KeyServerClientTest, Answer_EndlessChunkLines_EndsAtTheDeadline) {
  EndlessServer Server("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                       longChunkLine());
  GrantCall Call;
  Call.m_address = Server.address();
  const GrantReply Reply =
      await(m_subject.call(Call, BootClock::now() + Millis(100)));
  EXPECT_EQ(Reply.m_result, GrantResult::NoAnswer);
  EXPECT_LT(Server.sentBytes(), EndlessBytes);
}

// A busy thread never waits for bytes, and the timer of the stream does not end
// the read: a grant stays open long after its deadline.
TEST_F(KeyServerClientTest, Answer_EndlessChunkLinesOnBusyThread_EndsInTime) {
  EndlessServer Server("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                       longChunkLine());
  GrantCall Call;
  Call.m_address = Server.address();
  const auto BusyUntil = std::chrono::steady_clock::now() + BusyTime;
  keepBusy(m_context, BusyUntil);
  const GrantReply Reply =
      await(m_subject.call(Call, BootClock::now() + Millis(100)));
  EXPECT_EQ(Reply.m_result, GrantResult::NoAnswer);
  EXPECT_LT(std::chrono::steady_clock::now(), BusyUntil);
}

} // namespace
} // namespace tamarackdrum::platform

#include "fake-platform.h"
#include "tamarackdrum/blocking.h"
#include "tamarackdrum/worker-context.h"

#include <gtest/gtest.h>

namespace tamarackdrum::gateway {
namespace {

using namespace test;

/// A server that repeats an earlier refusal on a kept connection. Taking it for
/// the answer to a later request would say "not run" of work that runs.
class StaleAnswerTest : public testing::Test {
protected:
  ~StaleAnswerTest() override { m_context.dropPending(); }

  DispatchResult execute(const std::string &Id) {
    return execute(Id, m_server.address());
  }

  DispatchResult execute(const std::string &Id, const std::string &Address) {
    UpstreamRequest Request;
    Request.m_server.m_id = "server";
    Request.m_server.m_address = Address;
    Request.m_head = "POST /work HTTP/1.1\r\nHost: a\r\nTest-Id: ";
    Request.m_head += Id;
    Request.m_head += "\r\nContent-Length: 0\r\n\r\n";
    Request.m_requestId = Id;
    Request.m_isSafe = false;
    Request.m_maxIdleConnections = 4;
    Request.m_deadline = BootClock::now() + Millis(2000);
    asio::awaitable<UpstreamReply> Task =
        m_subject.execute(std::move(Request), m_token);
    const UpstreamReply Reply = runBlocking(m_context, std::move(Task));
    m_connection = Reply.m_connectionNumber;
    m_status =
        Reply.m_parser == nullptr ? 0 : Reply.m_parser->get().result_int();
    return Reply.m_result;
  }

  /// Answers without a body. \p StatusAndMark is the status line from the
  /// status on and, in a line of its own, a header that says "not run".
  static ScriptedServer::Script answerWith(std::string StatusAndMark) {
    return
        [StatusAndMark](ScriptedServer::Stream &To,
                        const ReceivedRequest &Seen) -> asio::awaitable<bool> {
          std::string Text("HTTP/1.1 ");
          Text += StatusAndMark + "\r\nTest-Id: " + Seen.m_id +
                  "\r\nContent-Length: 0\r\n\r\n";
          co_return co_await ScriptedServer::send(To, std::move(Text));
        };
  }

  /// On its first connection, the server answers twice from now on: with
  /// \p Earlier, then with success.
  void sendCopyFirst(const ScriptedServer::Script &Earlier) {
    m_server.m_script =
        [this, Earlier](ScriptedServer::Stream &To,
                        const ReceivedRequest &Seen) -> asio::awaitable<bool> {
      if (m_server.m_connections == 1)
        co_await Earlier(To, Seen);
      co_return co_await ScriptedServer::answerOk(To, Seen);
    };
  }

  /// Answers with \p Before in front of the usual answer. Every "ID" in it is
  /// replaced by the id of the request.
  void sendFirst(const std::string &Before) {
    m_server.m_script =
        [Before](ScriptedServer::Stream &To,
                 const ReceivedRequest &Seen) -> asio::awaitable<bool> {
      std::string Text = Before;
      const std::size_t Found = Text.find("ID");
      if (Found != std::string::npos)
        Text.replace(Found, 2, Seen.m_id);
      Text += ScriptedServer::okResponse(Seen.m_id, "hello");
      co_return co_await ScriptedServer::send(To, std::move(Text));
    };
  }

  WorkerContext m_context{1};
  ScriptedServer m_server{m_context};
  ConnectionPool m_pool{PoolPolicy{}};
  UpstreamClient m_subject{m_pool, Headers};
  CancelToken m_token;
  unsigned m_status = 0;          ///< Of the last answer; 0: there was none.
  std::uint64_t m_connection = 0; ///< Number of the last one used.
};

TEST_F(StaleAnswerTest, KeptConnection_RefusalWithoutId_IsSkipped) {
  for (const char *Status : {"503 Busy", "429 Many", "421 Other", "400 Bad"}) {
    m_server.m_script = ScriptedServer::answerOk;
    ASSERT_EQ(execute("first"), DispatchResult::Served);
    std::string Refusal("HTTP/1.1 ");
    Refusal += Status;
    Refusal += "\r\nTest-Not-Run: 1\r\nContent-Length: 4\r\n\r\nbusy";
    sendFirst(Refusal);
    EXPECT_EQ(execute("second"), DispatchResult::Served) << Status;
    EXPECT_EQ(m_status, 200U) << Status;
  }
  EXPECT_EQ(m_server.m_connections, 1U);
}

TEST_F(StaleAnswerTest, KeptConnection_OnlyRefusalWithoutId_ProvesNothing) {
  ASSERT_EQ(execute("first"), DispatchResult::Served);
  m_server.m_script = [](ScriptedServer::Stream &To,
                         const ReceivedRequest &) -> asio::awaitable<bool> {
    std::string Text("HTTP/1.1 503 Busy\r\nTest-Not-Run: 1\r\n"
                     "Content-Length: 0\r\n\r\n");
    co_await ScriptedServer::send(To, std::move(Text));
    co_return false;
  };
  EXPECT_EQ(execute("second"), DispatchResult::ConnectionLost);
}

// Where its bytes end, and the next answer begins, is not known.
TEST_F(StaleAnswerTest, KeptConnection_NoStatusInFront_ProvesNothing) {
  for (const char *Status : {"000", "099", "600"}) {
    m_server.m_script = ScriptedServer::answerOk;
    ASSERT_EQ(execute("first"), DispatchResult::Served);
    sendFirst("HTTP/1.1 " + std::string(Status) +
              " OK\r\nTest-Id: other\r\nContent-Length: 4\r\n\r\nbusy");
    EXPECT_EQ(execute("second"), DispatchResult::ConnectionLost) << Status;
  }
}

// The copy bears the id of the request, since that is sent again.
TEST_F(StaleAnswerTest, RefusedRequest_SentAgain_CopyOfRefusalIsNotItsAnswer) {
  m_server.m_script = ScriptedServer::refuse;
  ASSERT_EQ(execute("same"), DispatchResult::Refused);
  sendCopyFirst(ScriptedServer::refuse);
  EXPECT_EQ(execute("same"), DispatchResult::Served);
}

/// Answers after which a request may be sent again.
class RepeatedRequestTest : public StaleAnswerTest,
                            public testing::WithParamInterface<const char *> {};

// Guards against "not run" of work that runs: the copy of a rejection passes
// for the answer to the second attempt once others have used the connection.
TEST_P(RepeatedRequestTest,
       SentAgain_OthersWereServedBetween_CopyIsNotItsAnswer) {
  m_server.m_script = answerWith(GetParam());
  ASSERT_NE(execute("same"), DispatchResult::Served);
  m_server.m_script = ScriptedServer::answerOk;
  for (const char *Other : {"other-1", "other-2", "other-3"}) {
    ASSERT_EQ(execute(Other), DispatchResult::Served);
    ASSERT_EQ(m_connection, 1U);
  }
  sendCopyFirst(answerWith(GetParam()));
  EXPECT_EQ(execute("same"), DispatchResult::Served);
}

TEST_P(RepeatedRequestTest,
       SentAgain_OthersWereRefusedBetween_CopyIsNotItsAnswer) {
  m_server.m_script = answerWith(GetParam());
  ASSERT_NE(execute("same"), DispatchResult::Served);
  for (int I = 0; I < 100; ++I) {
    ASSERT_NE(execute("other-" + std::to_string(I)), DispatchResult::Served);
    ASSERT_EQ(m_connection, 1U);
  }
  sendCopyFirst(answerWith(GetParam()));
  EXPECT_EQ(execute("same"), DispatchResult::Served);
}

INSTANTIATE_TEST_SUITE_P(Answers, RepeatedRequestTest,
                         testing::Values("503 Busy\r\nTest-Not-Run: 1",
                                         "429 Many\r\nTest-Not-Run: 1",
                                         "421 Other\r\nTest-Not-Run: 1",
                                         "421 Other", "500 Failed",
                                         "503 Failed"));

// A connection forgets no refused request, so that it takes only so many.
TEST_F(StaleAnswerTest, RefusedRequests_LimitIsReached_ConnectionIsReplaced) {
  constexpr std::size_t Limit = Connection::MaxRepeatableRequests;
  for (std::size_t I = 0; I < 2 * Limit; ++I)
    ASSERT_EQ(execute("served-" + std::to_string(I)), DispatchResult::Served);
  m_server.m_script = ScriptedServer::refuse;
  for (std::size_t I = 0; I < Limit; ++I)
    ASSERT_EQ(execute("refused-" + std::to_string(I)), DispatchResult::Refused);
  EXPECT_EQ(m_connection, 1U);
  EXPECT_EQ(execute("last"), DispatchResult::Refused);
  EXPECT_EQ(m_connection, 2U);
}

TEST_F(StaleAnswerTest, RefusedRequest_AnotherFollows_ConnectionIsKept) {
  m_server.m_script = ScriptedServer::refuse;
  ASSERT_EQ(execute("first"), DispatchResult::Refused);
  ASSERT_EQ(execute("second"), DispatchResult::Refused);
  EXPECT_EQ(m_server.m_connections, 1U);
}

TEST_F(StaleAnswerTest, Reply_EachConnection_HasItsNumber) {
  ASSERT_EQ(execute("first"), DispatchResult::Served);
  EXPECT_EQ(m_connection, 1U);
  ASSERT_EQ(execute("second"), DispatchResult::Served);
  EXPECT_EQ(m_connection, 1U);
  const std::string Address = m_server.address();
  m_server.crash();
  EXPECT_EQ(execute("third", Address), DispatchResult::Unreachable);
  EXPECT_EQ(m_connection, 0U);
}

// A server that rejects before it has read the id has no id to echo.
TEST_F(StaleAnswerTest, NewConnection_RefusalWithoutId_IsTheAnswer) {
  m_server.m_script = [](ScriptedServer::Stream &To,
                         const ReceivedRequest &) -> asio::awaitable<bool> {
    std::string Text("HTTP/1.1 503 Busy\r\nTest-Not-Run: 1\r\n"
                     "Content-Length: 0\r\n\r\n");
    co_return co_await ScriptedServer::send(To, std::move(Text));
  };
  EXPECT_EQ(execute("first"), DispatchResult::Refused);
}

} // namespace
} // namespace tamarackdrum::gateway

#include "fake-platform.h"
#include "tamarackdrum/blocking.h"
#include "tamarackdrum/worker-context.h"

#include <gtest/gtest.h>

namespace tamarackdrum::gateway {
namespace {

using namespace test;

enum class End { Close, Reset };
enum class Framing { Length, Chunks, UntilClose };

const std::string Body = "hello, world";

std::string wholeAnswer(Framing Kind) {
  std::string Out("HTTP/1.1 200 OK\r\nTest-Id: id\r\nTest-Signature: s\r\n");
  if (Kind == Framing::Length)
    Out += "Content-Length: 12\r\n\r\nhello, world";
  else if (Kind == Framing::Chunks)
    Out += "Transfer-Encoding: chunked\r\n\r\n"
           "5;x=1\r\nhello\r\n7\r\n, world\r\n0\r\nTest-Trailer: t\r\n\r\n";
  else
    Out += "\r\nhello, world";
  return Out;
}

/// A server that breaks its answer off after any number of bytes. An answer
/// that is not whole must not be taken for a shorter one that is.
class TornAnswerTest : public testing::TestWithParam<std::tuple<Framing, End>> {
protected:
  ~TornAnswerTest() override { m_context.dropPending(); }

  UpstreamReply execute(const std::string &Id = "id") {
    UpstreamRequest Request;
    Request.m_server.m_id = "server";
    Request.m_server.m_address = m_server.address();
    Request.m_head = "POST /work HTTP/1.1\r\nHost: a\r\nTest-Id: ";
    Request.m_head += Id;
    Request.m_head += "\r\nContent-Length: 0\r\n\r\n";
    Request.m_requestId = Id;
    Request.m_isSafe = false;
    Request.m_maxIdleConnections = 4;
    Request.m_deadline = BootClock::now() + Millis(2000);
    asio::awaitable<UpstreamReply> Task =
        m_subject.execute(std::move(Request), m_token);
    return runBlocking(m_context, std::move(Task));
  }

  void breakOffAfter(std::size_t Count) {
    m_server.m_script =
        [Count](ScriptedServer::Stream &To,
                const ReceivedRequest &) -> asio::awaitable<bool> {
      const auto [Kind, How] = GetParam();
      std::string Text = wholeAnswer(Kind).substr(0, Count);
      co_await ScriptedServer::send(To, std::move(Text));
      if (How == End::Reset)
        setAbortiveClose(To.socket(), true);
      co_return false;
    };
  }

  WorkerContext m_context{1};
  ScriptedServer m_server{m_context};
  ConnectionPool m_pool{PoolPolicy{}};
  UpstreamClient m_subject{m_pool, Headers};
  CancelToken m_token;
};

TEST_P(TornAnswerTest, Execute_AnswerIsBrokenOff_IsNotServed) {
  const auto [Kind, How] = GetParam();
  const std::string Whole = wholeAnswer(Kind);
  // A clean close ends an answer without a length, wherever it comes.
  const std::size_t HeadBytes = Whole.find("\r\n\r\n") + 4;
  const bool EndsByClose = Kind == Framing::UntilClose && How == End::Close;
  const std::size_t Bytes = EndsByClose ? HeadBytes : Whole.size();
  for (std::size_t Count = 0; Count < Bytes; ++Count) {
    breakOffAfter(Count);
    const UpstreamReply Reply = execute();
    EXPECT_EQ(Reply.m_result, DispatchResult::ConnectionLost) << Count;
  }
}

TEST_P(TornAnswerTest, Execute_AnswerIsWhole_IsServedUnlessReset) {
  const auto [Kind, How] = GetParam();
  breakOffAfter(wholeAnswer(Kind).size());
  const UpstreamReply Reply = execute();
  if (How == End::Close) {
    EXPECT_EQ(Reply.m_result, DispatchResult::Served);
    EXPECT_EQ(Reply.m_body, Body);
  } else if (Kind == Framing::UntilClose) {
    EXPECT_EQ(Reply.m_result, DispatchResult::ConnectionLost);
  }
}

TEST_P(TornAnswerTest, Execute_KeptConnection_BrokenOffAnswerIsNotServed) {
  const auto [Kind, How] = GetParam();
  const std::size_t HeadBytes = wholeAnswer(Kind).find("\r\n\r\n") + 4;
  for (std::size_t Count = 0; Count < HeadBytes; ++Count) {
    m_server.m_script = ScriptedServer::answerOk;
    ASSERT_EQ(execute("first").m_result, DispatchResult::Served);
    const std::size_t Connections = m_server.m_connections;
    breakOffAfter(Count);
    const UpstreamReply Reply = execute();
    EXPECT_EQ(Reply.m_result, DispatchResult::ConnectionLost) << Count;
    EXPECT_EQ(m_server.m_connections, Connections);
  }
}

INSTANTIATE_TEST_SUITE_P(
    AllForms, TornAnswerTest,
    testing::Combine(testing::Values(Framing::Length, Framing::Chunks,
                                     Framing::UntilClose),
                     testing::Values(End::Close, End::Reset)));

} // namespace
} // namespace tamarackdrum::gateway

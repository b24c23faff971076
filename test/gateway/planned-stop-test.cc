// Requests that reach a host during its planned stop are answered or refused,
// and none is cut when the process ends.

#include "gateway-host-fixture.h"

namespace tamarackdrum::gateway {
namespace {

using namespace test;

class PlannedStopTest : public GatewayHostTest {
protected:
  /// The web servers need \p ServiceTime, and those that have m_isHeld set
  /// when a request comes answer it only once it is reset.
  void serveIn(Millis ServiceTime) {
    setWeb([this,
            ServiceTime](ScriptedServer::Stream &To,
                         const ReceivedRequest &Seen) -> asio::awaitable<bool> {
      const bool WaitsForRelease = m_isHeld;
      while (WaitsForRelease && m_isHeld)
        co_await sleepFor(Millis(5));
      if (!WaitsForRelease)
        co_await sleepFor(ServiceTime);
      co_return co_await ScriptedServer::answerOk(To, Seen);
    });
  }

  /// As serveIn(), but the servers send the head and most of a body of \p
  /// Length bytes at once, and the rest after \p Time.
  void serveSlowly(std::size_t Length, Millis Time) {
    setWeb([this, Length,
            Time](ScriptedServer::Stream &To,
                  const ReceivedRequest &Seen) -> asio::awaitable<bool> {
      const bool WaitsForRelease = m_isHeld;
      while (WaitsForRelease && m_isHeld)
        co_await sleepFor(Millis(5));
      std::string Text =
          ScriptedServer::okResponse(Seen.m_id, std::string(Length, 'x'));
      std::string Rest = Text.substr(Text.size() - 1);
      Text.pop_back();
      const bool IsSent = co_await ScriptedServer::send(To, std::move(Text));
      if (!WaitsForRelease)
        co_await sleepFor(Time);
      const bool IsWhole = co_await ScriptedServer::send(To, std::move(Rest));
      co_return IsSent &&IsWhole;
    });
  }

  /// Lets requests that need 1000 ms wait until 800 ms before the end of a
  /// stop, and expects that they are refused and that none is cut.
  void expectWaitingAreRefused() {
    for (int I = 0; I < 2; ++I)
      ASSERT_EQ(send(post("/pay/", "card")).m_status, 200U);
    m_isHeld = true;
    std::vector<Sent> All;
    for (int I = 0; I < 10; ++I)
      All.push_back(sendLater(post("/pay/", "card")));
    ASSERT_TRUE(runUntil([this] { return webRequests() >= 6; }));
    stop();
    wait(m_stopTimeout - m_policy.m_stopMargin - Millis(800));
    const std::size_t Before = webRequests();
    m_isHeld = false;
    runToTheEnd();
    EXPECT_EQ(webRequests(), Before);
    int Refused = 0;
    for (const Sent &Item : All) {
      EXPECT_TRUE(*Item.m_isDone);
      EXPECT_TRUE(Item.m_answer->m_isWhole);
      EXPECT_TRUE(Item.m_answer->m_status == 200 ||
                  Item.m_answer->m_status == 503)
          << Item.m_answer->m_status;
      Refused += Item.m_answer->m_status == 503 ? 1 : 0;
    }
    EXPECT_EQ(Refused + Before, All.size() + 2);
  }

  /// Sends the signal. The platform kills the process after the stop timeout.
  void stop() {
    m_stopBegin = BootClock::now();
    m_hosts[0]->stop([this] { m_isStopped = true; });
  }

  /// Runs until the process would end, by itself or by the kill.
  void runToTheEnd() {
    const TimePoint Kill = m_stopBegin + m_stopTimeout;
    runUntil([this, Kill] { return m_isStopped || BootClock::now() >= Kill; });
  }

  bool m_isHeld = false;
  bool m_isStopped = false;
  TimePoint m_stopBegin{};
};

// Waiting requests were sent to servers until shortly before the end of the
// grace time, and were cut there, unsafe ones among them.
TEST_F(PlannedStopTest, WaitingRequest_CannotEndInTheGrace_IsRefusedAsNotRun) {
  serveIn(Millis(1000));
  startAll();
  expectWaitingAreRefused();
}

// The usual time of a route ended with the head of the answer, so that requests
// were sent whose answers were cut at the end.
TEST_F(PlannedStopTest, WaitingRequest_BodyTakesLong_IsRefusedAsNotRun) {
  serveSlowly(1000, Millis(1000));
  startAll();
  expectWaitingAreRefused();
}

TEST_F(PlannedStopTest, WaitingRequest_AnswerIsStreamed_IsRefusedAsNotRun) {
  serveSlowly(200000, Millis(1000));
  startAll();
  expectWaitingAreRefused();
}

// A server that knows how much time is left ends its work and answers.
TEST_F(PlannedStopTest, Request_DuringStop_ServerGetsOnlyTheGrace) {
  startAll();
  stop();
  ASSERT_EQ(send(post("/pay/", "card")).m_status, 200U);
  const ScriptedServer &Used =
      m_web[0].m_requests.empty() ? m_web[1] : m_web[0];
  EXPECT_LT(Millis(std::stoi(Used.m_requests[0].m_deadline)), m_stopTimeout);
}

// The body of a long request is passed on while the client sends it, which may
// take longer than the grace time.
TEST_F(PlannedStopTest, LongBody_DuringStop_IsRefusedAsNotRun) {
  startAll();
  stop();
  const Answer Got = send(post("/pay/", std::string(2U << 20U, 'x')));
  EXPECT_EQ(Got.m_status, 503U);
  EXPECT_EQ(webRequests(), 0U);
}

TEST_F(PlannedStopTest, RunningRequest_GraceEnds_IsAnswered) {
  m_isHeld = true;
  serveIn(Millis(0));
  startAll();
  const Sent Item = sendLater(post("/pay/", "card"));
  ASSERT_TRUE(runUntil([this] { return webRequests() == 1; }));
  stop();
  runToTheEnd();
  EXPECT_TRUE(*Item.m_isDone);
  EXPECT_EQ(Item.m_answer->m_status, 502U);
  EXPECT_TRUE(Item.m_answer->m_isWhole);
}

// The connection was closed without an answer, and clients do not repeat an
// unsafe request then.
TEST_F(PlannedStopTest, RequestBody_NotWholeWhenGraceEnds_IsRefusedAsNotRun) {
  startAll();
  std::string Bytes = post("/pay/", "a body of some length");
  Bytes.pop_back();
  const Sent Item = sendLater(Bytes);
  wait(Millis(100));
  stop();
  runToTheEnd();
  EXPECT_TRUE(*Item.m_isDone);
  EXPECT_EQ(Item.m_answer->m_status, 503U);
  EXPECT_TRUE(Item.m_answer->m_isWhole);
  EXPECT_EQ(webRequests(), 0U);
}

// Guards against an end without an answer, and against a refusal: the server
// may have begun to run the request.
TEST_F(PlannedStopTest, LongRequestBody_NotWholeWhenGraceEnds_IsAnswered) {
  startAll();
  std::string Bytes = post("/pay/", std::string(600000, 'x'));
  Bytes.resize(Bytes.size() - 1000);
  const Sent Item = sendLater(Bytes);
  wait(Millis(300));
  stop();
  runToTheEnd();
  EXPECT_TRUE(*Item.m_isDone);
  EXPECT_EQ(Item.m_answer->m_status, 502U);
  EXPECT_TRUE(Item.m_answer->m_isWhole);
}

// A client repeats an unsafe request after a refusal, but not if it could not
// connect.
TEST_F(PlannedStopTest, NewConnection_HostStillRuns_IsRefusedAsNotRun) {
  m_isHeld = true;
  serveIn(Millis(0));
  startAll();
  const Sent Running = sendLater(get("/web/"));
  ASSERT_TRUE(runUntil([this] { return webRequests() == 1; }));
  stop();
  wait(m_policy.m_closeIdleAfter + Millis(500));
  EXPECT_EQ(send(post("/pay/", "card")).m_status, 503U);
  m_isHeld = false;
  runToTheEnd();
  EXPECT_EQ(Running.m_answer->m_status, 200U);
}

// The times of a stop were fixed, and longer than a short grace time.
TEST_F(PlannedStopTest, Stop_GraceIsShort_EndsBeforeTheKill) {
  m_stopTimeout = Millis(3000);
  m_policy.m_stopMargin = Millis(1000);
  m_isHeld = true;
  serveIn(Millis(0));
  startAll();
  const Sent Item = sendLater(post("/pay/", "card"));
  ASSERT_TRUE(runUntil([this] { return webRequests() == 1; }));
  stop();
  runToTheEnd();
  EXPECT_TRUE(m_isStopped);
  EXPECT_TRUE(*Item.m_isDone);
}

} // namespace
} // namespace tamarackdrum::gateway

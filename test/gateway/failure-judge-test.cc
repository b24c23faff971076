#include "tamarackdrum/gateway/dispatcher.h"

#include <gtest/gtest.h>

namespace tamarackdrum::gateway {
namespace {

TimePoint at(int Ms) {
  return TimePoint{} + std::chrono::hours(1) + Millis(Ms);
}

// Guards against healthy servers being paused for all hosts by a zone of hosts
// that is cut off.
TEST(FailureJudgeTest, Failure_OthersReachTheServer_CountsAgainstTheHost) {
  FailureJudge Judge;
  for (int Ms = 0; Ms < 3000; Ms += 100)
    for (const char *Server : {"a", "b", "c"}) {
      Judge.recordReached(Server, 1, at(Ms));
      for (std::uint32_t CutOff = 2; CutOff < 5; ++CutOff)
        EXPECT_FALSE(Judge.recordFailed(Server, CutOff, at(Ms + 50)));
    }
  EXPECT_FALSE(Judge.recordFailed("idle", 2, at(3000)));
}

TEST(FailureJudgeTest, Failure_NobodyReachesTheServer_CountsAgainstTheServer) {
  FailureJudge Judge;
  EXPECT_TRUE(Judge.recordFailed("a", 1, at(0)));
  Judge.recordReached("b", 1, at(0));
  Judge.recordReached("b", 2, at(0));
  EXPECT_TRUE(Judge.recordFailed("b", 1, at(2000)));
}

// A server that ends under load has just been reached by many hosts.
TEST(FailureJudgeTest, Failure_ServerHasJustEnded_SecondHostCounts) {
  FailureJudge Judge;
  for (std::uint32_t Host = 1; Host < 5; ++Host)
    Judge.recordReached("a", Host, at(0));
  EXPECT_FALSE(Judge.recordFailed("a", 1, at(50)));
  EXPECT_FALSE(Judge.recordFailed("a", 2, at(60)));
  EXPECT_TRUE(Judge.recordFailed("a", 2, at(200)));
}

TEST(FailureJudgeTest, Failure_OnlyOneHostReports_CountsAgainstTheServer) {
  FailureJudge Judge;
  Judge.recordReached("a", 0, at(0));
  EXPECT_TRUE(Judge.recordFailed("a", 0, at(10)));
}

TEST(FailureJudgeTest, Failure_HostReachesServersAgain_CountsAgain) {
  FailureJudge Judge;
  for (const char *Server : {"a", "b"}) {
    Judge.recordReached(Server, 1, at(0));
    EXPECT_FALSE(Judge.recordFailed(Server, 2, at(10)));
  }
  EXPECT_FALSE(Judge.recordFailed("c", 2, at(20)));
  Judge.recordReached("a", 2, at(30));
  EXPECT_TRUE(Judge.recordFailed("c", 2, at(40)));
}

// Guards against a server that is paused for all hosts since one host, which
// is cut off from the servers, reports it as unreachable.
TEST(FailureJudgeTest, Dispatcher_OneHostReachesNoServer_OthersKeepServers) {
  DispatchPolicy Policy;
  Policy.m_judgesByHost = true;
  Dispatcher Subject(Policy);
  DispatchDecisions Made;
  std::vector<ServerEntry> Servers(2);
  for (char Id = 'a'; ServerEntry & Item : Servers) {
    Item.m_id = std::string(1, Id++);
    Item.m_slots = 1;
  }
  Subject.setServers(Servers, at(0), Made);
  for (std::uint32_t I = 0; I < 200; ++I) {
    const bool IsCutOff = I % 2 == 1;
    const TimePoint Now = at(static_cast<int>(I) * 20);
    DispatchRequest Request;
    Request.m_id = {IsCutOff ? 2U : 1U, I};
    Request.m_objectiveLeft = Request.m_timeLeft = Millis(2500);
    Made.clear();
    Subject.submit(Request, Now, Made);
    ASSERT_EQ(Made.size(), 1U);
    EXPECT_FALSE(Made[0].m_server.empty());
    Subject.finish(Request.m_id,
                   IsCutOff ? DispatchResult::Unreachable
                            : DispatchResult::Served,
                   Millis(15), Now + Millis(15), Made);
  }
}

} // namespace
} // namespace tamarackdrum::gateway

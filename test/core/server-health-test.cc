#include "tamarackdrum/server-health.h"

#include <gtest/gtest.h>

namespace tamarackdrum {
namespace {

class ServerHealthTest : public testing::Test {
protected:
  void fail(int Times, Millis Step) {
    for (int I = 0; I < Times; ++I) {
      m_now += Step;
      m_health.noteResult("s1", true, m_now);
    }
  }

  bool isSuspect() const { return !m_health.suspects(m_now).empty(); }

  TimePoint m_now{Millis(100000)};
  ServerHealth m_health;
};

TEST_F(ServerHealthTest, Suspects_ThreeFailuresInABurst_WaitForMinFailingTime) {
  fail(3, Millis(1));
  EXPECT_FALSE(isSuspect());
  m_now += Millis(298);
  EXPECT_TRUE(isSuspect());
}

TEST_F(ServerHealthTest, Suspects_TwoFailures_AreNotEnough) {
  fail(2, Millis(400));
  EXPECT_FALSE(isSuspect());
}

TEST_F(ServerHealthTest, Suspects_ThreeRefusedConnections_AreSuspectAtOnce) {
  for (int I = 0; I < 3; ++I)
    m_health.noteConnectRefused("s1", m_now);
  EXPECT_EQ(m_health.suspects(m_now), std::vector<std::string>{"s1"});
}

TEST_F(ServerHealthTest, Suspects_AfterSuccess_AreCleared) {
  fail(5, Millis(200));
  ASSERT_TRUE(isSuspect());
  m_health.noteResult("s1", false, m_now);
  EXPECT_FALSE(isSuspect());
}

TEST_F(ServerHealthTest, Report_HealthyAfterFailedDispatch_DoesNotClear) {
  fail(3, Millis(200));
  m_health.noteReport("s1", true, m_now);
  EXPECT_TRUE(isSuspect());
}

TEST_F(ServerHealthTest, Report_SickAfterSuccessfulDispatch_IsHearsay) {
  for (int I = 0; I < 10; ++I) {
    m_now += Millis(200);
    m_health.noteResult("s1", false, m_now);
    m_health.noteReport("s1", false, m_now);
  }
  EXPECT_FALSE(isSuspect());
}

TEST_F(ServerHealthTest, Report_SickWithoutDispatches_MakesSuspect) {
  for (int I = 0; I < 3; ++I) {
    m_now += Millis(200);
    m_health.noteReport("s1", false, m_now);
  }
  EXPECT_TRUE(isSuspect());
}

TEST_F(ServerHealthTest, Report_HealthyAfterOldFailure_Clears) {
  fail(3, Millis(200));
  m_now += Millis(2000);
  m_health.noteReport("s1", true, m_now);
  EXPECT_FALSE(isSuspect());
}

TEST_F(ServerHealthTest, Suspects_WithoutNewEvidence_Expire) {
  fail(3, Millis(200));
  m_now += Millis(3000);
  EXPECT_FALSE(isSuspect());
}

TEST(IsProber, OfTwelveMembers_ChoosesThreeForEachServer) {
  View Current;
  for (int I = 0; I < 12; ++I)
    Current.m_members.push_back({"entry-" + std::to_string(I)});
  for (int Server = 0; Server < 22; ++Server) {
    std::size_t Chosen = 0;
    for (const Member &One : Current.m_members)
      if (isProber(Current, "s" + std::to_string(Server), One.m_name))
        ++Chosen;
    EXPECT_EQ(Chosen, ProbersPerServer);
  }
  EXPECT_FALSE(isProber(Current, "s1", "stranger"));
}

TEST_F(ServerHealthTest, NoAnswer_DespiteRecentSuccess_MakesSuspect) {
  m_health.noteResult("s1", false, m_now);
  for (int I = 0; I < 3; ++I) {
    m_now += Millis(200);
    m_health.noteNoAnswer("s1", m_now);
  }
  EXPECT_TRUE(isSuspect());
}

} // namespace
} // namespace tamarackdrum

#include "tamarackdrum/failure-detector.h"

#include <gtest/gtest.h>

namespace tamarackdrum {
namespace {

/// Three members and six servers of one class.
class FailureDetectorTest : public testing::Test {
protected:
  FailureDetectorTest() {
    m_view.m_generation = 1;
    for (int I = 0; I < 3; ++I)
      m_view.m_members.push_back({"entry-" + std::to_string(I), "", ""});
    for (int I = 0; I < 6; ++I)
      m_view.m_servers.push_back({"s" + std::to_string(I), "stock", ""});
  }

  void reportFromTwo(const std::vector<std::string> &Servers) {
    m_detector.report("entry-0", Servers, m_now);
    m_detector.report("entry-1", Servers, m_now);
  }

  void suspend(const std::string &Server) {
    ++m_view.m_generation;
    m_view = applySuspension(m_view, {{Server}, {}});
    m_detector.noteView(m_view, m_now);
  }

  TimePoint m_now{Millis(1000000)};
  View m_view;
  FailureDetector m_detector{DetectorLimits{}};
};

TEST_F(FailureDetectorTest, OneObserver_MovesNothing) {
  m_detector.report("entry-0", {"s1"}, m_now);
  EXPECT_TRUE(m_detector.decide(m_view, m_now).empty());
}

TEST_F(FailureDetectorTest, TwoObservers_SuspendTheServer) {
  reportFromTwo({"s1"});
  EXPECT_EQ(m_detector.decide(m_view, m_now).m_suspend,
            std::vector<std::string>{"s1"});
}

TEST_F(FailureDetectorTest, OldReport_DoesNotCount) {
  m_detector.report("entry-0", {"s1"}, m_now);
  m_now += DetectorLimits{}.m_reportLifetime + Millis(1);
  m_detector.report("entry-1", {"s1"}, m_now);
  EXPECT_TRUE(m_detector.decide(m_view, m_now).empty());
}

TEST_F(FailureDetectorTest, AllServersSuspected_AThirdIsKept) {
  reportFromTwo({"s0", "s1", "s2", "s3", "s4", "s5"});
  EXPECT_EQ(m_detector.decide(m_view, m_now).m_suspend.size(), 4U);
}

TEST_F(FailureDetectorTest, RecalledServer_IsLeftAlone) {
  m_view.m_servers[1].m_state = ServerState::Recalled;
  reportFromTwo({"s1"});
  EXPECT_TRUE(m_detector.decide(m_view, m_now).empty());
}

TEST_F(FailureDetectorTest, Suspended_ComesBackAfterTheFirstWait) {
  suspend("s1");
  const Millis Wait = DetectorLimits{}.m_firstWait;
  EXPECT_TRUE(m_detector.decide(m_view, m_now + Wait - Millis(1)).empty());
  EXPECT_EQ(m_detector.decide(m_view, m_now + Wait).m_reinstate,
            std::vector<std::string>{"s1"});
}

TEST_F(FailureDetectorTest, FlappingServer_WaitsTwiceAsLongEachTime) {
  const Millis First = DetectorLimits{}.m_firstWait;
  for (int Round = 0; Round < 3; ++Round) {
    suspend("s1");
    EXPECT_EQ(m_detector.suspensionTime("s1", m_now), First * (1 << Round));
    m_now += First;
    m_view = applySuspension(m_view, {{}, {"s1"}});
  }
}

} // namespace
} // namespace tamarackdrum

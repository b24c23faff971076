#include "tamarackdrum/gateway/backoff-tracker.h"

#include <gtest/gtest.h>

namespace tamarackdrum::gateway {
namespace {

class BackoffTrackerTest : public testing::Test {
protected:
  static ServerEntry makeServer(const char *Id, std::int64_t StartMs = 1) {
    ServerEntry Out;
    Out.m_id = Id;
    Out.m_service = "shop";
    Out.m_startMs = StartMs;
    return Out;
  }

  BackoffTracker m_subject;
  TimePoint m_now{std::chrono::seconds(100)};
};

TEST_F(BackoffTrackerTest, Remaining_TimeIsOver_IsZero) {
  m_subject.extend(makeServer("a"), Millis(1000), m_now);
  EXPECT_EQ(m_subject.remaining(makeServer("a"), m_now + Millis(400)),
            Millis(600));
  EXPECT_EQ(m_subject.remaining(makeServer("a"), m_now + Millis(1000)),
            Millis(0));
  EXPECT_EQ(m_subject.remaining(makeServer("b"), m_now), Millis(0));
}

TEST_F(BackoffTrackerTest, Extend_ShorterTime_LongerOneStays) {
  m_subject.extend(makeServer("a"), Millis(1000), m_now);
  m_subject.extend(makeServer("a"), Millis(100), m_now);
  EXPECT_EQ(m_subject.remaining(makeServer("a"), m_now), Millis(1000));
}

TEST_F(BackoffTrackerTest, Remaining_ServerHasRestarted_IsZero) {
  m_subject.extend(makeServer("a", 1), Millis(1000), m_now);
  EXPECT_EQ(m_subject.remaining(makeServer("a", 2), m_now), Millis(0));
}

TEST_F(BackoffTrackerTest, ActiveFor_SeveralServices_ReturnsThatOfTheService) {
  m_subject.extend(makeServer("a"), Millis(1000), m_now);
  ServerEntry Other = makeServer("b");
  Other.m_service = "stock";
  m_subject.extend(Other, Millis(1000), m_now);
  EXPECT_EQ(m_subject.activeFor("shop", m_now),
            (std::vector<ServerBackoff>{{"a", Millis(1000)}}));
  EXPECT_TRUE(m_subject.activeFor("shop", m_now + Millis(1000)).empty());
}

} // namespace
} // namespace tamarackdrum::gateway

#include "tamarackdrum/gateway/store-health.h"

#include <gtest/gtest.h>

namespace tamarackdrum::gateway {
namespace {

class StoreHealthTest : public testing::Test {
protected:
  static TimePoint at(int Ms) { return TimePoint(Millis(100000 + Ms)); }

  StoreHealth m_subject{Millis(1500)};
};

TEST_F(StoreHealthTest, NewHost_NoCalls_IsNeitherLostNorAvailable) {
  EXPECT_FALSE(m_subject.isLost());
  EXPECT_EQ(m_subject.lostFor(at(0)), Millis(0));
  EXPECT_EQ(m_subject.availableFor(), Millis(0));
}

TEST_F(StoreHealthTest, FirstCall_Fails_IsLostForTheMaximumTime) {
  EXPECT_TRUE(m_subject.recordCall(false, at(0)));
  EXPECT_TRUE(m_subject.isLost());
  EXPECT_EQ(m_subject.lostFor(at(10)), Millis(INT32_MAX));
}

TEST_F(StoreHealthTest, Calls_SucceedInARow_AvailabilityGrows) {
  EXPECT_FALSE(m_subject.recordCall(true, at(0)));
  m_subject.recordCall(true, at(1000));
  m_subject.recordCall(true, at(2000));
  EXPECT_EQ(m_subject.availableFor(), Millis(2000));
}

TEST_F(StoreHealthTest, LongPause_BetweenSuccessfulCalls_AvailabilityRestarts) {
  m_subject.recordCall(true, at(0));
  m_subject.recordCall(true, at(1600));
  EXPECT_EQ(m_subject.availableFor(), Millis(0));
  m_subject.recordCall(true, at(2000));
  EXPECT_EQ(m_subject.availableFor(), Millis(400));
}

TEST_F(StoreHealthTest,
       CallFails_AfterSuccessfulOnes_IsLostSinceTheLastSuccess) {
  m_subject.recordCall(true, at(0));
  m_subject.recordCall(true, at(500));
  EXPECT_TRUE(m_subject.recordCall(false, at(700)));
  EXPECT_EQ(m_subject.lostFor(at(1500)), Millis(1000));
  EXPECT_EQ(m_subject.availableFor(), Millis(0));
  EXPECT_FALSE(m_subject.recordCall(false, at(900)));
}

TEST_F(StoreHealthTest, CallSucceeds_WhileLost_AvailabilityRestarts) {
  m_subject.recordCall(true, at(0));
  m_subject.recordCall(false, at(500));
  EXPECT_TRUE(m_subject.recordCall(true, at(900)));
  EXPECT_FALSE(m_subject.isLost());
  EXPECT_EQ(m_subject.lostFor(at(2000)), Millis(0));
  EXPECT_EQ(m_subject.availableFor(), Millis(0));
}

// Concurrent calls may end in any order.
TEST_F(StoreHealthTest, OlderCall_EndsLater_LastSuccessIsKept) {
  m_subject.recordCall(true, at(0));
  m_subject.recordCall(true, at(1000));
  m_subject.recordCall(true, at(400));
  EXPECT_EQ(m_subject.availableFor(), Millis(1000));
}

TEST(ReadBackoffTest, Next_ReadsFailInARow_DoublesUpToTheMaximum) {
  ReadBackoff Subject(Millis(250), Millis(800));
  for (int Expected : {250, 500, 800, 800})
    EXPECT_EQ(Subject.next(), Millis(Expected));
  Subject.reset();
  EXPECT_EQ(Subject.next(), Millis(250));
}

} // namespace
} // namespace tamarackdrum::gateway

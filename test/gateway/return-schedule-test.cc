#include "tamarackdrum/gateway/return-schedule.h"

#include <gtest/gtest.h>

namespace tamarackdrum::gateway {
namespace {

class ReturnScheduleTest : public testing::Test {
protected:
  ReturnScheduleTest() { m_policy.m_rateShare = 0.5; }

  Caller caller(Millis TimeLeft, unsigned Priority = 0) const {
    return {7, "route", Priority, m_now + Millis(800), m_now + TimeLeft};
  }

  /// Gives a place at a holder that serves a request each 50 ms.
  std::optional<Millis> give(const Caller &Who) {
    const std::optional<TimePoint> Due =
        m_subject.give("a", Who, 1.0 / 50, m_now, m_policy, m_now);
    if (!Due)
      return std::nullopt;
    return std::chrono::duration_cast<Millis>(*Due - m_now);
  }

  ReturnPolicy m_policy;
  TimePoint m_now = TimePoint(std::chrono::hours(1));
  ReturnSchedule m_subject;
};

// Callers that are told the same time return together and are refused again.
TEST_F(ReturnScheduleTest, Give_SeveralCallers_DifferentTimesAtTheRate) {
  EXPECT_EQ(give(caller(Millis(3000))), Millis(100));
  EXPECT_EQ(give(caller(Millis(3000))), Millis(200));
  EXPECT_EQ(give(caller(Millis(3000))), Millis(300));
}

// A caller waits for a third of its time at most: a later place would stay
// reserved in vain.
TEST_F(ReturnScheduleTest, Give_LaterThanAThirdOfTheTimeLeft_NoPlace) {
  EXPECT_EQ(give(caller(Millis(600))), Millis(100));
  EXPECT_EQ(give(caller(Millis(600))), Millis(200));
  EXPECT_EQ(give(caller(Millis(600))), std::nullopt);
  EXPECT_EQ(m_subject.dueUntil("a", m_now + Millis(9000), 0), 2U);
}

TEST_F(ReturnScheduleTest, Take_SameObjective_HasPlaceOnce) {
  const Caller Refused = caller(Millis(3000));
  give(Refused);
  m_now += Millis(100);
  Caller Back = Refused;
  Back.m_objectiveAt += Millis(20);
  EXPECT_TRUE(m_subject.take(Back, m_policy, m_now));
  EXPECT_FALSE(m_subject.take(Back, m_policy, m_now));
}

// A new request for a hot key must not use the place of a refused caller.
TEST_F(ReturnScheduleTest, Take_NewRequestForTheSameKey_HasNoPlace) {
  give(caller(Millis(3000)));
  m_now += Millis(100);
  EXPECT_FALSE(m_subject.take(caller(Millis(3000)), m_policy, m_now));
}

TEST_F(ReturnScheduleTest, Take_AfterTheObjective_HasPlace) {
  give(caller(Millis(9000)));
  m_now += Millis(850);
  Caller Back = caller(Millis(8150));
  Back.m_objectiveAt = m_now;
  EXPECT_TRUE(m_subject.take(Back, m_policy, m_now));
}

TEST_F(ReturnScheduleTest, DropLapsed_CallerDoesNotReturn_ReservesNothing) {
  give(caller(Millis(3000)));
  EXPECT_EQ(m_subject.dueUntil("a", m_now + Millis(100), 0), 1U);
  m_now += Millis(100) + m_policy.m_grace + Millis(1);
  m_subject.dropLapsed(m_policy, m_now);
  EXPECT_EQ(m_subject.dueUntil("a", m_now, 0), 0U);
  EXPECT_EQ(m_subject.counts().m_lapsed, 1U);
}

TEST_F(ReturnScheduleTest, DueUntil_HigherPriority_IgnoresLowerOnes) {
  give(caller(Millis(3000), 1));
  EXPECT_EQ(m_subject.dueUntil("a", m_now + Millis(100), 0), 0U);
  EXPECT_EQ(m_subject.dueUntil("a", m_now + Millis(100), 1), 1U);
}

// A key that moves takes the places of its callers along.
TEST_F(ReturnScheduleTest, SetHolders_KeyMoves_PlaceIsAtTheNewHolder) {
  const Caller Who = caller(Millis(3000));
  give(Who);
  m_subject.setHolders(KeyMap(1, {{0, 65535, "b"}}));
  EXPECT_EQ(m_subject.dueUntil("b", m_now + Millis(100), 0), 1U);
  EXPECT_TRUE(m_subject.take(Who, m_policy, m_now));
}

} // namespace
} // namespace tamarackdrum::gateway

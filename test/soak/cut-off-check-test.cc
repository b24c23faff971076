#include "cut-off-check.h"

#include <gtest/gtest.h>

namespace tamarackdrum::soak {
namespace {

/// Host 0 is cut off for 8 s; host 1 is not.
class CutOffCheckTest : public testing::Test {
protected:
  /// Adds \p Count attempts at \p Host, 50 ms apart; the first \p Served ones
  /// are served.
  void add(std::size_t Host, Millis From, int Count, int Served) {
    for (int I = 0; I < Count; ++I) {
      const TimePoint At = m_start + From + Millis(50) * I;
      m_attempts.push_back({Host, At, At + Millis(100), I < Served});
    }
  }

  std::vector<CutOffFailure> find() const {
    const CutOffRecord Cut{{0}, "hang", m_start, m_start + Millis(8000)};
    return findCutOffFailures(
        m_attempts, {Cut},
        [this](std::size_t Host, TimePoint From, TimePoint To) {
          return Host == m_faultyHost && From <= m_faultyUntil && To >= m_start;
        });
  }

  TimePoint m_start{std::chrono::seconds(100)};
  std::vector<FirstAttempt> m_attempts;
  std::optional<std::size_t> m_faultyHost;
  TimePoint m_faultyUntil;
};

// 1.0 served at the other host: fewer than two thirds break the rule.
TEST_F(CutOffCheckTest, Find_BothBoundsAreMissed_Failure) {
  add(1, Millis(3000), 100, 100);
  add(0, Millis(3000), 90, 59);
  ASSERT_EQ(find().size(), 1U);
  EXPECT_EQ(find()[0].m_attempts, 90U);
  EXPECT_EQ(find()[0].m_served, 59U);
}

TEST_F(CutOffCheckTest, Find_TwoThirdsOfTheOthersAreServed_NoFailure) {
  add(1, Millis(3000), 100, 100);
  add(0, Millis(3000), 90, 60);
  EXPECT_TRUE(find().empty());
}

// 10 and 1 in 50 of 20 may fail: 10 of 20 fail, 11 of 20 are too many.
TEST_F(CutOffCheckTest, Find_FewFail_NoFailure) {
  add(1, Millis(3000), 100, 100);
  add(0, Millis(3000), 20, 10);
  EXPECT_TRUE(find().empty());
  m_attempts.clear();
  add(1, Millis(3000), 100, 100);
  add(0, Millis(3000), 20, 9);
  EXPECT_EQ(find().size(), 1U);
}

TEST_F(CutOffCheckTest, Find_OtherHostsFailAsWell_NoFailure) {
  add(1, Millis(3000), 100, 30);
  add(0, Millis(3000), 100, 20);
  EXPECT_TRUE(find().empty());
}

TEST_F(CutOffCheckTest, Find_AttemptsBeforeTheBoundAndAfterTheEnd_NoFailure) {
  add(1, Millis(3000), 100, 100);
  add(0, Millis(0), 60, 0);
  add(0, Millis(8001), 60, 0);
  EXPECT_TRUE(find().empty());
}

TEST_F(CutOffCheckTest, Find_HostHadAFaultOfItsOwn_BoundBeginsAnew) {
  add(1, Millis(3000), 100, 100);
  add(0, Millis(3000), 40, 0);
  m_faultyHost = 0;
  m_faultyUntil = m_start + Millis(2000);
  EXPECT_TRUE(find().empty());
  add(0, Millis(5001), 40, 0);
  EXPECT_EQ(find().size(), 1U);
}

} // namespace
} // namespace tamarackdrum::soak

#include "tamarackdrum/gateway/rate-limit.h"

#include <gtest/gtest.h>
#include <limits>
#include <string>
#include <vector>

namespace tamarackdrum::gateway {
namespace {

TEST(ParseRateLimitTest, Parse_DecimalNumber_IsItsRate) {
  EXPECT_EQ(parseRateLimit("2.9"), NamedLimit{2.9});
  EXPECT_EQ(parseRateLimit("100"), NamedLimit{100});
  EXPECT_EQ(parseRateLimit(".5"), NamedLimit{0.5});
}

TEST(ParseRateLimitTest, Parse_Malformed_IsNothing) {
  for (const char *Text :
       {"", "-1", "-0", "fast", "1 a second", "1,5", "1e3", "nan", "inf",
        "infinity", "0x10", "+1", "1.2.3", " 1"})
    EXPECT_FALSE(parseRateLimit(Text).has_value()) << Text;
}

TEST(ParseRateLimitTest, Parse_OutOfRange_IsTheNearestBound) {
  EXPECT_EQ(parseRateLimit("0"), NamedLimit{MinRateLimit});
  EXPECT_EQ(parseRateLimit("0.0001"), NamedLimit{MinRateLimit});
  EXPECT_EQ(parseRateLimit("0." + std::string(400, '0') + "1"),
            NamedLimit{MinRateLimit});
  EXPECT_EQ(parseRateLimit("99999999999"), NamedLimit{MaxRateLimit});
  EXPECT_EQ(parseRateLimit("1" + std::string(400, '0')),
            NamedLimit{MaxRateLimit});
}

class RateLimitTest : public testing::Test {
protected:
  /// Records the answer to a request that was sent \p Ago before now.
  bool observe(double PerSecond, Millis Ago = Millis(0)) {
    return m_subject.observe({PerSecond}, m_now - Ago, m_now);
  }

  RateLimit m_subject;
  TimePoint m_now{std::chrono::seconds(100)};
};

TEST_F(RateLimitTest, Observe_LaterAnswer_ReplacesTheLimit) {
  EXPECT_FALSE(observe(0));
  EXPECT_TRUE(observe(5));
  m_now += Millis(100);
  EXPECT_TRUE(observe(8));
  EXPECT_FALSE(observe(8));
  EXPECT_EQ(m_subject.perSecond(), 8);
  m_now += Millis(100);
  EXPECT_TRUE(observe(0));
  EXPECT_FALSE(m_subject.isLimited());
}

// A host that was paused reports answers of before the server named its limit.
TEST_F(RateLimitTest, Observe_AnswerToEarlierRequest_OnlyLowersTheLimit) {
  observe(2);
  m_now += Millis(50);
  EXPECT_FALSE(observe(0, Millis(3000)));
  EXPECT_FALSE(observe(20, Millis(3000)));
  EXPECT_EQ(m_subject.perSecond(), 2);
  EXPECT_TRUE(observe(1, Millis(3000)));
  EXPECT_EQ(m_subject.perSecond(), 1);
}

TEST_F(RateLimitTest, Age_SameLimitIsNamedAgain_BeginsAnew) {
  observe(2);
  m_now += Millis(700);
  EXPECT_EQ(m_subject.age(m_now), Millis(700));
  observe(2);
  EXPECT_EQ(m_subject.age(m_now), Millis(0));
}

/// Permits of hosts that share a limit or have it whole.
class RatePermitTest : public RateLimitTest {
protected:
  /// Uses each permit that falls due within \p Span. Returns their number.
  int useFor(RateLimit &Limit, Millis Span) {
    int Count = 0;
    for (const TimePoint End = m_now + Span; m_now < End; m_now += Millis(1))
      for (; Limit.hasPermit(m_now); ++Count)
        Limit.takePermit(m_now);
    return Count;
  }
};

TEST_F(RatePermitTest, HasPermit_NoLimit_IsAlwaysTrue) {
  for (int I = 0; I < 1000; ++I) {
    ASSERT_TRUE(m_subject.hasPermit(m_now));
    m_subject.takePermit(m_now);
  }
  EXPECT_EQ(m_subject.msUntilPermit(m_now), 0);
}

TEST_F(RatePermitTest, HasPermit_AnyLimit_TheRateIsUsedAndKept) {
  for (const double Rate : {0.5, 1.0, 2.9, 20.0, 100.0}) {
    RateLimit Limit;
    Limit.observe({Rate}, m_now, m_now);
    EXPECT_NEAR(useFor(Limit, Millis(20000)), 20 * Rate, 1) << Rate;
  }
}

TEST_F(RatePermitTest, HasPermit_NotUsedForLong_AllowsAShortBurstOnly) {
  for (const double Rate : {0.5, 2.9, 20.0, 100.0}) {
    RateLimit Limit;
    Limit.observe({Rate}, m_now, m_now);
    m_now += Millis(60000);
    EXPECT_LE(useFor(Limit, Millis(4000)), 4 * Rate * 1.25 + 1) << Rate;
  }
}

TEST_F(RatePermitTest, MsUntilPermit_JustUsed_IsTheIntervalOfTheRate) {
  observe(4);
  m_now += Millis(250);
  ASSERT_TRUE(m_subject.hasPermit(m_now));
  m_subject.takePermit(m_now);
  EXPECT_NEAR(m_subject.msUntilPermit(m_now), 250, 0.001);
}

// Load pattern: no coordinator, and many hosts that have sent nothing for long.
TEST_F(RatePermitTest, HasPermit_ManyHostsShareALimit_SumIsBounded) {
  for (const std::size_t Hosts : {8U, 80U, 300U})
    for (const double Rate : {0.5, 2.0, 20.0}) {
      std::vector<RateLimit> Limits(Hosts);
      for (std::size_t I = 0; I < Hosts; ++I) {
        const double Phase =
            static_cast<double>(hashKey("host-" + std::to_string(I))) /
            static_cast<double>(std::numeric_limits<std::uint64_t>::max());
        Limits[I].setShare({1.0 / static_cast<double>(Hosts), Phase}, m_now);
        Limits[I].observe({Rate}, m_now, m_now);
      }
      m_now += Millis(500000);
      int Count = 0;
      const TimePoint From = m_now;
      for (RateLimit &Limit : Limits) {
        m_now = From;
        Count += useFor(Limit, Millis(4000));
      }
      EXPECT_LE(Count, 4 * Rate * 1.5 + 5) << Hosts << " hosts, " << Rate;
    }
}

TEST_F(RatePermitTest, SetShare_BecomesWhole_NothingIsLeftOver) {
  m_subject.setShare({0.5, 0.9}, m_now);
  observe(2);
  m_now += Millis(100);
  ASSERT_TRUE(m_subject.hasPermit(m_now));
  m_subject.setShare({1, 0.9}, m_now);
  EXPECT_FALSE(m_subject.hasPermit(m_now));
  EXPECT_NEAR(m_subject.msUntilPermit(m_now), 500, 0.001);
}

TEST_F(RatePermitTest, Observe_LimitFalls_LowerRateHoldsAtOnce) {
  observe(100);
  useFor(m_subject, Millis(2000));
  observe(1);
  EXPECT_LE(useFor(m_subject, Millis(4000)), 5);
}

} // namespace
} // namespace tamarackdrum::gateway

#include "tamarackdrum/gateway/rate-limit.h"

#include <gtest/gtest.h>

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

} // namespace
} // namespace tamarackdrum::gateway

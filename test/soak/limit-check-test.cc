#include "limit-check.h"

#include <gtest/gtest.h>

namespace tamarackdrum::soak {
namespace {

/// One server, to which hosts 0 and 1 send requests.
class LimitCheckTest : public testing::Test {
protected:
  /// Names \p Limit from \p At on.
  void name(Millis At, std::optional<double> Limit) {
    m_limits.push_back({"s", 1, m_start + At, Limit});
  }

  /// Adds \p Count requests of \p Host, one every \p Interval from \p From on,
  /// each answered at once with the limit that is in force.
  void send(std::size_t Host, Millis From, Millis Interval, int Count) {
    for (int I = 0; I < Count; ++I) {
      const TimePoint At = m_start + From + Interval * I;
      std::optional<double> Limit;
      for (const LimitRecord &Item : m_limits)
        if (Item.m_at <= At)
          Limit = Item.m_limit;
      m_arrivals.push_back({{"id", "s", 1, At, At, Limit}, Host});
    }
  }

  std::vector<LimitExcess> find() const {
    return findLimitExcesses(
        m_arrivals, m_limits,
        [this](std::size_t Host, TimePoint From, TimePoint To) {
          return Host == m_excusedHost && From <= m_excusedUntil &&
                 To >= m_excusedFrom;
        });
  }

  TimePoint m_start{std::chrono::seconds(100)};
  std::vector<HostArrival> m_arrivals;
  std::vector<LimitRecord> m_limits;
  std::optional<std::size_t> m_excusedHost;
  TimePoint m_excusedFrom;
  TimePoint m_excusedUntil;
};

TEST_F(LimitCheckTest, Find_RateIsKept_NoExcess) {
  name(Millis(0), 2.0);
  send(0, Millis(0), Millis(1000), 12);
  send(1, Millis(500), Millis(1000), 12);
  EXPECT_TRUE(find().empty());
}

// 2 a second allow 17 in 4 s: each host alone stays below that.
TEST_F(LimitCheckTest, Find_HostsTogetherSendTooMany_Excess) {
  name(Millis(0), 2.0);
  send(0, Millis(0), Millis(400), 25);
  EXPECT_TRUE(find().empty());
  send(1, Millis(0), Millis(400), 25);
  ASSERT_EQ(find().size(), 1U);
  EXPECT_EQ(find()[0].m_count, 18U);
  EXPECT_EQ(find()[0].m_allowed, 17);
}

TEST_F(LimitCheckTest, Find_RequestsBeforeTheLimitHolds_NoExcess) {
  name(Millis(0), 1.0);
  send(0, Millis(0), Millis(50), 59);
  EXPECT_TRUE(find().empty());
}

TEST_F(LimitCheckTest, Find_HostWasNotTold_ItsRequestsAreNotCounted) {
  name(Millis(0), 1.0);
  send(0, Millis(0), Millis(1000), 8);
  for (int I = 0; I < 40; ++I)
    m_arrivals.push_back({{"id", "s", 1, m_start + Millis(4000 + 50 * I),
                           TimePoint{}, std::nullopt},
                          1});
  EXPECT_TRUE(find().empty());
}

TEST_F(LimitCheckTest, Find_HostIsExcused_ItsRequestsAreNotCounted) {
  name(Millis(0), 1.0);
  send(0, Millis(0), Millis(100), 80);
  EXPECT_EQ(find().size(), 1U);
  m_excusedHost = 0;
  m_excusedFrom = m_start;
  m_excusedUntil = m_start + Millis(6000);
  EXPECT_TRUE(find().empty());
}

TEST_F(LimitCheckTest, Find_LimitIsWithdrawn_NoExcess) {
  name(Millis(0), 1.0);
  name(Millis(2900), std::nullopt);
  send(0, Millis(0), Millis(100), 80);
  EXPECT_TRUE(find().empty());
}

TEST_F(LimitCheckTest, Find_LimitFalls_EarlierRequestsCountByTheHigherOne) {
  name(Millis(0), 10.0);
  name(Millis(8000), 1.0);
  send(0, Millis(0), Millis(100), 81);
  send(0, Millis(9000), Millis(1000), 8);
  EXPECT_TRUE(find().empty());
  send(0, Millis(9100), Millis(100), 40);
  EXPECT_EQ(find().size(), 1U);
}

} // namespace
} // namespace tamarackdrum::soak

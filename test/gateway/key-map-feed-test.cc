#include "tamarackdrum/gateway/key-map-feed.h"

#include <gtest/gtest.h>

namespace tamarackdrum::gateway {
namespace {

class KeyMapFeedTest : public testing::Test {
protected:
  static KeyMap makeMap(std::uint64_t Version, Key Middle) {
    return KeyMap(Version, {{0, Middle, "a"},
                            {static_cast<Key>(Middle + 1), KeyCount - 1, "b"}});
  }

  KeyMapFeed m_subject{Millis(1000)};
  TimePoint m_now{std::chrono::seconds(100)};
};

TEST_F(KeyMapFeedTest, NextUpdate_NoMapYet_ReturnsNothing) {
  EXPECT_EQ(m_subject.nextUpdate(KeyMap(), m_now), std::nullopt);
}

// Hot keys make the granter move ranges many times per second.
TEST_F(KeyMapFeedTest, NextUpdate_ManyChangesWithinInterval_AreCombined) {
  ASSERT_EQ(m_subject.nextUpdate(makeMap(1, 100), m_now),
            fullUpdate(makeMap(1, 100)));
  for (std::uint64_t I = 2; I < 10; ++I) {
    m_now += Millis(100);
    EXPECT_EQ(
        m_subject.nextUpdate(makeMap(I, static_cast<Key>(100 + I)), m_now),
        std::nullopt);
  }
  m_now += Millis(200);
  const std::optional<KeyMapUpdate> Result =
      m_subject.nextUpdate(makeMap(10, 110), m_now);
  ASSERT_TRUE(Result);
  EXPECT_EQ(Result->m_baseVersion, 1U);
  EXPECT_EQ(applyUpdate(makeMap(1, 100), *Result), makeMap(10, 110));
}

TEST_F(KeyMapFeedTest, LastSent_ChangeWithinInterval_IsThePreviousMap) {
  m_subject.nextUpdate(makeMap(1, 100), m_now);
  m_subject.nextUpdate(makeMap(2, 101), m_now);
  EXPECT_EQ(m_subject.lastSent(), makeMap(1, 100));
}

} // namespace
} // namespace tamarackdrum::gateway

#include "tamarackdrum/gateway/body-memory.h"

#include <deque>
#include <gtest/gtest.h>

namespace tamarackdrum::gateway {
namespace {

constexpr TimePoint Start{std::chrono::hours(1)};
constexpr std::size_t Limit = 30U << 20U; // Of a host with 120 MB.

BodyMemory makeMemory() {
  BodyMemoryPolicy Policy;
  Policy.m_limitBytes = Limit;
  return BodyMemory(Policy);
}

// Uploads of 60 to 360 KB by slow clients, three times as many as fit.
TEST(BodyMemoryTest, Uploads_MoreThanFit_SumIsBoundedAndAllIsGivenBack) {
  BodyMemory Memory = makeMemory();
  struct Upload {
    std::size_t m_bytes;
    TimePoint m_end;
  };
  std::deque<Upload> Held;
  std::size_t Sum = 0;
  std::size_t Refused = 0;
  TimePoint Now = Start;
  for (std::size_t I = 0; I < 3000; ++I, Now += Millis(10)) {
    while (!Held.empty() && Held.front().m_end <= Now) {
      Memory.giveBack(BodyDirection::Request, Held.front().m_bytes, Now);
      Sum -= Held.front().m_bytes;
      Held.pop_front();
    }
    const std::size_t Bytes = (60 + (I * 37) % 300) << 10U;
    const bool Fits = Sum + Bytes <= Limit / 4 * 3;
    ASSERT_EQ(Memory.tryTake(BodyDirection::Request, Bytes), Fits);
    if (Fits) {
      Held.push_back({Bytes, Now + Millis(3000)});
      Sum += Bytes;
    } else {
      ++Refused;
      EXPECT_GT(Memory.refuse(BodyDirection::Request, Bytes, Now), Millis(0));
      EXPECT_TRUE(Memory.isShort());
    }
    ASSERT_EQ(Memory.total(), Sum);
    ASSERT_FALSE(Memory.isFull());
  }
  EXPECT_GT(Refused, 0U);
  EXPECT_EQ(Memory.refusals(BodyDirection::Request), Refused);
  for (const Upload &Item : Held)
    Memory.giveBack(BodyDirection::Request, Item.m_bytes, Now);
  EXPECT_EQ(Memory.total(), 0U);
  EXPECT_FALSE(Memory.isShort());
}

// Callers that were told the same time would return together and be refused
// again.
TEST(BodyMemoryTest, RetryAfter_SeveralAreRefused_FollowsTheRateOfFreedBytes) {
  BodyMemory Memory = makeMemory();
  const std::size_t Full = Memory.bodyLimit();
  ASSERT_TRUE(Memory.tryTake(BodyDirection::Request, Full));
  TimePoint Now = Start;
  // 1,000 bytes per millisecond.
  for (int I = 0; I < 30; ++I, Now += Millis(100)) {
    Memory.giveBack(BodyDirection::Request, 100000, Now);
    Memory.take(BodyDirection::Request, 100000);
  }
  EXPECT_NEAR(Memory.freedPerMs(Now), 1000, 150);
  const Millis First = Memory.refuse(BodyDirection::Request, 300000, Now);
  const Millis Second = Memory.refuse(BodyDirection::Request, 300000, Now);
  EXPECT_NEAR(static_cast<double>(First.count()), 300, 50);
  EXPECT_NEAR(static_cast<double>(Second.count()), 600, 100);
}

TEST(BodyMemoryTest, Transition_ShortThenHalfEmpty_IsReportedOnce) {
  BodyMemory Memory = makeMemory();
  const std::size_t Full = Memory.bodyLimit();
  EXPECT_EQ(Memory.takeTransition(), std::nullopt);
  ASSERT_TRUE(Memory.tryTake(BodyDirection::Relayed, Full));
  Memory.refuse(BodyDirection::Request, 1, Start);
  EXPECT_EQ(Memory.takeTransition(), true);
  EXPECT_EQ(Memory.takeTransition(), std::nullopt);
  Memory.giveBack(BodyDirection::Relayed, Full / 4, Start);
  EXPECT_EQ(Memory.takeTransition(), std::nullopt);
  Memory.giveBack(BodyDirection::Relayed, Full, Start);
  EXPECT_EQ(Memory.takeTransition(), false);
}

// Requests without a body are refused only while the whole limit is in use.
TEST(BodyMemoryTest, Bodies_TakeAllTheyMay_MemoryIsNotFull) {
  BodyMemory Memory = makeMemory();
  const std::size_t Share = Memory.bodyLimit();
  EXPECT_EQ(Share, Limit / 4 * 3);
  ASSERT_TRUE(Memory.tryTake(BodyDirection::Request, Share));
  EXPECT_FALSE(Memory.tryTake(BodyDirection::Request, 1));
  EXPECT_FALSE(Memory.isFull());
  Memory.take(BodyDirection::Answer, Limit - Share);
  EXPECT_TRUE(Memory.isFull());
}

} // namespace
} // namespace tamarackdrum::gateway

#include "tamarackdrum/server-limiter.h"

#include "tamarackdrum/error.h"
#include "tamarackdrum/routing.h"

#include <gtest/gtest.h>

namespace tamarackdrum {
namespace {

TEST(Shares, OfAllProcesses_MakeUpTheSlotsAndNoneIsWithout) {
  constexpr std::size_t Slots = 2;
  for (const std::size_t Servers : {1U, 5U, 6U, 11U})
    for (const std::size_t Processes : {1U, 3U, 8U, 12U}) {
      const std::size_t Total = Servers * Slots;
      int Sum = 0;
      for (std::size_t Process = 0; Process < Processes; ++Process) {
        int Own = 0;
        for (std::size_t Server = 0; Server < Servers; ++Server)
          Own += shareOf(Server * Slots, Slots, {Total, Process, Processes});
        EXPECT_GE(Own, 1);
        Sum += Own;
      }
      EXPECT_EQ(Sum, static_cast<int>(std::max(Total, Processes)));
    }
}

/// Three processes and three unkeyed servers of two slots.
class SharesTest : public testing::Test {
protected:
  SharesTest() {
    View First;
    First.m_generation = 1;
    for (const char *Name : {"a", "b", "c"})
      First.m_members.push_back({Name});
    ClassTarget Find;
    Find.m_name = "find";
    First.m_classes.push_back(Find);
    for (const char *Name : {"s1", "s2", "s3"})
      First.m_servers.push_back({Name, "find", "127.0.0.1:1"});
    m_router.install(First);
    m_router.setLease(m_now + Millis(600), 1);
  }

  Result<Dispatch> decide() { return m_router.decide({"find"}, m_now); }

  TimePoint m_now{Millis(1000)};
  Router m_router{"b"};
};

TEST_F(SharesTest, Decide_BeyondTheShare_IsOverloadedWithoutAToken) {
  const Result<Dispatch> First = decide();
  const Result<Dispatch> Second = decide();
  ASSERT_TRUE(First && Second);
  EXPECT_NE(First.value().server().m_name, Second.value().server().m_name);
  EXPECT_EQ(decide().error(), RouteErrc::Overloaded);
}

TEST_F(SharesTest, Decide_BeyondTheShare_BorrowsForATokenEach) {
  RetryBudget &Budget = m_router.findRoutes("find")->m_load->m_budget;
  for (int I = 0; I < 20; ++I)
    Budget.noteRequest();
  std::vector<Dispatch> Running;
  for (int I = 0; I < 4; ++I) {
    Running.push_back(decide().value());
    EXPECT_EQ(Running.back().isBorrowed(), I >= 2);
  }
  EXPECT_EQ(decide().error(), RouteErrc::Overloaded);
  EXPECT_FALSE(Budget.take());
}

TEST_F(SharesTest, Decide_WithAllSlotsInUse_KeepsItsToken) {
  RetryBudget &Budget = m_router.findRoutes("find")->m_load->m_budget;
  for (int I = 0; I < 50; ++I)
    Budget.noteRequest();
  std::vector<Dispatch> Running;
  for (int I = 0; I < 6; ++I)
    Running.push_back(decide().value());
  EXPECT_EQ(decide().error(), RouteErrc::Overloaded);
  EXPECT_TRUE(Budget.take());
  EXPECT_FALSE(Budget.take());
}

} // namespace
} // namespace tamarackdrum

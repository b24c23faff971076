#include "fault-schedule.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>

namespace tamarackdrum::soak {
namespace {

TEST(FaultScheduleTest, Make_SameSeed_SameEvents) {
  EXPECT_EQ(makeSchedule({.m_seed = 7}), makeSchedule({.m_seed = 7}));
  EXPECT_NE(makeSchedule({.m_seed = 7}), makeSchedule({.m_seed = 8}));
}

TEST(FaultScheduleTest, Make_ManySeeds_AllKindsAreDrawn) {
  std::set<FaultKind> Kinds;
  for (std::uint64_t Seed = 1; Seed <= 50; ++Seed)
    for (const FaultEvent &Item : makeSchedule({.m_seed = Seed}))
      Kinds.insert(Item.m_kind);
  EXPECT_EQ(Kinds.size(), static_cast<std::size_t>(FaultKindCount));
}

TEST(FaultScheduleTest, Make_ManySeeds_FaultsOverlap) {
  unsigned Overlaps = 0;
  for (std::uint64_t Seed = 1; Seed <= 20; ++Seed) {
    const std::vector<FaultEvent> Events = makeSchedule({.m_seed = Seed});
    for (std::size_t I = 1; I < Events.size(); ++I)
      if (Events[I - 1].m_at + Events[I - 1].m_duration > Events[I].m_at)
        ++Overlaps;
  }
  EXPECT_GT(Overlaps, 20U);
}

TEST(FaultScheduleTest, Make_Events_LieBetweenFromAndTo) {
  const ScheduleOptions Subject{.m_seed = 3};
  for (const FaultEvent &Item : makeSchedule(Subject)) {
    EXPECT_GE(Item.m_at, Subject.m_from);
    EXPECT_LE(Item.m_at + Item.m_duration, Subject.m_to);
    EXPECT_LT(Item.m_target,
              std::max(Subject.m_hostCount, Subject.m_serverCount));
  }
}

TEST(FaultScheduleTest, Make_PlannedOnly_NothingUnplanned) {
  for (const FaultEvent &Item : makeSchedule({.m_isPlannedOnly = true}))
    EXPECT_TRUE(isPlanned(Item.m_kind)) << toText(Item.m_kind);
}

} // namespace
} // namespace tamarackdrum::soak

#include "tamarackdrum/gateway/key-map.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace tamarackdrum::gateway {
namespace {

TEST(KeyMapTest, HolderOf_RangeEnds_AreIncluded) {
  const KeyMap Subject(1, {{0, 99, "a"}, {100, 65535, "b"}});
  EXPECT_EQ(Subject.holderOf(99), "a");
  EXPECT_EQ(Subject.holderOf(100), "b");
  EXPECT_EQ(Subject.holderOf(65535), "b");
  EXPECT_EQ(KeyMap().holderOf(0), "");
}

TEST(KeyLoadTest, Rate_ArrivalsEnd_DecaysToZero) {
  KeyLoad Subject(Millis(1000));
  TimePoint Now{std::chrono::seconds(100)};
  for (int I = 0; I < 100; ++I, Now += Millis(100))
    Subject.countArrival(7, Now);
  EXPECT_NEAR(Subject.rate(0, 65535, Now), 10, 1.5);
  EXPECT_DOUBLE_EQ(Subject.rate(8, 65535, Now), 0);
  EXPECT_LT(Subject.rate(7, 7, Now + Millis(5000)), 0.1);
}

/// Returns a map with up to 12 ranges, some without a holder.
KeyMap arbitraryMap(std::uint64_t Version) {
  std::vector<KeyRange> Ranges;
  std::uint32_t From = 0;
  while (From < KeyCount) {
    const std::uint32_t Width = *rc::gen::inRange<std::uint32_t>(1, 20000);
    const std::uint32_t End =
        Ranges.size() == 11 ? KeyCount : std::min(KeyCount, From + Width);
    const std::string Server =
        *rc::gen::elementOf(std::vector<std::string>{"", "a", "b", "c"});
    Ranges.push_back(
        {static_cast<Key>(From), static_cast<Key>(End - 1), Server});
    From = End;
  }
  return KeyMap(Version, std::move(Ranges));
}

RC_GTEST_PROP(KeyMapUpdateTest, ApplyUpdate_BetweenTwoMaps_ReturnsTheSecond,
              ()) {
  const KeyMap Old = arbitraryMap(1);
  const KeyMap Next = arbitraryMap(2);
  const std::optional<KeyMap> Result =
      applyUpdate(Old, updateBetween(Old, Next));
  RC_ASSERT(Result.has_value());
  RC_ASSERT(Result->version() == 2U);
  for (const KeyMap *Map : {&Old, &Next})
    for (const KeyRange &Item : Map->ranges()) {
      RC_ASSERT(Result->holderOf(Item.m_from) == Next.holderOf(Item.m_from));
      RC_ASSERT(Result->holderOf(Item.m_to) == Next.holderOf(Item.m_to));
    }
}

TEST(KeyMapUpdateTest, UpdateBetween_OneRangeMoves_ListsOnlyThatRange) {
  const KeyMap Old(4, {{0, 99, "a"}, {100, 65535, "b"}});
  const KeyMap Next(5, {{0, 49, "a"}, {50, 99, "c"}, {100, 65535, "b"}});
  const KeyMapUpdate Result = updateBetween(Old, Next);
  EXPECT_EQ(Result, (KeyMapUpdate{4, 5, {{50, 99, "c"}}}));
}

// Maps with version 0 differ between hosts, so no update may be based on them.
TEST(KeyMapUpdateTest, UpdateBetween_OldVersionIsZero_IsFullUpdate) {
  const KeyMap Old(0, {{0, 65535, "a"}});
  const KeyMap Next(5, {{0, 49, "a"}, {50, 65535, "c"}});
  EXPECT_EQ(updateBetween(Old, Next), fullUpdate(Next));
}

TEST(KeyMapUpdateTest, ApplyUpdate_OtherBaseVersion_ReturnsNothing) {
  const KeyMap Old(3, {{0, 65535, "a"}});
  EXPECT_EQ(applyUpdate(Old, {4, 5, {{50, 99, "c"}}}), std::nullopt);
}

} // namespace
} // namespace tamarackdrum::gateway

#include "tamarackdrum/gateway/key-placement.h"

#include <gtest/gtest.h>

namespace tamarackdrum::gateway {
namespace {

class KeyPlacementTest : public testing::Test {
protected:
  std::vector<KeyMove> plan() const {
    return planKeyMoves(m_ranges, m_capacity, m_rates, m_policy);
  }

  PlacementPolicy m_policy;
  std::vector<PlacedRange> m_ranges{{{0, 32767, "a"}, true},
                                    {{32768, 65535, "b"}, true}};
  std::map<std::string, double> m_capacity{{"a", 10}, {"b", 10}};
  std::vector<KeyRate> m_rates;
};

TEST_F(KeyPlacementTest, Plan_NoHolders_DistributesKeysByCapacity) {
  m_ranges = {{{0, 65535, ""}, true}};
  m_capacity = {{"a", 10}, {"b", 30}};
  const std::vector<KeyMove> Moves = plan();
  ASSERT_EQ(Moves.size(), 2U);
  EXPECT_EQ(Moves[0], (KeyMove{0, 16383, "a"}));
  EXPECT_EQ(Moves[1], (KeyMove{16384, 65535, "b"}));
}

TEST_F(KeyPlacementTest, Plan_NoServers_MovesNothing) {
  m_capacity.clear();
  EXPECT_TRUE(plan().empty());
}

TEST_F(KeyPlacementTest, Plan_EvenLoad_MovesNothing) {
  m_rates = {{100, 4}, {40000, 4}};
  EXPECT_TRUE(plan().empty());
}

// Adjacent keys get most of the traffic.
TEST_F(KeyPlacementTest, Plan_HotAdjacentKeys_MovesNarrowRange) {
  for (Key I = 0; I < 60; ++I)
    m_rates.push_back({static_cast<Key>(1000 + I), 0.3});
  const std::vector<KeyMove> Moves = plan();
  ASSERT_FALSE(Moves.empty());
  EXPECT_EQ(Moves[0].m_target, "b");
  EXPECT_GE(Moves[0].m_from, 1000);
  EXPECT_LT(Moves[0].m_to - Moves[0].m_from, 60);
}

TEST_F(KeyPlacementTest, Plan_OneKeyHasAllLoad_MovesNothing) {
  m_rates = {{1000, 18}};
  EXPECT_TRUE(plan().empty());
}

// One key alone overloads a server, and another server has too many keys.
TEST_F(KeyPlacementTest, Plan_BusiestHasOneHotKey_MovesKeysOfNextBusiest) {
  m_capacity = {{"a", 10}, {"b", 10}, {"c", 10}};
  m_ranges.push_back({{60000, 65535, "c"}, true});
  m_ranges[1].m_keys.m_to = 59999;
  m_rates = {{1000, 20}, {40000, 4}, {40010, 4}, {40020, 4}, {60000, 1}};
  const std::vector<KeyMove> Moves = plan();
  ASSERT_FALSE(Moves.empty());
  EXPECT_GE(Moves[0].m_from, 40000);
  EXPECT_LE(Moves[0].m_to, 40020);
  EXPECT_EQ(Moves[0].m_target, "c");
}

/// Server "a" is overloaded by many short ranges; server "b" holds one range.
class FragmentedRangesTest : public KeyPlacementTest {
protected:
  FragmentedRangesTest() {
    m_capacity["b"] = 30;
    m_ranges.clear();
    for (Key I = 0; I < 20; ++I) {
      const Key From = static_cast<Key>(1000 * I);
      m_ranges.push_back({{From, static_cast<Key>(From + 999), "a"}, true});
      m_rates.push_back({From, 1.5});
    }
    m_ranges.push_back({{20000, 65535, "b"}, true});
  }

  void setOtherLoad(double Rate) { m_rates.push_back({60000, Rate}); }
};

// Each former hot key leaves a short range behind, and rejected clients retry.
// No part of a range then carries half of the excess load. If whole ranges did
// not move, the other server would stay idle for the rest of the day.
TEST_F(FragmentedRangesTest, Plan_OtherServerNearlyIdle_MovesOneWholeRange) {
  setOtherLoad(1);
  const std::vector<KeyMove> Moves = plan();
  ASSERT_EQ(Moves.size(), 1U);
  EXPECT_EQ(Moves[0].m_target, "b");
  EXPECT_EQ(Moves[0].m_to - Moves[0].m_from, 999);
}

// Each move makes its keys unavailable for a moment, so a small gain does not
// justify one.
TEST_F(FragmentedRangesTest, Plan_OtherServerNotIdle_MovesNothing) {
  setOtherLoad(12);
  EXPECT_TRUE(plan().empty());
}

TEST_F(KeyPlacementTest, Plan_MaxRanges_MovesOnlyWholeRanges) {
  const auto Count = static_cast<std::uint32_t>(m_policy.m_maxRanges);
  m_ranges.clear();
  for (std::uint32_t I = 0; I < Count; ++I) {
    const auto From = static_cast<Key>(KeyCount * I / Count);
    const auto To = static_cast<Key>(KeyCount * (I + 1) / Count - 1);
    m_ranges.push_back({{From, To, I < Count / 2 ? "a" : "b"}, true});
    if (I < 10)
      m_rates.push_back({From, 1.5});
  }
  const std::vector<KeyMove> Moves = plan();
  EXPECT_FALSE(Moves.empty());
  for (const KeyMove &Move : Moves)
    EXPECT_EQ(std::count_if(m_ranges.begin(), m_ranges.end(),
                            [&Move](const PlacedRange &Range) {
                              return Range.m_keys.m_from == Move.m_from &&
                                     Range.m_keys.m_to == Move.m_to;
                            }),
              1);
}

TEST_F(KeyPlacementTest, Plan_MaxRangesAndHolderGone_SplitsNoRange) {
  const auto Count = static_cast<std::uint32_t>(m_policy.m_maxRanges);
  m_ranges.clear();
  for (std::uint32_t I = 0; I < Count; ++I)
    m_ranges.push_back(
        {{static_cast<Key>(KeyCount * I / Count),
          static_cast<Key>(KeyCount * (I + 1) / Count - 1), I < 10 ? "" : "b"},
         true});
  EXPECT_EQ(plan().size(), 10U);
}

TEST_F(KeyPlacementTest, Plan_HolderGone_AssignsItsKeys) {
  m_capacity = {{"b", 10}, {"c", 10}};
  m_ranges[0].m_keys.m_server = "";
  std::uint32_t Moved = 0;
  for (const KeyMove &Move : plan())
    if (Move.m_to < 32768)
      Moved += Move.m_to - Move.m_from + 1;
  EXPECT_EQ(Moved, 32768U);
}

TEST_F(KeyPlacementTest, Plan_EmptyServerJoins_GetsKeys) {
  m_capacity["c"] = 10;
  m_rates = {{100, 1}, {200, 1}, {40000, 1}, {50000, 1}};
  bool HasKeys = false;
  for (const KeyMove &Move : plan())
    HasKeys = HasKeys || Move.m_target == "c";
  EXPECT_TRUE(HasKeys);
}

/// 30 servers with equal parts of the keys; 200 adjacent keys of one of them
/// get a load that 12 servers could serve, besides an even load of a quarter of
/// what all servers can serve.
class HotWindowTest : public KeyPlacementTest {
protected:
  static constexpr unsigned Servers = 30;
  static constexpr double PerSecond = 25; ///< Capacity of a server.
  /// Rounds of 200 ms for which a range that moves cannot move again.
  static constexpr int MoveRounds = 4;

  HotWindowTest() {
    m_ranges.clear();
    m_capacity.clear();
    std::map<Key, double> ByKey;
    for (unsigned I = 0; I < Servers; ++I) {
      const auto From = static_cast<Key>(KeyCount * I / Servers);
      const auto To = static_cast<Key>(KeyCount * (I + 1) / Servers - 1);
      const std::string Name = "server-" + std::to_string(I);
      m_capacity[Name] = PerSecond;
      m_ranges.push_back({{From, To, Name}, true});
      for (unsigned J = 0; J < 10; ++J)
        ByKey[static_cast<Key>(From + 200 * J)] = PerSecond * 0.025;
    }
    for (Key I = 0; I < 200; ++I)
      ByKey[static_cast<Key>(20000 + I)] += 12 * PerSecond / 200;
    for (const auto &[Value, Rate] : ByKey)
      m_rates.push_back({Value, Rate});
  }

  /// Plans a round and applies its moves.
  void playRound(int Round) {
    for (std::size_t I = 0; I < m_ranges.size(); ++I)
      m_ranges[I].m_canMove = m_movableFrom[m_ranges[I].m_keys.m_from] <= Round;
    for (const KeyMove &Move : plan()) {
      ++m_moves;
      std::vector<PlacedRange> Next;
      for (const PlacedRange &Range : m_ranges) {
        const KeyRange &Keys = Range.m_keys;
        if (Move.m_to < Keys.m_from || Move.m_from > Keys.m_to) {
          Next.push_back(Range);
          continue;
        }
        const int MovableFrom = m_movableFrom[Keys.m_from];
        if (Keys.m_from < Move.m_from)
          Next.push_back(
              {{Keys.m_from, static_cast<Key>(Move.m_from - 1), Keys.m_server},
               true});
        Next.push_back({{Move.m_from, Move.m_to, Move.m_target}, true});
        m_movableFrom[Move.m_from] = Round + MoveRounds;
        if (Keys.m_to > Move.m_to) {
          Next.push_back(
              {{static_cast<Key>(Move.m_to + 1), Keys.m_to, Keys.m_server},
               true});
          m_movableFrom[static_cast<Key>(Move.m_to + 1)] = MovableFrom;
        }
      }
      m_ranges = Next;
    }
  }

  /// Returns the highest load of a server as a fraction of its capacity.
  double highestUtilization() const {
    std::map<std::string, double> Loads;
    for (const PlacedRange &Range : m_ranges)
      for (const KeyRate &Item : m_rates)
        if (Range.m_keys.m_from <= Item.m_key &&
            Item.m_key <= Range.m_keys.m_to)
          Loads[Range.m_keys.m_server] += Item.m_rate / PerSecond;
    double Highest = 0;
    for (const auto &[Server, Load] : Loads)
      Highest = std::max(Highest, Load);
    return Highest;
  }

  std::string holderOf(Key Value) const {
    for (const PlacedRange &Range : m_ranges)
      if (Range.m_keys.m_from <= Value && Value <= Range.m_keys.m_to)
        return Range.m_keys.m_server;
    return {};
  }

  std::map<Key, int> m_movableFrom; ///< Round, by the first key of a range.
  std::size_t m_moves = 0;
};

// Halving the load with each move would leave servers overloaded for as long
// as such a demand lasts, some seconds.
TEST_F(HotWindowTest, Plan_DemandOfManyServers_IsSpreadWithinOneSecond) {
  for (int Round = 0; Round < 5; ++Round)
    playRound(Round);
  EXPECT_LE(highestUtilization(), 1.0);
  EXPECT_LE(m_moves, 3 * Servers);
}

// The requests for the neighbours of a hot key would miss their objective for
// as long as the key is hot.
TEST_F(HotWindowTest, Plan_OneKeyFillsItsServer_NeighboursMoveAway) {
  m_rates.clear();
  for (Key I = 0; I < 40; ++I)
    m_rates.push_back({static_cast<Key>(20000 + I),
                       I == 20 ? 3 * PerSecond : PerSecond * 0.02});
  for (int Round = 0; Round < 5; ++Round)
    playRound(Round);
  double Beside = 0;
  for (const PlacedRange &Range : m_ranges)
    if (Range.m_keys.m_server == holderOf(20020))
      for (const KeyRate &Item : m_rates)
        if (Item.m_key != 20020 && Range.m_keys.m_from <= Item.m_key &&
            Item.m_key <= Range.m_keys.m_to)
          Beside += Item.m_rate;
  EXPECT_LE(Beside, PerSecond * 0.1);
  EXPECT_LE(m_moves, 6U);
}

// Small differences in steady load must leave ranges for a demand that comes
// later; without any, a hot range could not be split.
TEST_F(HotWindowTest, Plan_ManyRanges_HotRangeIsStillSplit) {
  m_policy.m_maxRanges = std::size_t{4} * Servers;
  m_policy.m_ordinaryRangeShare = 0.25;
  for (int Round = 0; Round < 10; ++Round)
    playRound(Round);
  EXPECT_LE(highestUtilization(), 1.0);
}

// Equal numbers of keys would overload the servers that get the busy ones.
TEST_F(HotWindowTest, Plan_NoHolders_FirstDistributionUsesDemand) {
  m_ranges = {{{0, 65535, ""}, true}};
  playRound(0);
  EXPECT_LE(highestUtilization(), 1.0);
}

TEST_F(HotWindowTest, Plan_HotRangeLosesItsServer_IsSplitByLoad) {
  for (PlacedRange &Range : m_ranges)
    if (Range.m_keys.m_server == holderOf(20020))
      Range.m_keys.m_server.clear();
  for (int Round = 0; Round < 5; ++Round)
    playRound(Round);
  EXPECT_LE(highestUtilization(), 1.0);
}

TEST_F(KeyPlacementTest, Plan_RangesCannotMoveUnderLoad_NamesTheReason) {
  for (Key I = 0; I < 60; ++I)
    m_rates.push_back({I, 0.3});
  for (PlacedRange &Range : m_ranges)
    Range.m_canMove = false;
  EXPECT_EQ(planPlacement(m_ranges, m_capacity, m_rates, m_policy).m_limit,
            PlacementLimit::NoPart);
}

TEST_F(KeyPlacementTest, Plan_RangesCannotMove_MovesNothing) {
  for (PlacedRange &Range : m_ranges)
    Range.m_canMove = false;
  m_rates = {{100, 9}, {200, 9}};
  EXPECT_TRUE(plan().empty());
}

} // namespace
} // namespace tamarackdrum::gateway

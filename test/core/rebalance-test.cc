#include "tamarackdrum/rebalance.h"

#include "tamarackdrum/planner.h"
#include "tamarackdrum/routing.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace tamarackdrum {
namespace {

constexpr std::uint64_t HotHash = 7;     // In slice 0.
constexpr std::uint64_t OtherHash = ~0U; // In slice 0, too.

View makeView(std::size_t Servers, Preference Choice) {
  View Out;
  Out.m_generation = 1;
  ClassTarget Stock;
  Stock.m_name = "stock";
  Stock.m_keyed = true;
  Stock.m_preference = Choice;
  Out.m_classes.push_back(Stock);
  for (std::size_t I = 0; I < Servers; ++I)
    Out.m_servers.push_back(
        {"s" + std::to_string(100 + I), "stock", "127.0.0.1:1"});
  return assignSlices(Out);
}

/// Loads of a class whose keys other than the hot one are all alike.
ClassLoads loadsOf(const View &Current, std::uint64_t Hot) {
  SliceLoads Out{"stock", std::vector<std::uint64_t>(SlicesPerClass, 100), {}};
  if (Current.m_assignments[0].m_hotKeys.empty())
    Out.m_slices[0] += Hot;
  Out.m_keys.push_back({HotHash, Hot});
  return {Out};
}

/// Runs windows of one load; counts changes of owner.
class BalanceTest : public ::testing::Test {
protected:
  void run(unsigned Windows, std::uint64_t Hot) {
    for (unsigned I = 0; I < Windows; ++I)
      step(loadsOf(m_view, Hot));
  }

  void step(const ClassLoads &Loads) {
    m_state = observeLoads(m_state, m_view, Loads, m_policies);
    const std::optional<View> Next = rebalance(
        nextGeneration(m_view, "e", "op"), Loads, m_state, m_policies);
    if (!Next)
      return;
    m_moves += countMoves(m_view, *Next);
    m_view = *Next;
    m_state.clear();
  }

  const ClassAssignment &assignment() const { return m_view.m_assignments[0]; }

  BalancePolicies m_policies;
  View m_view = makeView(8, Preference::Availability);
  BalanceState m_state;
  std::size_t m_moves = 0;
};

TEST_F(BalanceTest, EvenLoad_ForManyWindows_ChangesNothing) {
  run(50, 100);
  EXPECT_EQ(m_view.m_generation, 1U);
}

TEST_F(BalanceTest, Blips_ShorterThanTheWindows_ChangeNothing) {
  for (int I = 0; I < 20; ++I) {
    run(m_policies.m_availability.m_windows - 1, 20000);
    run(1, 100);
  }
  EXPECT_EQ(m_view.m_generation, 1U);
}

TEST_F(BalanceTest, HotKey_OnIsolation_KeepsOwnerAndEpoch) {
  const SliceRecord Before = assignment().m_slices[0];
  m_policies.m_availability.m_maxMoves = 0;
  run(m_policies.m_availability.m_windows, 2000);
  ASSERT_EQ(assignment().m_hotKeys.size(), 1U);
  EXPECT_EQ(assignment().m_hotKeys[0].m_slice, Before);
  EXPECT_EQ(m_moves, 0U);
}

TEST_F(BalanceTest, HotKey_WhenCooled_ReturnsToItsSlice) {
  run(30, 4000);
  ASSERT_EQ(assignment().m_hotKeys.size(), 1U);
  EXPECT_LT(loadImbalance(m_view, loadsOf(m_view, 4000)[0]), 1.26);
  const Epoch Isolated = assignment().m_hotKeys[0].m_slice.m_epoch;
  run(20, 10);
  EXPECT_TRUE(assignment().m_hotKeys.empty());
  EXPECT_GE(assignment().m_slices[0].m_epoch, Isolated);
}

TEST_F(BalanceTest, Preference_ForStability_MovesLess) {
  run(30, 2500);
  const std::size_t AvailabilityMoves = m_moves;
  m_view = makeView(8, Preference::Stability);
  m_moves = 0;
  run(30, 2500);
  EXPECT_GT(AvailabilityMoves, m_moves);
}

TEST_F(BalanceTest, LoadBasedMoves_AfterAnUnrelatedChange_Stay) {
  run(20, 4000);
  ASSERT_GT(m_moves, 0U);
  const View Next = assignSlices(nextGeneration(m_view, "e", "op"));
  EXPECT_EQ(countMoves(m_view, Next), 0U);
}

/// A key has one slice at a time; its epoch never falls and grows with each
/// change of its owner, through isolation, moves, losses and return.
RC_GTEST_PROP(BalanceProperty, Epoch_OfAnyKey_GrowsWithItsOwner, ()) {
  View Current = makeView(4, Preference::Availability);
  BalancePolicies Policies;
  Policies.m_availability.m_windows = 1;
  BalanceState State;
  const std::vector<int> Steps =
      *rc::gen::container<std::vector<int>>(40, rc::gen::inRange(0, 12));
  for (const int Step : Steps) {
    View Next = nextGeneration(Current, "e", "op");
    if (Step < 4) {
      ServerRecord &Server = Next.m_servers[static_cast<std::size_t>(Step)];
      Server.m_suspended = !Server.m_suspended;
      Next = assignSlices(Next);
    } else {
      const ClassLoads Loads = loadsOf(Current, Step < 9 ? 9000 : 1);
      State = observeLoads(State, Current, Loads, Policies);
      Next = rebalance(Next, Loads, State, Policies).value_or(Current);
    }
    for (const std::uint64_t Hash : {HotHash, OtherHash}) {
      const SliceRecord &Before = findSlice(Current.m_assignments[0], Hash);
      const SliceRecord &After = findSlice(Next.m_assignments[0], Hash);
      RC_ASSERT(After.m_epoch >= Before.m_epoch);
      RC_ASSERT(After.m_since >= Before.m_since);
      if (After.m_owner != Before.m_owner) {
        RC_ASSERT(After.m_epoch > Before.m_epoch);
        RC_ASSERT(After.m_since == Next.m_generation);
      }
    }
    Current = Next;
  }
}

TEST(AddLoadsTest, Reports_OfTwoProcesses_AreSummed) {
  ClassLoads Sum{{"stock", {1, 2}, {{7, 1}}}};
  addLoads(Sum, {{"stock", {3, 4}, {{7, 2}}}, {"status", {1}, {}}});
  EXPECT_EQ(Sum[0].m_slices, (std::vector<std::uint64_t>{4, 6}));
  EXPECT_EQ(Sum.size(), 2U);
}

/// Finds a key in slice 0.
std::string keyOfFirstSlice() {
  for (int I = 0;; ++I)
    if (sliceIndex(hashKey(std::to_string(I)), SlicesPerClass) == 0)
      return std::to_string(I);
}

TEST(HotKeyRoutingTest, DispatchBeforeIsolation_IsAwaitedByALaterMove) {
  const std::string Key = keyOfFirstSlice();
  const TimePoint Now{Millis(1000)};
  Router Routes;
  View Current = makeView(2, Preference::Availability);
  Routes.install(Current);
  Routes.setLease(Now + Millis(600), 1);
  Result<Dispatch> Running = Routes.decide({"stock", Key}, Now);
  ASSERT_TRUE(Running.has_value());
  Current.m_generation = 2;
  ClassAssignment &Assignment = Current.m_assignments[0];
  Assignment.m_hotKeys.push_back({hashKey(Key), Assignment.m_slices[0]});
  Routes.install(Current);
  Current.m_generation = 3;
  SliceRecord &Slice = Assignment.m_hotKeys[0].m_slice;
  Slice = {Slice.m_owner == "s100" ? "s101" : "s100", Slice.m_epoch + 1, 3};
  Routes.install(Current);
  EXPECT_LT(Routes.drainedGeneration(), 3U);
  Running.value().complete();
  EXPECT_EQ(Routes.drainedGeneration(), 3U);
}

} // namespace
} // namespace tamarackdrum

#include "tamarackdrum/routing.h"

#include "tamarackdrum/declaration.h"
#include "tamarackdrum/error.h"
#include "tamarackdrum/planner.h"

#include <gtest/gtest.h>

namespace tamarackdrum {
namespace {

/// A keyed class of two servers at generation 1.
class RouterTest : public testing::Test {
protected:
  RouterTest() {
    View First;
    First.m_generation = 1;
    ClassTarget Stock;
    Stock.m_name = "stock";
    Stock.m_keyed = true;
    First.m_classes.push_back(Stock);
    First.m_servers.push_back({"s1", "stock", "127.0.0.1:1", Slots});
    First.m_servers.push_back({"s2", "stock", "127.0.0.1:2", Slots});
    m_view = assignSlices(First);
    m_router.install(m_view);
    m_router.setLease(m_now + Millis(600), 1);
  }

  View recall(const std::string &Server) {
    ServerChange Change;
    Change.m_servers.push_back({Server});
    Change.m_operation = "op";
    return assignSlices(
        applyServerChange(nextGeneration(m_view, "entry-1", "op"), Change)
            .value());
  }

  static constexpr unsigned Slots = 16;
  TimePoint m_now{Millis(1000)};
  View m_view;
  Router m_router;
};

TEST_F(RouterTest, Decide_WithLease_GrantsTheOwner) {
  Result<Dispatch> Granted = m_router.decide({"stock", "sheet-1"}, m_now);
  ASSERT_TRUE(Granted);
  const std::size_t Slice = sliceIndex(hashKey("sheet-1"), SlicesPerClass);
  EXPECT_EQ(Granted.value().server().m_name,
            m_view.m_assignments[0].m_slices[Slice].m_owner);
}

TEST_F(RouterTest, Decide_AfterLeaseEnd_IsRefused) {
  const Result<Dispatch> Granted =
      m_router.decide({"stock", "sheet-1"}, m_now + Millis(600));
  ASSERT_FALSE(Granted);
  EXPECT_EQ(Granted.error(), RouteErrc::NoLease);
}

TEST_F(RouterTest, Decide_WithoutKey_IsRefused) {
  EXPECT_EQ(m_router.decide({"stock", ""}, m_now).error(),
            RouteErrc::KeyMissing);
}

TEST_F(RouterTest, Decide_OfMovedSlice_WaitsUntilSettled) {
  const View Next = recall("s1");
  m_router.install(Next);
  std::string Moved;
  for (int I = 0; Moved.empty(); ++I) {
    const std::string Key = "sheet-" + std::to_string(I);
    const std::size_t Slice = sliceIndex(hashKey(Key), SlicesPerClass);
    if (m_view.m_assignments[0].m_slices[Slice].m_owner == "s1")
      Moved = Key;
  }
  EXPECT_EQ(m_router.decide({"stock", Moved}, m_now).error(),
            RouteErrc::SliceMoving);
  m_router.setLease(m_now + Millis(600), 2);
  const Result<Dispatch> Granted = m_router.decide({"stock", Moved}, m_now);
  ASSERT_TRUE(Granted);
  EXPECT_EQ(Granted.value().server().m_name, "s2");
}

TEST_F(RouterTest, Drained_WhileMovedSliceIsInFlight_StaysAtOldGeneration) {
  std::vector<Dispatch> Running;
  for (int I = 0; I < 16; ++I)
    Running.push_back(
        m_router.decide({"stock", "sheet-" + std::to_string(I)}, m_now)
            .value());
  m_router.install(recall("s1"));
  EXPECT_EQ(m_router.drainedGeneration(), 1U);
  for (Dispatch &One : Running)
    One.complete();
  EXPECT_EQ(m_router.drainedGeneration(), 2U);
}

TEST_F(RouterTest, Decide_OverTheSlots_IsOverloadedUntilOneEnds) {
  std::vector<Dispatch> Running;
  for (unsigned I = 0; I < Slots; ++I)
    Running.push_back(m_router.decide({"stock", "sheet-1"}, m_now).value());
  EXPECT_EQ(m_router.decide({"stock", "sheet-1"}, m_now).error(),
            RouteErrc::Overloaded);
  Running.back().abandon();
  EXPECT_TRUE(m_router.decide({"stock", "sheet-1"}, m_now));
}

TEST_F(RouterTest, Decide_AfterARefusal_RestsForAMoment) {
  Result<Dispatch> Granted = m_router.decide({"stock", "sheet-1"}, m_now);
  Granted.value().noteRefusal(m_now);
  Granted.value().complete();
  EXPECT_EQ(m_router.decide({"stock", "sheet-1"}, m_now).error(),
            RouteErrc::Overloaded);
  EXPECT_TRUE(m_router.decide({"stock", "sheet-1"}, m_now + Millis(5)));
}

TEST_F(RouterTest, Abandoned_UntilDeadlineAndSkew_CountsAsInFlight) {
  Result<Dispatch> Granted = m_router.decide({"stock", "sheet-1"}, m_now);
  const TimePoint Deadline = Granted.value().deadline();
  Granted.value().abandon();
  m_router.releaseExpired(Deadline + Millis(99), Millis(100));
  EXPECT_EQ(m_router.inFlight(), 1);
  m_router.releaseExpired(Deadline + Millis(100), Millis(100));
  EXPECT_EQ(m_router.inFlight(), 0);
}

TEST_F(RouterTest, Drained_AfterSkippedView_IsTheViewThatGrantedTheDispatch) {
  const Result<Dispatch> Granted = m_router.decide({"stock", "a", {}}, m_now);
  ASSERT_TRUE(Granted);
  const View Moved = recall(Granted.value().server().m_name);
  m_router.install(nextGeneration(Moved, "entry-1", "other"));
  EXPECT_EQ(m_router.drainedGeneration(), 1U);
}

} // namespace
} // namespace tamarackdrum

#include "tamarackdrum/planner.h"

#include "tamarackdrum/declaration.h"
#include "tamarackdrum/error.h"
#include "tamarackdrum/view-json.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace tamarackdrum {
namespace {

View makeView(std::size_t Servers) {
  View Out;
  Out.m_generation = 1;
  ClassTarget Stock;
  Stock.m_name = "stock";
  Stock.m_keyed = true;
  Out.m_classes.push_back(Stock);
  for (std::size_t I = 0; I < Servers; ++I)
    Out.m_servers.push_back(
        {"s" + std::to_string(100 + I), "stock", "127.0.0.1:1"});
  return assignSlices(Out);
}

View apply(const View &Current, ServerAction Action, const std::string &Name) {
  ServerChange Change;
  Change.m_action = Action;
  Change.m_servers.push_back({Name, "stock", "127.0.0.1:1"});
  Change.m_operation = "op-" + std::to_string(Current.m_generation);
  const Result<View> Changed = applyServerChange(
      nextGeneration(Current, "e", Change.m_operation), Change);
  return Changed ? assignSlices(Changed.value()) : Current;
}

RC_GTEST_PROP(PlannerProperty, ChangesOfServers_MoveAtMostTheirShare, ()) {
  const std::size_t Servers = *rc::gen::inRange<std::size_t>(2, 14);
  View Current = makeView(Servers);
  const std::vector<int> Steps =
      *rc::gen::container<std::vector<int>>(12, rc::gen::inRange(0, 42));
  for (const int Step : Steps) {
    const std::string Name = "s" + std::to_string(100 + Step / 3);
    const ServerAction Action = Step % 3 == 0   ? ServerAction::Recall
                                : Step % 3 == 1 ? ServerAction::Restore
                                                : ServerAction::Join;
    const View Next = apply(Current, Action, Name);
    std::size_t Eligible = 0;
    for (const ServerRecord &Server : Next.m_servers)
      Eligible += takesWork(Server) ? 1 : 0;
    std::size_t Before = 0;
    for (const ServerRecord &Server : Current.m_servers)
      Before += takesWork(Server) ? 1 : 0;
    const std::size_t Smaller =
        std::max<std::size_t>(1, std::min(Before, Eligible));
    RC_ASSERT(countMoves(Current, Next) <= SlicesPerClass / Smaller + Smaller);
    for (const SliceRecord &Slice : Next.m_assignments[0].m_slices)
      RC_ASSERT(takesWork(*findServer(Next, Slice.m_owner)));
    Current = Next;
  }
}

RC_GTEST_PROP(ViewJsonProperty, View_ThroughJson_IsUnchanged, ()) {
  const View Before = makeView(*rc::gen::inRange<std::size_t>(0, 20));
  const Result<View> After =
      viewFromJson(parseJson(toText(toJson(Before))).value());
  RC_ASSERT(After.has_value());
  RC_ASSERT(After.value() == Before);
}

TEST(DeclarationTest, Recall_OfLastServer_IsRefused) {
  const View Current = makeView(1);
  ServerChange Change;
  Change.m_servers.push_back({"s100"});
  Change.m_operation = "op";
  EXPECT_EQ(
      applyServerChange(nextGeneration(Current, "e", "op"), Change).error(),
      ChangeErrc::EmptiesClass);
}

TEST(DeclarationTest, Restore_BasedOnStateBeforeRecall_IsSuperseded) {
  const View Recalled = apply(makeView(3), ServerAction::Recall, "s101");
  ServerChange Change;
  Change.m_action = ServerAction::Restore;
  Change.m_servers.push_back({"s101"});
  Change.m_operation = "op";
  Change.m_basedOn = 1;
  EXPECT_EQ(
      applyServerChange(nextGeneration(Recalled, "e", "op"), Change).error(),
      ChangeErrc::Superseded);
}

} // namespace
} // namespace tamarackdrum

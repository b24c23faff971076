#include "tamarackdrum/group-change.h"

#include "tamarackdrum/error.h"
#include "tamarackdrum/planner.h"
#include "tamarackdrum/view-lease.h"

#include <gtest/gtest.h>

namespace tamarackdrum {
namespace {

Member makeMember(int Index) {
  return {"entry-" + std::to_string(Index), "address-" + std::to_string(Index),
          "zone"};
}

/// A settled group of three at generation 1.
class GroupChangeTest : public testing::Test {
protected:
  GroupChangeTest() {
    m_first.m_generation = 1;
    for (int I = 0; I < 3; ++I)
      m_first.m_members.push_back(makeMember(I));
  }

  View next(const View &Current) const {
    return nextGeneration(Current, "entry-0", "op");
  }

  ViewLease makeLease(int Index) const {
    const Member Self = makeMember(Index);
    return {Self.m_name, 1, m_timing, TimePoint{}, Self.m_address};
  }

  const LeaseTiming m_timing;
  const TimePoint m_now{Millis(100000)};
  View m_first;
};

TEST_F(GroupChangeTest, Add_KeepsOldGroupAsOutgoing) {
  const Result<View> Changed = addMember(next(m_first), makeMember(3));
  ASSERT_TRUE(Changed);
  EXPECT_EQ(Changed.value().m_members.size(), 4U);
  EXPECT_EQ(Changed.value().m_outgoing, m_first.m_members);
  EXPECT_EQ(Changed.value().m_groupChangedAt, 2U);
}

TEST_F(GroupChangeTest, SecondChange_BeforeSettled_IsRefused) {
  const View Changed = addMember(next(m_first), makeMember(3)).value();
  EXPECT_EQ(addMember(next(Changed), makeMember(4)).error(),
            ChangeErrc::GroupChanging);
  EXPECT_TRUE(addMember(next(finishGroupChange(Changed)), makeMember(4)));
}

TEST_F(GroupChangeTest, Add_OfKnownNameElsewhere_RemovesTheOldOneFirst) {
  Member Moved = makeMember(1);
  Moved.m_address = "other";
  const View Changed = addMember(next(m_first), Moved).value();
  EXPECT_EQ(Changed.m_members.size(), 2U);
  EXPECT_FALSE(isMember(Changed.m_members, Moved));
}

TEST_F(GroupChangeTest, RemoveLost_OfMajority_LeavesThemOutOfOutgoing) {
  const View Changed =
      removeLostMembers(next(m_first), {"entry-1", "entry-2"}).value();
  EXPECT_EQ(Changed.m_members.size(), 1U);
  EXPECT_EQ(Changed.m_outgoing.size(), 1U);
}

TEST_F(GroupChangeTest, RemoveLost_OfEveryMember_IsRefused) {
  EXPECT_FALSE(
      removeLostMembers(next(m_first), {"entry-0", "entry-1", "entry-2"}));
}

TEST_F(GroupChangeTest, Lease_DuringChange_NeedsMajorityOfBothGroups) {
  // Old group 0..2; new group 0, 3, 4, 5, 6.
  View Joint = next(m_first);
  Joint.m_outgoing = m_first.m_members;
  Joint.m_members = {makeMember(0)};
  for (int I = 3; I < 7; ++I)
    Joint.m_members.push_back(makeMember(I));
  const ViewPtr Shared = std::make_shared<const View>(Joint);
  ViewLease Self = makeLease(0);
  Self.install(Shared, ViewSource::Table, m_now);
  const auto GrantOf = [&](int Index) {
    ViewLease Peer = makeLease(Index);
    Peer.install(Shared, ViewSource::Table, m_now);
    Self.onRenewReply(Peer.onRenew(Self.makeRenew(), m_now), 2, m_now, m_now);
  };
  GrantOf(3);
  GrantOf(4);
  EXPECT_FALSE(Self.mayDispatch(m_now));
  GrantOf(1);
  EXPECT_TRUE(Self.mayDispatch(m_now));
}

TEST_F(GroupChangeTest, RemovedMember_OnLearningIt_LosesItsLeaseAtOnce) {
  ViewLease Removed = makeLease(2);
  ViewLease Peer = makeLease(0);
  const ViewPtr Before = std::make_shared<const View>(m_first);
  for (ViewLease *One : {&Removed, &Peer})
    One->install(Before, ViewSource::Table, m_now);
  Removed.onRenewReply(Peer.onRenew(Removed.makeRenew(), m_now), 1, m_now,
                       m_now);
  ASSERT_TRUE(Removed.mayDispatch(m_now));
  const View Changed = removeMember(next(m_first), "entry-2").value();
  Removed.install(std::make_shared<const View>(Changed), ViewSource::Peer,
                  m_now);
  EXPECT_FALSE(Removed.mayDispatch(m_now));
}

} // namespace
} // namespace tamarackdrum

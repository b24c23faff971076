/// \file
/// Lease rules on a virtual clock, with messages carried by hand.

#include "tamarackdrum/view-lease.h"

#include <gtest/gtest.h>
#include <memory>

namespace tamarackdrum {
namespace {

View makeView(Generation Number, std::size_t Members) {
  View Out;
  Out.m_generation = Number;
  for (std::size_t I = 0; I < Members; ++I)
    Out.m_members.push_back({"entry-" + std::to_string(I), "", ""});
  return Out;
}

/// Three processes that all hold view 1 and have passed their quiet period.
class ViewLeaseTest : public testing::Test {
protected:
  ViewLeaseTest() {
    for (int I = 0; I < 3; ++I)
      m_hosts.emplace_back("entry-" + std::to_string(I), I + 1, m_timing,
                           m_now);
    for (ViewLease &Host : m_hosts)
      Host.install(m_first, ViewSource::Table, m_now);
    m_now += dispatchLapse(m_timing) + Millis(1);
    for (ViewLease &Host : m_hosts)
      Host.setDrained(1, m_now);
  }

  void renew(std::size_t From, std::size_t To) {
    m_now += Millis(1);
    const RenewRequest Request = m_hosts[From].makeRenew();
    const RenewReply Reply = m_hosts[To].onRenew(Request, m_now);
    m_hosts[From].onRenewReply(Reply, Request.m_generation, m_now, m_now);
  }

  ViewPtr installAt(std::size_t Host, Generation Number) {
    const ViewPtr Next = std::make_shared<const View>(makeView(Number, 3));
    m_hosts[Host].install(Next, ViewSource::Table, m_now);
    m_hosts[Host].setDrained(Number, m_now);
    return Next;
  }

  const LeaseTiming m_timing;
  TimePoint m_now{Millis(1000000)};
  const ViewPtr m_first = std::make_shared<const View>(makeView(1, 3));
  std::vector<ViewLease> m_hosts;
};

TEST_F(ViewLeaseTest, Lease_WithoutMajority_IsNotHeld) {
  m_hosts[0].tick(m_now);
  EXPECT_FALSE(m_hosts[0].mayDispatch(m_now));
}

TEST_F(ViewLeaseTest, Lease_AfterOneGrantOfThree_LastsLeaseTime) {
  renew(0, 1);
  EXPECT_TRUE(m_hosts[0].mayDispatch(m_now));
  EXPECT_TRUE(m_hosts[0].mayDispatch(m_now + m_timing.m_lease - Millis(1)));
  EXPECT_FALSE(m_hosts[0].mayDispatch(m_now + m_timing.m_lease));
}

TEST_F(ViewLeaseTest, Renewal_OfOlderView_IsRefusedWithNewerView) {
  installAt(1, 2);
  installAt(2, 2);
  renew(1, 2);
  const RenewReply Reply = m_hosts[2].onRenew(m_hosts[0].makeRenew(), m_now);
  EXPECT_FALSE(Reply.m_granted);
  ASSERT_TRUE(Reply.m_newer);
  EXPECT_EQ(Reply.m_newer->m_generation, 2U);
}

TEST_F(ViewLeaseTest, Settle_WithSilentMember_WaitsForDispatchLapse) {
  installAt(0, 2);
  installAt(1, 2);
  renew(0, 1);
  const TimePoint MajorityAt = m_now;
  EXPECT_LT(m_hosts[0].settled(), 2U);
  m_now = MajorityAt + dispatchLapse(m_timing) - Millis(1);
  m_hosts[0].tick(m_now);
  EXPECT_LT(m_hosts[0].settled(), 2U);
  m_now += Millis(1);
  m_hosts[0].tick(m_now);
  EXPECT_EQ(m_hosts[0].settled(), 2U);
}

TEST_F(ViewLeaseTest, Settle_AfterAllAcknowledge_IsImmediate) {
  installAt(0, 2);
  renew(0, 1);
  for (std::size_t Peer = 1; Peer < 3; ++Peer)
    installAt(Peer, 2);
  renew(0, 1);
  EXPECT_LT(m_hosts[0].settled(), 2U);
  renew(0, 2);
  EXPECT_EQ(m_hosts[0].settled(), 2U);
}

TEST_F(ViewLeaseTest, Acknowledgement_FromBeforeMajority_DoesNotSettle) {
  for (std::size_t Host = 0; Host < 3; ++Host)
    installAt(Host, 2);
  const RenewRequest Request = m_hosts[0].makeRenew();
  const TimePoint SentAt = m_now;
  RenewReply Early = m_hosts[2].onRenew(Request, m_now);
  Early.m_granted = false;
  m_hosts[0].onRenewReply(Early, 2, SentAt, m_now);
  m_now += Millis(1);
  renew(0, 1);
  renew(0, 1);
  EXPECT_LT(m_hosts[0].settled(), 2U);
}

TEST_F(ViewLeaseTest, Restarted_WithinLeaseTime_PromisesNothing) {
  ViewLease Restarted("entry-1", 99, m_timing, m_now);
  Restarted.install(m_first, ViewSource::Table, m_now);
  EXPECT_FALSE(Restarted.onRenew(m_hosts[0].makeRenew(), m_now).m_granted);
  const TimePoint Later = m_now + leaseLapse(m_timing);
  EXPECT_TRUE(Restarted.onRenew(m_hosts[0].makeRenew(), Later).m_granted);
}

TEST_F(ViewLeaseTest, Restarted_WithoutTable_NeedsRecoveryQuorum) {
  ViewLease Restarted("entry-1", 99, m_timing, m_now);
  m_now += leaseLapse(m_timing);
  for (const std::size_t Peer : {std::size_t{0}, std::size_t{2}}) {
    EXPECT_FALSE(Restarted.recovered());
    const RenewRequest Request = Restarted.makeRenew();
    Restarted.onRenewReply(m_hosts[Peer].onRenew(Request, m_now),
                           Request.m_generation, m_now, m_now);
  }
  EXPECT_TRUE(Restarted.recovered());
}

/// Member 1 promises view 2 to member 0, restarts, recovers from members that
/// had not promised it, and then grants view 1 again.
TEST(ViewLeaseRestart, PromiseOfAnEarlierIncarnation_MakesNoMajority) {
  const LeaseTiming Timing;
  TimePoint Now{Millis(1000000)};
  const ViewPtr First = std::make_shared<const View>(makeView(1, 5));
  std::vector<ViewLease> Hosts;
  for (int I = 0; I < 5; ++I)
    Hosts.emplace_back("entry-" + std::to_string(I), I + 1, Timing, Now);
  for (ViewLease &Host : Hosts)
    Host.install(First, ViewSource::Table, Now);
  Now += dispatchLapse(Timing);
  const auto Renew = [&](std::size_t From, std::size_t To) {
    Now += Millis(1);
    const RenewRequest Request = Hosts[From].makeRenew();
    const RenewReply Reply = Hosts[To].onRenew(Request, Now);
    Hosts[From].onRenewReply(Reply, Request.m_generation, Now, Now);
  };
  Hosts[0].install(std::make_shared<const View>(makeView(2, 5)),
                   ViewSource::Table, Now);
  Renew(0, 1);
  std::destroy_at(&Hosts[1]);
  std::construct_at(&Hosts[1], "entry-1", 99U, Timing, Now);
  Hosts[1].install(First, ViewSource::Peer, Now);
  for (const std::size_t Peer : {2, 3, 4})
    Renew(1, Peer);
  Now += leaseLapse(Timing);
  Renew(0, 2);
  Now += leaseLapse(Timing);
  Renew(3, 1);
  Renew(3, 4);
  EXPECT_FALSE(Hosts[0].isPromisedByMajority(2, Now) &&
               Hosts[3].mayDispatch(Now));
}

} // namespace
} // namespace tamarackdrum

#include "tamarackdrum/gateway/roster.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <set>

namespace tamarackdrum::gateway {
namespace {

class RosterTest : public testing::Test {
protected:
  static HostInfo makeHost(const std::string &Name, unsigned Weight = 20) {
    std::string Ip("10.0.0.");
    Ip += Name.back();
    return {Name, Ip, "zone-a", 1000, Weight};
  }

  static std::string numbered(int Number) {
    std::string Out("h");
    Out += std::to_string(Number);
    return Out;
  }

  void hear(const std::string &Name, unsigned Weight = 20,
            bool IsStopping = false, std::uint64_t ConfigVersion = 1) {
    Heartbeat Beat;
    Beat.m_host = makeHost(Name, Weight);
    Beat.m_isStopping = IsStopping;
    Beat.m_configVersion = ConfigVersion;
    m_subject.recordHeartbeat(Beat, m_now);
  }

  std::vector<std::string> anchorNames() const {
    std::vector<std::string> Out;
    for (const HostInfo &Item : m_subject.candidates(m_now))
      Out.push_back(Item.m_name);
    return Out;
  }

  const RosterPolicy m_policy{};
  Roster m_subject{m_policy, makeHost("h1")};
  TimePoint m_now{std::chrono::seconds(100)};
};

TEST_F(RosterTest, Alive_SilentForLong_IsDead) {
  hear("h2");
  m_now += m_policy.m_failureTimeout - Millis(1);
  EXPECT_TRUE(m_subject.isAlive("h2", m_now));
  m_now += Millis(1);
  EXPECT_FALSE(m_subject.isAlive("h2", m_now));
}

TEST_F(RosterTest, Alive_LinkLost_IsDeadUntilNextBeat) {
  hear("h2");
  m_subject.markUnreachable("h2");
  EXPECT_FALSE(m_subject.isAlive("h2", m_now));
  hear("h2");
  EXPECT_TRUE(m_subject.isAlive("h2", m_now));
}

TEST_F(RosterTest, Alive_EarlierLifeWhileLaterIsSilent_CountsAfterAll) {
  Heartbeat Later;
  Later.m_host = makeHost("h2");
  Later.m_host.m_processStartMs = 5000;
  m_subject.recordHeartbeat(Later, m_now);
  hear("h2"); // Life 1000: an old datagram.
  EXPECT_EQ(m_subject.processStartMs("h2"), 5000);
  m_now += m_policy.m_failureTimeout;
  hear("h2"); // The clock of the host was set back before its restart.
  EXPECT_EQ(m_subject.processStartMs("h2"), 1000);
}

TEST_F(RosterTest, Coordinators_EnoughHosts_AreDifferent) {
  for (const char *Name : {"h2", "h3", "h4", "h5"})
    hear(Name);
  std::set<std::string> Used;
  for (const auto &[Service, Host] :
       m_subject.coordinators({"a", "b", "c"}, m_now))
    Used.insert(Host);
  EXPECT_EQ(Used.size(), 3U);
}

// Load pattern: hosts restart one after the other while the store is slow.
TEST_F(RosterTest, Coordinators_HostsWithoutConfiguration_AreNotChosen) {
  hear("h2", 20, false, 0);
  hear("h3", 20, false, 0);
  for (const auto &[Service, Host] :
       m_subject.coordinators({"a", "b", "c"}, m_now))
    EXPECT_EQ(Host, "h1") << Service;
}

TEST_F(RosterTest, Coordinators_FewHosts_ServeSeveralServices) {
  const std::map<std::string, std::string> Chosen =
      m_subject.coordinators({"a", "b", "c"}, m_now);
  EXPECT_EQ(Chosen.size(), 3U);
  EXPECT_EQ(Chosen.at("a"), "h1");
}

TEST_F(RosterTest, Anchors_UnlikeHosts_AreTheLargest) {
  hear("h2", 50);
  hear("h3", 50);
  EXPECT_THAT(anchorNames(), testing::UnorderedElementsAre("h2", "h3"));
}

TEST_F(RosterTest, Anchors_StoppingHost_IsLeftOut) {
  hear("h2", 50, true);
  hear("h3", 50);
  EXPECT_THAT(anchorNames(), testing::ElementsAre("h3"));
}

TEST_F(RosterTest, BeatsDue_ManyHosts_GoToFewOnceAnnounced) {
  for (int I = 2; I < 40; ++I)
    hear(numbered(I));
  EXPECT_EQ(m_subject.takeDueHeartbeats(m_now).size(), 38U);
  m_now += Millis(1600);
  for (int I = 2; I < 40; ++I)
    hear(numbered(I));
  EXPECT_EQ(m_subject.takeDueHeartbeats(m_now).size(),
            m_policy.m_candidateCount);
}

// Load pattern: hundreds of small hosts. Each beat to each host would make
// their number grow with the square of the hosts.
TEST_F(RosterTest, BeatsDue_NewHostAmongSmallOnes_GoToLargeOnesOnly) {
  hear("h2", 90);
  hear("h3", 90);
  for (int I = 4; I < 40; ++I)
    hear(numbered(I));
  EXPECT_EQ(m_subject.takeDueHeartbeats(m_now).size(), 2U);
}

TEST_F(RosterTest, Anchors_LargeHostsGoneForLong_SmallOnesTakeTheirPlace) {
  hear("h2", 90);
  hear("h3", 20);
  m_now += m_policy.m_failureTimeout;
  hear("h3", 20);
  EXPECT_THAT(anchorNames(), testing::IsEmpty());
  m_now += m_policy.m_largestShareTimeout;
  hear("h3", 20);
  EXPECT_THAT(anchorNames(), testing::UnorderedElementsAre("h1", "h3"));
}

TEST_F(RosterTest, Relays_HostsOfOtherZones_AreNone) {
  Heartbeat Beat;
  Beat.m_host = makeHost("h2");
  Beat.m_host.m_zone = "zone-b";
  m_subject.recordHeartbeat(Beat, m_now);
  hear("h3");
  std::vector<std::string> Names;
  for (const HostInfo &Item : m_subject.relays(m_now))
    Names.push_back(Item.m_name);
  EXPECT_THAT(Names, testing::UnorderedElementsAre("h1", "h3"));
}

TEST_F(RosterTest, AddListed_KnownLife_IsNoNews) {
  EXPECT_EQ(m_subject.addHosts({makeHost("h2")}, m_now).size(), 1U);
  EXPECT_TRUE(m_subject.addHosts({makeHost("h2")}, m_now).empty());
  HostInfo Later = makeHost("h2");
  Later.m_processStartMs = 2000;
  EXPECT_EQ(m_subject.addHosts({Later}, m_now).size(), 1U);
}

class NextGranterTest : public RosterTest {
protected:
  bool isNext(const KnownGranter &Claim) const {
    return isNextGranter(m_subject, Claim, Millis(3000), m_now);
  }

  /// By default the host is so large that the subject is no anchor.
  void hearLost(const std::string &Name, std::uint32_t LostMs,
                unsigned Weight = 90) {
    Heartbeat Beat;
    Beat.m_host = makeHost(Name, Weight);
    Beat.m_storeLostMs = LostMs;
    m_subject.recordHeartbeat(Beat, m_now);
  }
};

TEST_F(NextGranterTest, NoGranter_OnlyFirstAnchor_TakesOver) {
  EXPECT_TRUE(isNext({}));
  hearLost("h2", 0);
  EXPECT_FALSE(isNext({}));
}

TEST_F(NextGranterTest, GranterIsFit_Nobody_TakesOver) {
  hear("h2", 1);
  EXPECT_FALSE(isNext({3, "h2", 1000}));
  EXPECT_TRUE(isNext({3, "h2", 900})); // An earlier life.
}

TEST_F(NextGranterTest, GranterIsCutFromTheStore_NextAnchorTakesOver) {
  hearLost("h2", 4000, 20);
  EXPECT_TRUE(isNext({3, "h2", 1000}));
  hearLost("h3", 0);
  EXPECT_FALSE(isNext({3, "h2", 1000}));
}

// A takeover was given up and its write was done seconds later: the row named
// a host that granted nothing and was no anchor, and nobody replaced it.
TEST_F(NextGranterTest, StoreNamesThisProcess_ItTakesOverThoughNoAnchor) {
  for (int I = 2; I <= 7; ++I)
    hearLost(numbered(I), 0);
  EXPECT_FALSE(isNext({}));
  EXPECT_TRUE(isNext({5, "h1", 1000}));
  EXPECT_FALSE(isNext({5, "h1", 900})); // An earlier life of this host.
}

} // namespace
} // namespace tamarackdrum::gateway

#include "tamarackdrum/gateway/roster.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <set>

namespace tamarackdrum::gateway {
namespace {

class RosterTest : public testing::Test {
protected:
  static HostInfo makeHost(const std::string &Name, unsigned CpuShare = 20) {
    std::string Ip("10.0.0.");
    Ip += Name.back();
    return {Name, Ip, "zone-a", 1000, CpuShare};
  }

  static std::string hostName(int Number) {
    std::string Out("h");
    Out += std::to_string(Number);
    return Out;
  }

  void addHeartbeat(const std::string &Name, unsigned CpuShare = 20,
                    bool IsStopping = false, std::uint64_t ConfigVersion = 1) {
    Heartbeat Beat;
    Beat.m_host = makeHost(Name, CpuShare);
    Beat.m_isStopping = IsStopping;
    Beat.m_configVersion = ConfigVersion;
    m_subject.recordHeartbeat(Beat, m_now);
  }

  std::vector<std::string> candidateNames() const {
    std::vector<std::string> Out;
    for (const HostInfo &Item : m_subject.candidates(m_now))
      Out.push_back(Item.m_name);
    return Out;
  }

  const RosterPolicy m_policy{};
  Roster m_subject{m_policy, makeHost("h1")};
  TimePoint m_now{std::chrono::seconds(100)};
};

TEST_F(RosterTest, IsAlive_SilentForLong_IsFalse) {
  addHeartbeat("h2");
  m_now += m_policy.m_failureTimeout - Millis(1);
  EXPECT_TRUE(m_subject.isAlive("h2", m_now));
  m_now += Millis(1);
  EXPECT_FALSE(m_subject.isAlive("h2", m_now));
}

// Guards against a host that stands still and then takes the duties of all
// others.
TEST_F(RosterTest, IsAlive_ThisHostStoodStill_OthersHaveTimeToBeHeard) {
  addHeartbeat("h2");
  m_subject.noteRunning(m_now);
  m_now += 2 * m_policy.m_failureTimeout;
  m_subject.noteRunning(m_now);
  EXPECT_TRUE(m_subject.isAlive("h2", m_now));
  m_now += m_policy.m_pauseGrace;
  EXPECT_FALSE(m_subject.isAlive("h2", m_now));
}

TEST_F(RosterTest, IsAlive_ThisHostOftenStandsStill_SilentHostIsFound) {
  addHeartbeat("h2");
  m_subject.noteRunning(m_now);
  for (Millis Passed(0); Passed < 2 * m_policy.m_failureTimeout;
       Passed += Millis(300)) {
    m_now += Millis(300);
    m_subject.noteRunning(m_now);
  }
  EXPECT_FALSE(m_subject.isAlive("h2", m_now));
}

TEST_F(RosterTest, IsAlive_SilentBeforeThisHostStoodStill_IsFalse) {
  addHeartbeat("h2");
  m_now += m_policy.m_failureTimeout;
  m_subject.noteRunning(m_now);
  m_now += Millis(1000);
  m_subject.noteRunning(m_now);
  EXPECT_FALSE(m_subject.isAlive("h2", m_now));
}

TEST_F(RosterTest, IsAlive_LinkLost_IsFalseUntilNextHeartbeat) {
  addHeartbeat("h2");
  m_subject.markUnreachable("h2");
  EXPECT_FALSE(m_subject.isAlive("h2", m_now));
  addHeartbeat("h2");
  EXPECT_TRUE(m_subject.isAlive("h2", m_now));
}

TEST_F(RosterTest, RecordHeartbeat_EarlierProcessStartAfterSilence_IsAccepted) {
  Heartbeat Later;
  Later.m_host = makeHost("h2");
  Later.m_host.m_processStartMs = 5000;
  m_subject.recordHeartbeat(Later, m_now);
  addHeartbeat("h2"); // An old datagram, with process start 1000.
  EXPECT_EQ(m_subject.processStartMs("h2"), 5000);
  m_now += m_policy.m_failureTimeout;
  addHeartbeat("h2"); // The clock of the host was set back before its restart.
  EXPECT_EQ(m_subject.processStartMs("h2"), 1000);
}

TEST_F(RosterTest, Coordinators_EnoughHosts_AreDifferent) {
  for (const char *Name : {"h2", "h3", "h4", "h5"})
    addHeartbeat(Name);
  std::set<std::string> Used;
  for (const auto &[Service, Host] :
       m_subject.coordinators({"a", "b", "c"}, m_now))
    Used.insert(Host);
  EXPECT_EQ(Used.size(), 3U);
}

// Hosts that restart while the store is slow have no configuration yet.
TEST_F(RosterTest, Coordinators_HostsWithoutConfiguration_AreNotChosen) {
  addHeartbeat("h2", 20, false, 0);
  addHeartbeat("h3", 20, false, 0);
  for (const auto &[Service, Host] :
       m_subject.coordinators({"a", "b", "c"}, m_now))
    EXPECT_EQ(Host, "h1") << Service;
}

TEST_F(RosterTest, Coordinators_OneHost_CoordinatesAllServices) {
  const std::map<std::string, std::string> Chosen =
      m_subject.coordinators({"a", "b", "c"}, m_now);
  EXPECT_EQ(Chosen.size(), 3U);
  EXPECT_EQ(Chosen.at("a"), "h1");
}

TEST_F(RosterTest, Candidates_UnequalHosts_AreTheLargest) {
  addHeartbeat("h2", 50);
  addHeartbeat("h3", 50);
  EXPECT_THAT(candidateNames(), testing::UnorderedElementsAre("h2", "h3"));
}

TEST_F(RosterTest, Candidates_StoppingHost_IsExcluded) {
  addHeartbeat("h2", 50, true);
  addHeartbeat("h3", 50);
  EXPECT_THAT(candidateNames(), testing::ElementsAre("h3"));
}

TEST_F(RosterTest, DueHeartbeats_ManyHosts_GoToCandidatesAfterAnnouncement) {
  for (int I = 2; I < 40; ++I)
    addHeartbeat(hostName(I));
  EXPECT_EQ(m_subject.takeDueHeartbeats(m_now).size(), 38U);
  m_now += Millis(1600);
  for (int I = 2; I < 40; ++I)
    addHeartbeat(hostName(I));
  EXPECT_EQ(m_subject.takeDueHeartbeats(m_now).size(),
            m_policy.m_candidateCount);
}

// If hundreds of small hosts sent heartbeats to each other, the number of
// heartbeats would grow with the square of the hosts.
TEST_F(RosterTest, DueHeartbeats_NewSmallHost_GoToLargeHostsOnly) {
  addHeartbeat("h2", 90);
  addHeartbeat("h3", 90);
  for (int I = 4; I < 40; ++I)
    addHeartbeat(hostName(I));
  EXPECT_EQ(m_subject.takeDueHeartbeats(m_now).size(), 2U);
}

TEST_F(RosterTest, Candidates_LargeHostsSilentForLong_AreSmallHosts) {
  addHeartbeat("h2", 90);
  addHeartbeat("h3", 20);
  m_now += m_policy.m_failureTimeout;
  addHeartbeat("h3", 20);
  EXPECT_THAT(candidateNames(), testing::IsEmpty());
  m_now += m_policy.m_largestShareTimeout;
  addHeartbeat("h3", 20);
  EXPECT_THAT(candidateNames(), testing::UnorderedElementsAre("h1", "h3"));
}

TEST_F(RosterTest, Relays_HostsOfOtherZones_AreExcluded) {
  Heartbeat Beat;
  Beat.m_host = makeHost("h2");
  Beat.m_host.m_zone = "zone-b";
  m_subject.recordHeartbeat(Beat, m_now);
  addHeartbeat("h3");
  std::vector<std::string> Names;
  for (const HostInfo &Item : m_subject.relays(m_now))
    Names.push_back(Item.m_name);
  EXPECT_THAT(Names, testing::UnorderedElementsAre("h1", "h3"));
}

TEST_F(RosterTest, AddHosts_KnownProcessStart_IsNotReturned) {
  EXPECT_EQ(m_subject.addHosts({makeHost("h2")}, m_now).size(), 1U);
  EXPECT_TRUE(m_subject.addHosts({makeHost("h2")}, m_now).empty());
  HostInfo Later = makeHost("h2");
  Later.m_processStartMs = 2000;
  EXPECT_EQ(m_subject.addHosts({Later}, m_now).size(), 1U);
}

class NextGranterTest : public RosterTest {
protected:
  bool isNext(const KnownGranter &Granter) const {
    return isNextGranter(m_subject, Granter, Millis(3000), m_now);
  }

  /// By default the host is so large that the subject is no candidate.
  void addStoreLostHeartbeat(const std::string &Name, std::uint32_t LostMs,
                             unsigned CpuShare = 90) {
    Heartbeat Beat;
    Beat.m_host = makeHost(Name, CpuShare);
    Beat.m_storeLostMs = LostMs;
    m_subject.recordHeartbeat(Beat, m_now);
  }
};

TEST_F(NextGranterTest, NoGranter_FirstCandidate_TakesOver) {
  EXPECT_TRUE(isNext({}));
  addStoreLostHeartbeat("h2", 0);
  EXPECT_FALSE(isNext({}));
}

TEST_F(NextGranterTest, GranterIsAlive_NoHost_TakesOver) {
  addHeartbeat("h2", 1);
  EXPECT_FALSE(isNext({3, "h2", 1000}));
  EXPECT_TRUE(isNext({3, "h2", 900})); // An earlier process.
}

TEST_F(NextGranterTest, GranterLostStore_FirstCandidate_TakesOver) {
  addStoreLostHeartbeat("h2", 4000, 20);
  EXPECT_TRUE(isNext({3, "h2", 1000}));
  addStoreLostHeartbeat("h3", 0);
  EXPECT_FALSE(isNext({3, "h2", 1000}));
}

// A cut-off granter cannot renew grants, and a cut-off candidate could not
// either.
TEST_F(NextGranterTest, GranterIsCutOff_FirstCandidateNotCutOff_TakesOver) {
  Heartbeat Beat;
  Beat.m_host = makeHost("h2", 20);
  Beat.m_isCutOff = true;
  m_subject.recordHeartbeat(Beat, m_now);
  Beat.m_host = makeHost("h3", 20);
  m_subject.recordHeartbeat(Beat, m_now);
  EXPECT_TRUE(isNext({3, "h2", 1000}));
  addStoreLostHeartbeat("h3", 0);
  EXPECT_FALSE(isNext({3, "h2", 1000}));
}

// The write of an abandoned takeover takes effect seconds later. The store then
// names a host that grants nothing and is no candidate, and since it is alive,
// no other host replaces it.
TEST_F(NextGranterTest, StoreNamesThisProcess_HostIsNoCandidate_TakesOver) {
  for (int I = 2; I <= 7; ++I)
    addStoreLostHeartbeat(hostName(I), 0);
  EXPECT_FALSE(isNext({}));
  EXPECT_TRUE(isNext({5, "h1", 1000}));
  EXPECT_FALSE(isNext({5, "h1", 900})); // An earlier process of this host.
}

} // namespace
} // namespace tamarackdrum::gateway

#include "tamarackdrum/gateway/relay-peers.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace tamarackdrum::gateway {
namespace {

class RelayPeersTest : public testing::Test {
protected:
  void addHost(const std::string &Name, const std::string &Zone,
               bool ReachesServers, bool IsCutOff) {
    Heartbeat Beat;
    std::string Ip("10.0.0.");
    Ip += std::to_string(++m_count);
    Beat.m_host = {Name, Ip, Zone, 1, 20};
    Beat.m_reachesServers = ReachesServers;
    Beat.m_isCutOff = IsCutOff;
    m_hosts.recordHeartbeat(Beat, m_now);
  }

  TimePoint m_now{std::chrono::hours(1)};
  Roster m_hosts{RosterPolicy{}, {"self", "10.0.0.1", "a", 1, 20}};
  int m_count = 1;
};

// All hosts of a zone may be cut off together.
TEST_F(RelayPeersTest, Prospects_ManyHostsInOwnZone_HalfAreOfOtherZones) {
  for (int I = 0; I < 40; ++I)
    addHost(std::to_string(I), "a", true, false);
  for (int I = 0; I < 6; ++I)
    addHost(std::to_string(100 + I), "b", true, false);
  const std::vector<HostInfo> Got = relayProspects(m_hosts, 8);
  EXPECT_EQ(Got.size(), 8U);
  EXPECT_GE(
      std::count_if(Got.begin(), Got.end(),
                    [](const HostInfo &Item) { return Item.m_zone == "b"; }),
      4);
}

TEST_F(RelayPeersTest, Usable_HostIsCutOffOrSilent_IsNotUsed) {
  addHost("good", "b", true, false);
  addHost("cut-off", "b", true, true);
  addHost("idle", "b", false, false);
  EXPECT_EQ(usableRelays(m_hosts, m_now), std::vector<std::string>{"good"});
  EXPECT_TRUE(usableRelays(m_hosts, m_now + Millis(5000)).empty());
}

} // namespace
} // namespace tamarackdrum::gateway

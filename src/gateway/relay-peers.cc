#include "tamarackdrum/gateway/relay-peers.h"

#include <algorithm>

namespace tamarackdrum::gateway {

std::vector<HostInfo> relayProspects(const Roster &Hosts, std::size_t Count) {
  const HostInfo &Self = Hosts.self();
  std::vector<HostInfo> All = Hosts.allHosts();
  std::erase_if(All, [&Self](const HostInfo &Item) {
    return Item.m_name == Self.m_name;
  });
  std::sort(All.begin(), All.end(),
            [&Self](const HostInfo &A, const HostInfo &B) {
              return hashKey(Self.m_name + A.m_name) <
                     hashKey(Self.m_name + B.m_name);
            });
  // The hosts of other zones come first until they are half of the result.
  std::size_t Others = 0;
  std::stable_partition(All.begin(), All.end(), [&](const HostInfo &Item) {
    return Item.m_zone != Self.m_zone && ++Others <= (Count + 1) / 2;
  });
  All.resize(std::min(All.size(), Count));
  return All;
}

std::vector<std::string> usableRelays(const Roster &Hosts, TimePoint Now) {
  std::vector<std::string> Out;
  for (const HostInfo &Item : Hosts.liveHosts(Now)) {
    const Heartbeat *Beat = Hosts.lastHeartbeat(Item.m_name);
    if (Item.m_name != Hosts.self().m_name && Beat != nullptr &&
        Beat->m_reachesServers && !Beat->m_isCutOff && !Beat->m_isStopping)
      Out.push_back(Item.m_name);
  }
  return Out;
}

} // namespace tamarackdrum::gateway

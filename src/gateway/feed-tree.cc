#include "tamarackdrum/gateway/feed-tree.h"

#include <algorithm>

namespace tamarackdrum::gateway {
namespace {

/// Returns the first of \p Hosts that has a configuration, otherwise the first
/// of them, or an empty string if there is none.
std::string firstConfigured(const std::vector<HostInfo> &Hosts,
                            const Roster &Known, const FeedHostState &Self) {
  for (const HostInfo &Item : Hosts) {
    const Heartbeat *Beat = Known.lastHeartbeat(Item.m_name);
    const bool IsSelf = Item.m_name == Known.self().m_name;
    if (IsSelf ? Self.m_hasConfiguration
               : Beat != nullptr && Beat->m_configVersion > 0)
      return Item.m_name;
  }
  return Hosts.empty() ? std::string() : Hosts.front().m_name;
}

} // namespace

std::string selectReader(const Roster &Hosts, const FeedHostState &Self,
                         TimePoint Now) {
  std::vector<HostInfo> Reachable = Hosts.candidates(Now);
  std::erase_if(Reachable, [&](const HostInfo &Item) {
    if (Item.m_name == Hosts.self().m_name)
      return Self.m_isStoreLost;
    const Heartbeat *Beat = Hosts.lastHeartbeat(Item.m_name);
    return Beat == nullptr || Beat->m_storeLostMs > 0;
  });
  return firstConfigured(Reachable, Hosts, Self);
}

FeedSource selectFeedSource(const Roster &Hosts, const std::string &Reader,
                            const FeedTreePolicy &Policy, TimePoint Now) {
  const std::string &Self = Hosts.self().m_name;
  if (Reader.empty() || Reader == Self)
    return {};
  const std::vector<HostInfo> Relays = Hosts.relays(Now);
  const bool IsRelay =
      std::any_of(Relays.begin(), Relays.end(), [&Self](const HostInfo &Item) {
        return Item.m_name == Self;
      });
  if (IsRelay || Hosts.hostCountInZone() < Policy.m_minHostsForRelay)
    return {Reader, false};
  // A reader in this zone needs no relay.
  for (const HostInfo &Item : Relays)
    if (Item.m_name == Reader)
      return {Reader, false};
  const std::string Relay =
      firstConfigured(Relays, Hosts, FeedHostState{false, false});
  return Relay.empty() ? FeedSource{Reader, false} : FeedSource{Relay, true};
}

} // namespace tamarackdrum::gateway

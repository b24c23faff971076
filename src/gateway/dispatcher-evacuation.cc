// The part of Dispatcher that takes waiting requests away from evacuated zones.
//
// Load pattern: the operator evacuates a zone under load. Requests that wait
// for a slot in their own zone would wait in vain while other zones have free
// slots, and requests that only servers of that zone could run would wait until
// they are late.

#include "dispatcher-detail.h"

#include <set>

namespace tamarackdrum::gateway {

bool Dispatcher::areAllEvacuated(const DispatchRequest &Request) const {
  bool HasEvacuated = false;
  for (const auto &[Id, Item] : m_servers) {
    // Keys move, so that the holder is not the only server that counts.
    if (!m_isKeyed && isExcluded(Request, Id))
      continue;
    if (mayGetRequests(Item.m_entry))
      return false;
    HasEvacuated = HasEvacuated || Item.m_entry.m_isEvacuated;
  }
  return HasEvacuated;
}

void Dispatcher::releaseEvacuated(TimePoint Now, DispatchDecisions &Out) {
  std::set<std::string> Zones;
  for (const auto &[Id, Item] : m_servers)
    if (Item.m_entry.m_isEvacuated)
      Zones.insert(Item.m_entry.m_zone);
  if (Zones.empty())
    return;
  for (auto &[Name, Own] : m_waiting)
    for (Waiting &Item : Own)
      if (Zones.count(Item.m_request.m_zone) > 0)
        Item.m_ownZoneUntil = std::min(Item.m_ownZoneUntil, Now);
  removeWaiting([&](const Waiting &Item) {
    if (!areAllEvacuated(Item.m_request))
      return false;
    refuse(Item.m_request, RefusalReason::NoServer,
           m_policy.m_defaultRetryAfter, Out);
    return true;
  });
}

} // namespace tamarackdrum::gateway

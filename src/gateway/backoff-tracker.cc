#include "tamarackdrum/gateway/backoff-tracker.h"

namespace tamarackdrum::gateway {

void BackoffTracker::extend(const ServerEntry &Server, Millis Time,
                            TimePoint Now) {
  std::erase_if(m_backoffs,
                [Now](const auto &Item) { return Item.second.m_until <= Now; });
  Backoff &Item = m_backoffs[Server.m_id];
  if (Item.m_startMs != Server.m_startMs)
    Item = {Server.m_service, Server.m_startMs, {}};
  Item.m_until = std::max(Item.m_until, Now + Time);
}

Millis BackoffTracker::remaining(const ServerEntry &Server,
                                 TimePoint Now) const {
  const auto Found = m_backoffs.find(Server.m_id);
  if (Found == m_backoffs.end() || Found->second.m_startMs != Server.m_startMs)
    return Millis(0);
  return std::max(Millis(0), std::chrono::duration_cast<Millis>(
                                 Found->second.m_until - Now));
}

std::vector<ServerBackoff> BackoffTracker::activeFor(const std::string &Service,
                                                     TimePoint Now) const {
  std::vector<ServerBackoff> Out;
  for (const auto &[Id, Item] : m_backoffs)
    if (Item.m_service == Service && Now < Item.m_until)
      Out.push_back(
          {Id, std::chrono::duration_cast<Millis>(Item.m_until - Now)});
  return Out;
}

} // namespace tamarackdrum::gateway

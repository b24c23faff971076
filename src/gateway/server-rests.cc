#include "tamarackdrum/gateway/server-rests.h"

namespace tamarackdrum::gateway {

void ServerRests::note(const ServerEntry &Server, Millis Time, TimePoint Now) {
  std::erase_if(m_rests,
                [Now](const auto &Item) { return Item.second.m_until <= Now; });
  Rest &Item = m_rests[Server.m_id];
  if (Item.m_bornMs != Server.m_bornMs)
    Item = {Server.m_service, Server.m_bornMs, {}};
  Item.m_until = std::max(Item.m_until, Now + Time);
}

Millis ServerRests::left(const ServerEntry &Server, TimePoint Now) const {
  const auto Found = m_rests.find(Server.m_id);
  if (Found == m_rests.end() || Found->second.m_bornMs != Server.m_bornMs)
    return Millis(0);
  return std::max(Millis(0), std::chrono::duration_cast<Millis>(
                                 Found->second.m_until - Now));
}

std::vector<RestingServer> ServerRests::of(const std::string &Service,
                                           TimePoint Now) const {
  std::vector<RestingServer> Out;
  for (const auto &[Id, Item] : m_rests)
    if (Item.m_service == Service && Now < Item.m_until)
      Out.push_back(
          {Id, std::chrono::duration_cast<Millis>(Item.m_until - Now)});
  return Out;
}

} // namespace tamarackdrum::gateway

// The part of GatewayHost that sends key maps to other hosts.

#include "tamarackdrum/gateway/gateway-host.h"

namespace tamarackdrum::gateway {

void GatewayHost::sendKeyMap(std::uint32_t Link, const std::string &Service) {
  const KeyMap &Known = m_admission.keyMap(Service);
  if (Known.version() > 0)
    m_network.reply(Link, KeyMapMessage{Service, fullUpdate(Known)});
}

void GatewayHost::sendKeyMapChanges() {
  const TimePoint Now = BootClock::now();
  for (const auto &[Service, Runner] : m_granterRunners) {
    const KeyMap &Current = m_admission.keyMap(Service);
    KeyMapFeed &ToCandidates =
        m_candidateFeeds.emplace(Service, Millis(0)).first->second;
    if (Runner->isGranter())
      if (const std::optional<KeyMapUpdate> Change =
              ToCandidates.nextUpdate(Current, Now))
        m_network.sendToCandidates(KeyMapMessage{Service, *Change});
    KeyMapFeed &ToFollowers =
        m_followerFeeds.emplace(Service, m_policy.m_keyMapInterval)
            .first->second;
    if (m_network.hasFollowers())
      if (const std::optional<KeyMapUpdate> Change =
              ToFollowers.nextUpdate(Current, Now))
        m_network.sendToFollowers(KeyMapMessage{Service, *Change});
  }
}

} // namespace tamarackdrum::gateway

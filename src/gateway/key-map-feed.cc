#include "tamarackdrum/gateway/key-map-feed.h"

namespace tamarackdrum::gateway {

std::optional<KeyMapUpdate> KeyMapFeed::nextUpdate(const KeyMap &Current,
                                                   TimePoint Now) {
  if (Current.version() <= m_lastSent.version() ||
      Now - m_lastSentAt < m_minInterval)
    return std::nullopt;
  KeyMapUpdate Out = updateBetween(m_lastSent, Current);
  m_lastSent = Current;
  m_lastSentAt = Now;
  return Out;
}

} // namespace tamarackdrum::gateway

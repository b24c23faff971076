#include "tamarackdrum/gateway/key-map-feed.h"

namespace tamarackdrum::gateway {

std::optional<KeyMapChange> KeyMapFeed::next(const KeyMap &Current,
                                             TimePoint Now) {
  if (Current.version() <= m_told.version() || Now - m_toldAt < m_every)
    return std::nullopt;
  KeyMapChange Out = changeBetween(m_told, Current);
  m_told = Current;
  m_toldAt = Now;
  return Out;
}

} // namespace tamarackdrum::gateway

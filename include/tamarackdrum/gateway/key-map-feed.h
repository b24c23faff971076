/// \file
/// Tells other hosts of new holders of keys.
///
/// Load pattern: a busy set of keys makes the granter move ranges many times a
/// second. Only the host that decides for the service, and those that may
/// follow it, need each map; sent to hundreds of hosts at once they take the
/// processor that the decisions need.

#ifndef TAMARACKDRUM_GATEWAY_KEY_MAP_FEED_H
#define TAMARACKDRUM_GATEWAY_KEY_MAP_FEED_H

#include "tamarackdrum/gateway/key-map.h"

namespace tamarackdrum::gateway {

/// What one audience has been told of the keys of one service.
class KeyMapFeed {
public:
  /// \p Every: least time between two changes.
  explicit KeyMapFeed(Millis Every) : m_minInterval(Every) {}

  /// Returns what the audience is to be told now, if anything.
  std::optional<KeyMapUpdate> nextUpdate(const KeyMap &Current, TimePoint Now);

  /// Returns the map that the audience has, for hosts that join it.
  const KeyMap &lastSent() const { return m_lastSent; }

private:
  Millis m_minInterval;
  KeyMap m_lastSent;
  TimePoint m_lastSentAt{};
};

} // namespace tamarackdrum::gateway

#endif // TAMARACKDRUM_GATEWAY_KEY_MAP_FEED_H

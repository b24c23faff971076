/// \file
/// Rate-limited updates of a key map for other hosts.
///
/// Under a load with hot keys the granter moves ranges many times per second.
/// Only the coordinator of the service and the hosts that may succeed it need
/// every map. Sending each one to hundreds of hosts would take the CPU time
/// that the coordinator's decisions need.

#ifndef TAMARACKDRUM_GATEWAY_KEY_MAP_FEED_H
#define TAMARACKDRUM_GATEWAY_KEY_MAP_FEED_H

#include "tamarackdrum/gateway/key-map.h"

namespace tamarackdrum::gateway {

/// Updates of one service's key map for one group of hosts.
class KeyMapFeed {
public:
  /// \p MinInterval is the shortest time between two updates.
  explicit KeyMapFeed(Millis MinInterval) : m_minInterval(MinInterval) {}

  /// Returns the update to send now, or std::nullopt if \p Current is not newer
  /// than the last map sent or the interval has not passed.
  std::optional<KeyMapUpdate> nextUpdate(const KeyMap &Current, TimePoint Now);

  /// Returns the map that the group has, to be sent to hosts that join it.
  const KeyMap &lastSent() const { return m_lastSent; }

private:
  Millis m_minInterval;
  KeyMap m_lastSent;
  TimePoint m_lastSentAt{};
};

} // namespace tamarackdrum::gateway

#endif // TAMARACKDRUM_GATEWAY_KEY_MAP_FEED_H

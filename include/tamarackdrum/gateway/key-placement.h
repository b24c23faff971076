/// \file
/// Chooses which backend server should hold which keys.
///
/// Load pattern: a few neighbouring keys get much of the traffic, and which
/// ones changes. Moving the narrowest range that carries the excess relieves
/// their server and leaves nearly all keys where they are.

#ifndef TAMARACKDRUM_GATEWAY_KEY_PLACEMENT_H
#define TAMARACKDRUM_GATEWAY_KEY_PLACEMENT_H

#include "tamarackdrum/gateway/key-map.h"

#include <map>

namespace tamarackdrum::gateway {

/// A range as the planner sees it.
struct PlacedRange {
  KeyHolding m_keys; ///< Holder, or an empty text if it needs one.
  bool m_canMove = true;

  bool operator==(const PlacedRange &) const = default;
};

/// Requests a second of one key.
struct KeyRate {
  Key m_key = 0;
  double m_rate = 0;

  bool operator==(const KeyRate &) const = default;
};

/// Keys that should get another holder.
struct KeyMove {
  Key m_from = 0;
  Key m_to = 0;
  std::string m_target;

  bool operator==(const KeyMove &) const = default;
};

struct PlacementPolicy {
  /// Utilization from which a server gives keys away.
  double m_busyShare = 0.7;
  /// ... if another server's is lower by this.
  double m_gap = 0.3;
  /// Moves of one round at most; each one stops its keys for a moment.
  std::size_t m_movesPerRound = 3;
  /// Part of the whole load that is assumed to be spread over all keys, since
  /// few keys are seen in a few seconds.
  double m_spreadShare = 0.25;

  bool operator==(const PlacementPolicy &) const = default;
};

/// Returns the moves of one round. \p Capacity holds requests a second of each
/// usable server; \p Rates is sorted by key.
std::vector<KeyMove> planKeyMoves(const std::vector<PlacedRange> &Ranges,
                                  const std::map<std::string, double> &Capacity,
                                  const std::vector<KeyRate> &Rates,
                                  const PlacementPolicy &Policy);

} // namespace tamarackdrum::gateway

#endif // TAMARACKDRUM_GATEWAY_KEY_PLACEMENT_H

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
  KeyRange m_keys; ///< Holder, or an empty text if it needs one.
  bool m_canMove = true;

  bool operator==(const PlacedRange &) const = default;
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
  double m_busyUtilization = 0.7;
  /// ... if another server's is lower by this.
  double m_minUtilizationGap = 0.3;
  /// Moves of one round at most; each one stops its keys for a moment.
  std::size_t m_maxMovesPerRound = 10;
  /// Part of a server's capacity from which one key is taken to be what keeps
  /// it busy.
  double m_dominantKeyShare = 1.0;
  /// Part of a server's capacity from which a whole range is worth its move.
  double m_minWholeRangeShare = 0.1;
  /// Utilization from which a server gives whole ranges away where no part of
  /// one carries its excess, that of the servers which get them, and the number
  /// of such moves in a round.
  double m_overloadedUtilization = 1.0;
  double m_idleUtilization = 0.3;
  std::size_t m_maxWholeMovesPerRound = 1;
  /// Ranges are split only while there are fewer: each one has to be renewed
  /// by a call of its own and lies in one row of the store.
  std::size_t m_maxRanges = 800;
  /// Part of the whole load that is assumed to be spread over all keys, since
  /// few keys are seen in a few seconds.
  double m_uniformLoadShare = 0.25;

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

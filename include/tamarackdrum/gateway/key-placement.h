/// \file
/// Plans which backend server should hold which keys.
///
/// A few adjacent keys often get most of the traffic, and the hot keys change
/// over time. The planner moves the narrowest range that carries the excess
/// load of a server, so that nearly all keys stay where they are.

#ifndef TAMARACKDRUM_GATEWAY_KEY_PLACEMENT_H
#define TAMARACKDRUM_GATEWAY_KEY_PLACEMENT_H

#include "tamarackdrum/gateway/key-map.h"

#include <map>

namespace tamarackdrum::gateway {

/// A range as input of the planner.
struct PlacedRange {
  KeyRange m_keys; ///< Without a server if the range needs a holder.
  bool m_canMove = true;

  bool operator==(const PlacedRange &) const = default;
};

/// A planned change of holder.
struct KeyMove {
  Key m_from = 0;
  Key m_to = 0; ///< Included.
  std::string m_target;

  bool operator==(const KeyMove &) const = default;
};

/// Thresholds and limits of the planner. Utilization is load divided by
/// capacity.
struct PlacementPolicy {
  /// A server gives keys away above this utilization, ...
  double m_busyUtilization = 0.7;
  /// ... if the utilization of another server is lower by more than this.
  double m_minUtilizationGap = 0.3;
  /// Limit per round, since each move makes its keys unavailable for a moment.
  std::size_t m_maxMovesPerRound = 20;
  /// A key whose load is at least this fraction of its server's capacity counts
  /// as the cause of an overload.
  double m_dominantKeyShare = 1.0;
  /// A whole range is moved only if its load is at least this fraction of its
  /// server's capacity.
  double m_minWholeRangeShare = 0.1;
  /// If no part of a range carries the excess load, whole ranges move from
  /// servers with at least m_overloadedUtilization to servers below
  /// m_idleUtilization, up to m_maxWholeMovesPerRound in a round.
  double m_overloadedUtilization = 1.0;
  double m_idleUtilization = 0.3;
  std::size_t m_maxWholeMovesPerRound = 1;
  /// No range is split once there are this many: each range is renewed by a
  /// call of its own, and the ranges of a service share one row of the store.
  std::size_t m_maxRanges = 800;
  /// Servers up to m_severeUtilization split ranges only up to this share of
  /// m_maxRanges, and those above it up to all of them. Else
  /// small differences use up all ranges in steady load, and a hot range can
  /// then not be split.
  double m_ordinaryRangeShare = 0.5;
  double m_severeUtilization = 1.5;
  /// Fraction of the total load that is assumed to be uniform over all keys,
  /// since only few keys are requested within a few seconds.
  double m_uniformLoadShare = 0.25;

  bool operator==(const PlacementPolicy &) const = default;
};

/// Why no further range moves.
enum class PlacementLimit {
  None,       ///< No placement yet.
  Balanced,   ///< No server is overloaded, compared to the others.
  NoServer,   ///< No server can hold keys.
  MoveLimit,  ///< The round has as many moves as are allowed.
  RangeLimit, ///< Keys would move, but no range may be split any more.
  SingleKey,  ///< One key alone overloads its server.
  NoPart      ///< No part of the ranges that may move carries enough load.
};

/// Returns the name of \p Value for logs and metrics.
const char *toText(PlacementLimit Value) noexcept;

struct Placement {
  std::vector<KeyMove> m_moves;
  PlacementLimit m_limit = PlacementLimit::None;
  std::string m_busiest; ///< Server with the highest utilization afterwards.
  double m_busiestUtilization = 0;

  bool operator==(const Placement &) const = default;
};

/// As planKeyMoves(), with the reason why no more keys move.
Placement planPlacement(const std::vector<PlacedRange> &Ranges,
                        const std::map<std::string, double> &Capacity,
                        const std::vector<KeyRate> &Rates,
                        const PlacementPolicy &Policy);

/// Returns the moves of one round. \p Capacity maps each usable server to the
/// requests per second that it can serve; \p Rates is sorted by key.
std::vector<KeyMove> planKeyMoves(const std::vector<PlacedRange> &Ranges,
                                  const std::map<std::string, double> &Capacity,
                                  const std::vector<KeyRate> &Rates,
                                  const PlacementPolicy &Policy);

} // namespace tamarackdrum::gateway

#endif // TAMARACKDRUM_GATEWAY_KEY_PLACEMENT_H

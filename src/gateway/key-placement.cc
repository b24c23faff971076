#include "key-placement-detail.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <span>

namespace tamarackdrum::gateway {
namespace {

/// Lower bound of the assumed total load in requests per second, for services
/// without requests so far.
constexpr double MinTotalLoad = 1.0;
/// Bounds of the load of moved keys, as fractions of the load that is wanted.
/// Where the wanted load evens out two servers, half of it is worth a narrower
/// range. Where it is what the target has room for, a lower load would only
/// need more moves.
constexpr double MinExcessFraction = 0.5;
constexpr double MinRoomFraction = 0.85;
constexpr double MaxExcessFraction = 1.3;

/// Load that a move should carry.
struct WantedLoad {
  double m_load = 0;
  double m_minFraction = MinExcessFraction;

  double min() const { return m_load * m_minFraction; }
  double max() const { return m_load * MaxExcessFraction; }
};

/// Returns the utilization of all servers together.
double meanUtilization(const ServerLoads &Current,
                       const std::map<std::string, double> &Capacity) {
  double Load = 0;
  double Total = 0;
  for (const auto &[Server, Rate] : Capacity) {
    const auto Found = Current.m_byServer.find(Server);
    Load += Found == Current.m_byServer.end() ? 0 : Found->second;
    Total += std::max(0.1, Rate);
  }
  return Load / Total;
}

/// Returns the narrowest part of \p Keys with a load of about \p Wanted.
std::optional<KeyRange> findWindow(const KeyRange &Keys,
                                   const WantedLoad &Wanted,
                                   const std::vector<KeyRate> &Rates,
                                   double UniformRatePerKey) {
  const std::span<const KeyRate> Own = ratesIn(Keys, Rates);
  std::optional<KeyRange> Best;
  std::size_t First = 0;
  double Sum = 0;
  for (std::size_t Last = 0; Last < Own.size(); ++Last) {
    Sum += Own[Last].m_rate;
    while (First < Last && Sum - Own[First].m_rate >= Wanted.min())
      Sum -= Own[First++].m_rate;
    if (Sum < Wanted.min() || Sum > Wanted.max())
      continue;
    const KeyRange Found{Own[First].m_key, Own[Last].m_key, ""};
    if (!Best || widthOf(Found) < widthOf(*Best))
      Best = Found;
  }
  if (Best)
    return Best;
  // Without requests the load is uniform: take keys in proportion from the end
  // of the range.
  const double Whole = loadOf(Keys, Rates, UniformRatePerKey);
  if (!Own.empty() || Whole <= 0)
    return std::nullopt;
  const std::uint32_t Width = std::clamp<std::uint32_t>(
      static_cast<std::uint32_t>(widthOf(Keys) * Wanted.m_load / Whole), 1,
      widthOf(Keys));
  return KeyRange{static_cast<Key>(Keys.m_to - Width + 1), Keys.m_to, ""};
}

/// Returns whether \p Server holds a key with a rate of \p MinRate or more.
bool hasDominantKey(const std::string &Server, double MinRate,
                    const std::vector<PlacedRange> &Ranges,
                    const std::vector<KeyRate> &Rates) {
  return std::any_of(
      Ranges.begin(), Ranges.end(), [&](const PlacedRange &Range) {
        const std::span<const KeyRate> Own = ratesIn(Range.m_keys, Rates);
        return Range.m_keys.m_server == Server &&
               std::any_of(Own.begin(), Own.end(),
                           [MinRate](const KeyRate &Key) {
                             return Key.m_rate >= MinRate;
                           });
      });
}

/// Returns the narrowest part of a range of \p Hot with a load of about
/// \p Wanted.
std::optional<KeyRange> findPartToMove(const std::string &Hot,
                                       const WantedLoad &Wanted,
                                       const std::vector<PlacedRange> &Ranges,
                                       const std::vector<KeyRate> &Rates,
                                       double UniformRatePerKey) {
  std::optional<KeyRange> Best;
  for (const PlacedRange &Range : Ranges) {
    if (!Range.m_canMove || Range.m_keys.m_server != Hot)
      continue;
    const std::optional<KeyRange> Found =
        findWindow(Range.m_keys, Wanted, Rates, UniformRatePerKey);
    if (Found && (!Best || widthOf(*Found) < widthOf(*Best)))
      Best = Found;
  }
  return Best;
}

/// Returns the range of \p Hot with the highest load between \p MinLoad and
/// about \p Excess.
std::optional<KeyRange> findWholeRange(const std::string &Hot, double MinLoad,
                                       double Excess,
                                       const std::vector<PlacedRange> &Ranges,
                                       const std::vector<KeyRate> &Rates,
                                       double UniformRatePerKey) {
  std::optional<KeyRange> Best;
  double Most = MinLoad;
  for (const PlacedRange &Range : Ranges) {
    if (!Range.m_canMove || Range.m_keys.m_server != Hot)
      continue;
    const double Load = loadOf(Range.m_keys, Rates, UniformRatePerKey);
    if (Load < Most || Load > Excess * MaxExcessFraction)
      continue;
    Best = Range.m_keys;
    Most = Load;
  }
  return Best;
}

/// Returns the part of the ranges of \p Hot without keys of \p HotKeyRate or
/// more that has the highest load, of at least \p MinLoad and about \p MaxLoad
/// at most.
///
/// Load pattern: one key alone overloads its server. The requests for its other
/// keys would miss their objective for as long as the key is hot.
std::optional<KeyRange> findBesideHotKey(const std::string &Hot,
                                         double HotKeyRate, double MinLoad,
                                         double MaxLoad,
                                         const std::vector<PlacedRange> &Ranges,
                                         const std::vector<KeyRate> &Rates) {
  std::optional<KeyRange> Best;
  double Most = MinLoad;
  const auto Consider = [&](std::uint32_t From, std::uint32_t End) {
    if (From >= End)
      return;
    const KeyRange Part{static_cast<Key>(From), static_cast<Key>(End - 1), ""};
    // The uniform load is an assumption, and no reason to move anything.
    const double Load = loadOf(Part, Rates, 0);
    const std::optional<KeyRange> Found =
        findWindow(Part, {std::min(Load, MaxLoad), MinRoomFraction}, Rates, 0);
    const double FoundLoad = Found ? loadOf(*Found, Rates, 0) : 0;
    if (FoundLoad < Most)
      return;
    Best = Found;
    Most = FoundLoad;
  };
  for (const PlacedRange &Range : Ranges) {
    if (!Range.m_canMove || Range.m_keys.m_server != Hot)
      continue;
    std::uint32_t From = Range.m_keys.m_from;
    for (const KeyRate &Item : ratesIn(Range.m_keys, Rates)) {
      if (Item.m_rate < HotKeyRate)
        continue;
      Consider(From, Item.m_key);
      From = static_cast<std::uint32_t>(Item.m_key) + 1;
    }
    Consider(From, static_cast<std::uint32_t>(Range.m_keys.m_to) + 1);
  }
  return Best;
}

/// A move that takes load off a server.
struct PlannedMove {
  KeyMove m_move;
  bool m_isWhole = false; ///< Moves a whole range that may have little load.
};

/// Returns the number of ranges from which on a server of \p Utilization does
/// not split ranges any more.
std::size_t maxRangesFor(double Utilization, const PlacementPolicy &Policy) {
  // A limit that grows from a utilization of 1 on is used up by servers that
  // exceed it for a moment; a hot range can then not be split.
  const double Share = Utilization > Policy.m_severeUtilization
                           ? 1.0
                           : Policy.m_ordinaryRangeShare;
  return static_cast<std::size_t>(Share *
                                  static_cast<double>(Policy.m_maxRanges));
}

/// Returns a move to the least utilized server from the most utilized server
/// that has suitable keys. A server that a single key overloads keeps that key.
/// Sets \p Limit to the reason why the busiest server keeps its keys.
///
/// The hot keys of an overloaded server may lie in many short ranges, none of
/// which carries half of the excess load. A whole range is moved in this case;
/// otherwise no keys would move for the rest of the day.
std::optional<PlannedMove>
planMove(const std::vector<PlacedRange> &Ranges, const ServerLoads &Current,
         const std::map<std::string, double> &Capacity,
         const std::vector<KeyRate> &Rates, bool MayMoveWhole,
         const PlacementPolicy &Policy, PlacementLimit &Limit) {
  Limit = PlacementLimit::Balanced;
  const auto NoteLimit = [&Limit](PlacementLimit Value) {
    if (Limit == PlacementLimit::Balanced)
      Limit = Value;
  };
  const double Level =
      std::max(Policy.m_busyUtilization, meanUtilization(Current, Capacity));
  std::vector<std::pair<double, std::string>> ByUtilization;
  for (const auto &[Server, Rate] : Capacity)
    ByUtilization.emplace_back(utilization(Server, Current, Capacity), Server);
  std::sort(ByUtilization.begin(), ByUtilization.end());
  const auto &[Low, Target] = ByUtilization.front();
  const double TargetCapacity = std::max(0.1, Capacity.at(Target));
  for (std::size_t I = ByUtilization.size() - 1; I > 0; --I) {
    const double High = ByUtilization[I].first;
    const std::string &Hot = ByUtilization[I].second;
    const bool IsUnequal = High > Policy.m_busyUtilization &&
                           High - Low > Policy.m_minUtilizationGap;
    if (Low > 0 && !IsUnequal)
      return std::nullopt;
    const double HotCapacity = std::max(0.1, Capacity.at(Hot));
    // Load pattern: adjacent keys of one server suddenly get many times what it
    // can serve. Half of that would overload the target too, and the keys could
    // not move on for the time of a move; so each target gets only what it has
    // room for, and one round spreads the load over many targets.
    const double Excess = (High - Low) * HotCapacity * TargetCapacity /
                          (HotCapacity + TargetCapacity);
    const double Room =
        std::max(Level - Low, Policy.m_minUtilizationGap / 2) * TargetCapacity;
    const WantedLoad Wanted = Excess <= Room
                                  ? WantedLoad{Excess, MinExcessFraction}
                                  : WantedLoad{Room, MinRoomFraction};
    const bool CanSplit = Ranges.size() < maxRangesFor(High, Policy);
    const auto FindWholeRange = [&] {
      return findWholeRange(Hot, Policy.m_minWholeRangeShare * HotCapacity,
                            Wanted.m_load, Ranges, Rates,
                            Current.m_uniformRatePerKey);
    };
    const std::optional<KeyRange> Found =
        CanSplit ? findPartToMove(Hot, Wanted, Ranges, Rates,
                                  Current.m_uniformRatePerKey)
                 : FindWholeRange();
    if (Found)
      return PlannedMove{{Found->m_from, Found->m_to, Target}, false};
    const double HotKeyRate = Policy.m_dominantKeyShare * HotCapacity;
    if (hasDominantKey(Hot, HotKeyRate, Ranges, Rates)) {
      const std::optional<KeyRange> Beside =
          CanSplit && IsUnequal
              ? findBesideHotKey(Hot, HotKeyRate,
                                 Policy.m_minWholeRangeShare * HotCapacity,
                                 Room, Ranges, Rates)
              : std::nullopt;
      if (Beside)
        return PlannedMove{{Beside->m_from, Beside->m_to, Target}, false};
      NoteLimit(PlacementLimit::SingleKey);
      continue;
    }
    const bool CanUnload = CanSplit && MayMoveWhole &&
                           High >= Policy.m_overloadedUtilization &&
                           Low < Policy.m_idleUtilization;
    const std::optional<KeyRange> Whole =
        CanUnload ? FindWholeRange() : std::nullopt;
    if (Whole)
      return PlannedMove{{Whole->m_from, Whole->m_to, Target}, true};
    // Ranges that have just moved must not keep other servers overloaded.
    if (!IsUnequal)
      return std::nullopt;
    NoteLimit(CanSplit ? PlacementLimit::NoPart : PlacementLimit::RangeLimit);
  }
  return std::nullopt;
}

/// Returns \p Ranges after \p Move. The moved keys can't move again in this
/// round.
std::vector<PlacedRange> applyMove(const std::vector<PlacedRange> &Ranges,
                                   const KeyMove &Move) {
  std::vector<PlacedRange> Out;
  for (const PlacedRange &Range : Ranges) {
    const KeyRange &Keys = Range.m_keys;
    if (Move.m_to < Keys.m_from || Move.m_from > Keys.m_to) {
      Out.push_back(Range);
      continue;
    }
    if (Keys.m_from < Move.m_from)
      Out.push_back(
          {{Keys.m_from, static_cast<Key>(Move.m_from - 1), Keys.m_server},
           Range.m_canMove});
    Out.push_back({{std::max(Keys.m_from, Move.m_from),
                    std::min(Keys.m_to, Move.m_to), Move.m_target},
                   false});
    if (Keys.m_to > Move.m_to)
      Out.push_back(
          {{static_cast<Key>(Move.m_to + 1), Keys.m_to, Keys.m_server},
           Range.m_canMove});
  }
  return Out;
}

} // namespace

const char *toText(PlacementLimit Value) noexcept {
  switch (Value) {
  case PlacementLimit::None:
    return "none";
  case PlacementLimit::Balanced:
    return "balanced";
  case PlacementLimit::NoServer:
    return "no-server";
  case PlacementLimit::MoveLimit:
    return "move-limit";
  case PlacementLimit::RangeLimit:
    return "range-limit";
  case PlacementLimit::SingleKey:
    return "single-key";
  case PlacementLimit::NoPart:
    return "no-part";
  }
  return "unknown";
}

std::vector<KeyMove> planKeyMoves(const std::vector<PlacedRange> &Ranges,
                                  const std::map<std::string, double> &Capacity,
                                  const std::vector<KeyRate> &Rates,
                                  const PlacementPolicy &Policy) {
  return planPlacement(Ranges, Capacity, Rates, Policy).m_moves;
}

Placement planPlacement(const std::vector<PlacedRange> &Ranges,
                        const std::map<std::string, double> &Capacity,
                        const std::vector<KeyRate> &Rates,
                        const PlacementPolicy &Policy) {
  Placement Out;
  Out.m_limit = PlacementLimit::NoServer;
  if (Capacity.empty())
    return Out;
  double Total = MinTotalLoad;
  for (const KeyRate &Item : Rates)
    Total += Item.m_rate;
  ServerLoads Current;
  Current.m_uniformRatePerKey = Policy.m_uniformLoadShare * Total / KeyCount;
  const bool IsUnassigned =
      std::all_of(Ranges.begin(), Ranges.end(), [&](const PlacedRange &Range) {
        return Capacity.count(Range.m_keys.m_server) == 0;
      });
  if (IsUnassigned) {
    Out.m_moves = distributeAll(Capacity, Rates, Current.m_uniformRatePerKey);
    Out.m_limit = PlacementLimit::Balanced;
    return Out;
  }
  for (const PlacedRange &Range : Ranges)
    if (Capacity.count(Range.m_keys.m_server) > 0)
      Current.m_byServer[Range.m_keys.m_server] +=
          loadOf(Range.m_keys, Rates, Current.m_uniformRatePerKey);
  for (const PlacedRange &Range : Ranges)
    if (Capacity.count(Range.m_keys.m_server) == 0)
      distributeRange(Range.m_keys,
                      Ranges.size() + Out.m_moves.size() < Policy.m_maxRanges,
                      Capacity, Rates, Current, Out.m_moves);

  std::vector<PlacedRange> After = Ranges;
  std::size_t WholeMoves = 0;
  Out.m_limit = PlacementLimit::MoveLimit;
  for (std::size_t I = 0; I < Policy.m_maxMovesPerRound; ++I) {
    PlacementLimit Limit = PlacementLimit::None;
    const std::optional<PlannedMove> Found =
        planMove(After, Current, Capacity, Rates,
                 WholeMoves < Policy.m_maxWholeMovesPerRound, Policy, Limit);
    if (!Found) {
      Out.m_limit = Limit;
      break;
    }
    WholeMoves += Found->m_isWhole ? 1 : 0;
    const KeyMove *Move = &Found->m_move;
    for (const PlacedRange &Range : After)
      if (Range.m_keys.m_from <= Move->m_from &&
          Move->m_to <= Range.m_keys.m_to) {
        const double Load = loadOf({Move->m_from, Move->m_to, ""}, Rates,
                                   Current.m_uniformRatePerKey);
        Current.m_byServer[Range.m_keys.m_server] -= Load;
        Current.m_byServer[Move->m_target] += Load;
      }
    After = applyMove(After, *Move);
    Out.m_moves.push_back(*Move);
  }
  for (const auto &[Server, Rate] : Capacity) {
    const double Value = utilization(Server, Current, Capacity);
    if (Value <= Out.m_busiestUtilization)
      continue;
    Out.m_busiest = Server;
    Out.m_busiestUtilization = Value;
  }
  return Out;
}

} // namespace tamarackdrum::gateway

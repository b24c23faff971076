#include "tamarackdrum/gateway/key-placement.h"

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
/// A range without a holder is split into at most this many parts.
constexpr std::uint32_t MaxPiecesPerRange = 4;

/// Load that a move should carry.
struct WantedLoad {
  double m_load = 0;
  double m_minFraction = MinExcessFraction;

  double min() const { return m_load * m_minFraction; }
  double max() const { return m_load * MaxExcessFraction; }
};

struct ServerLoads {
  std::map<std::string, double> m_byServer;
  double m_uniformRatePerKey = 0;
};

std::uint32_t widthOf(const KeyRange &Keys) {
  return static_cast<std::uint32_t>(Keys.m_to) - Keys.m_from + 1;
}

/// Returns the part of \p Rates that belongs to \p Keys.
std::span<const KeyRate> ratesIn(const KeyRange &Keys,
                                 const std::vector<KeyRate> &Rates) {
  const auto First = std::lower_bound(
      Rates.begin(), Rates.end(), Keys.m_from,
      [](const KeyRate &Item, Key From) { return Item.m_key < From; });
  const auto End = std::upper_bound(
      First, Rates.end(), Keys.m_to,
      [](Key To, const KeyRate &Item) { return To < Item.m_key; });
  return {First, End};
}

/// Returns the requests per second for \p Keys, including the uniform load.
double loadOf(const KeyRange &Keys, const std::vector<KeyRate> &Rates,
              double UniformRatePerKey) {
  double Sum = UniformRatePerKey * widthOf(Keys);
  for (const KeyRate &Item : ratesIn(Keys, Rates))
    Sum += Item.m_rate;
  return Sum;
}

double utilization(const std::string &Server, const ServerLoads &Current,
                   const std::map<std::string, double> &Capacity) {
  const auto Load = Current.m_byServer.find(Server);
  return (Load == Current.m_byServer.end() ? 0 : Load->second) /
         std::max(0.1, Capacity.at(Server));
}

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

/// Returns the server that has the lowest utilization once it gets a load of
/// \p Added.
std::string leastUtilized(const ServerLoads &Current,
                          const std::map<std::string, double> &Capacity,
                          double Added) {
  std::string Best;
  double Lowest = 0;
  for (const auto &[Server, Rate] : Capacity) {
    const double Value =
        utilization(Server, Current, Capacity) + Added / std::max(0.1, Rate);
    if (Best.empty() || Value < Lowest) {
      Best = Server;
      Lowest = Value;
    }
  }
  return Best;
}

/// Returns moves that distribute all keys in proportion to capacity.
std::vector<KeyMove>
distributeAll(const std::map<std::string, double> &Capacity) {
  double Total = 0;
  for (const auto &[Server, Rate] : Capacity)
    Total += Rate;
  std::vector<KeyMove> Out;
  double Sum = 0;
  std::uint32_t From = 0;
  for (const auto &[Server, Rate] : Capacity) {
    Sum += Rate;
    const std::uint32_t End = std::min<std::uint32_t>(
        KeyCount,
        static_cast<std::uint32_t>(std::lround(KeyCount * Sum / Total)));
    if (End > From)
      Out.push_back(
          {static_cast<Key>(From), static_cast<Key>(End - 1), Server});
    From = std::max(From, End);
  }
  return Out;
}

/// Appends moves that distribute a range without a holder over the least
/// utilized servers, in up to \p MaxPieces parts.
void distributeRange(const KeyRange &Keys, std::uint32_t MaxPieces,
                     const std::map<std::string, double> &Capacity,
                     const std::vector<KeyRate> &Rates, ServerLoads &Current,
                     std::vector<KeyMove> &Out) {
  const std::uint32_t Width = widthOf(Keys);
  const std::uint32_t Share = std::max<std::uint32_t>(
      1, KeyCount / static_cast<std::uint32_t>(2 * Capacity.size()));
  const std::uint32_t Pieces =
      std::min({MaxPieces, Width, std::max<std::uint32_t>(1, Width / Share)});
  for (std::uint32_t I = 0; I < Pieces; ++I) {
    const std::uint32_t From = Keys.m_from + Width * I / Pieces;
    const std::uint32_t To = Keys.m_from + Width * (I + 1) / Pieces - 1;
    const KeyRange Piece{static_cast<Key>(From), static_cast<Key>(To), ""};
    const double Load = loadOf(Piece, Rates, Current.m_uniformRatePerKey);
    const std::string Target = leastUtilized(Current, Capacity, Load);
    Current.m_byServer[Target] += Load;
    Out.push_back({Piece.m_from, Piece.m_to, Target});
  }
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

/// A move that takes load off a server.
struct PlannedMove {
  KeyMove m_move;
  bool m_isWhole = false; ///< Moves a whole range that may have little load.
};

/// Returns a move to the least utilized server from the most utilized server
/// that has suitable keys. A server that is overloaded by a single key is
/// skipped, since moving its other keys helps little.
///
/// The hot keys of an overloaded server may lie in many short ranges, none of
/// which carries half of the excess load. A whole range is moved in this case;
/// otherwise no keys would move for the rest of the day.
std::optional<PlannedMove>
planMove(const std::vector<PlacedRange> &Ranges, const ServerLoads &Current,
         const std::map<std::string, double> &Capacity,
         const std::vector<KeyRate> &Rates, bool MayMoveWhole,
         const PlacementPolicy &Policy) {
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
    const bool CanSplit = Ranges.size() < Policy.m_maxRanges;
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
    if (hasDominantKey(Hot, Policy.m_dominantKeyShare * HotCapacity, Ranges,
                       Rates))
      continue;
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

std::vector<KeyMove> planKeyMoves(const std::vector<PlacedRange> &Ranges,
                                  const std::map<std::string, double> &Capacity,
                                  const std::vector<KeyRate> &Rates,
                                  const PlacementPolicy &Policy) {
  if (Capacity.empty())
    return {};
  const bool IsUnassigned =
      std::all_of(Ranges.begin(), Ranges.end(), [&](const PlacedRange &Range) {
        return Capacity.count(Range.m_keys.m_server) == 0;
      });
  if (IsUnassigned)
    return distributeAll(Capacity);

  double Total = MinTotalLoad;
  for (const KeyRate &Item : Rates)
    Total += Item.m_rate;
  ServerLoads Current;
  Current.m_uniformRatePerKey = Policy.m_uniformLoadShare * Total / KeyCount;
  std::vector<KeyMove> Out;
  for (const PlacedRange &Range : Ranges)
    if (Capacity.count(Range.m_keys.m_server) > 0)
      Current.m_byServer[Range.m_keys.m_server] +=
          loadOf(Range.m_keys, Rates, Current.m_uniformRatePerKey);
  for (const PlacedRange &Range : Ranges)
    if (Capacity.count(Range.m_keys.m_server) == 0)
      distributeRange(Range.m_keys,
                      Ranges.size() + Out.size() < Policy.m_maxRanges
                          ? MaxPiecesPerRange
                          : 1,
                      Capacity, Rates, Current, Out);

  std::vector<PlacedRange> After = Ranges;
  std::size_t WholeMoves = 0;
  for (std::size_t I = 0; I < Policy.m_maxMovesPerRound; ++I) {
    const std::optional<PlannedMove> Found =
        planMove(After, Current, Capacity, Rates,
                 WholeMoves < Policy.m_maxWholeMovesPerRound, Policy);
    if (!Found)
      break;
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
    Out.push_back(*Move);
  }
  return Out;
}

} // namespace tamarackdrum::gateway

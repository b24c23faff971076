#include "tamarackdrum/gateway/key-placement.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <span>

namespace tamarackdrum::gateway {
namespace {

/// Load assumed of all keys together where nothing has been asked for yet, in
/// requests a second.
constexpr double IdleLoad = 1.0;
/// A window of keys is moved if its load lies this close to the excess.
constexpr double LeastFit = 0.5;
constexpr double MostFit = 1.3;
/// A range without a holder goes to this many servers at most.
constexpr std::uint32_t PiecesOfRange = 4;

struct Loads {
  std::map<std::string, double> m_byServer;
  double m_spreadPerKey = 0;
};

std::uint32_t widthOf(const KeyRange &Keys) {
  return static_cast<std::uint32_t>(Keys.m_to) - Keys.m_from + 1;
}

/// Returns the rates of \p Keys.
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

double loadOf(const KeyRange &Keys, const std::vector<KeyRate> &Rates,
              double SpreadPerKey) {
  double Sum = SpreadPerKey * widthOf(Keys);
  for (const KeyRate &Item : ratesIn(Keys, Rates))
    Sum += Item.m_rate;
  return Sum;
}

double utilization(const std::string &Server, const Loads &Current,
                   const std::map<std::string, double> &Capacity) {
  const auto Load = Current.m_byServer.find(Server);
  return (Load == Current.m_byServer.end() ? 0 : Load->second) /
         std::max(0.1, Capacity.at(Server));
}

std::string coolest(const Loads &Current,
                    const std::map<std::string, double> &Capacity,
                    double Added) {
  std::string Best;
  double Least = 0;
  for (const auto &[Server, Rate] : Capacity) {
    const double Value =
        utilization(Server, Current, Capacity) + Added / std::max(0.1, Rate);
    if (Best.empty() || Value < Least) {
      Best = Server;
      Least = Value;
    }
  }
  return Best;
}

/// Deals all keys out in proportion to capacity.
std::vector<KeyMove> dealAll(const std::map<std::string, double> &Capacity) {
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

/// Deals the keys of one range without a holder to the servers with most room.
void rehome(const KeyRange &Keys, std::uint32_t MostPieces,
            const std::map<std::string, double> &Capacity,
            const std::vector<KeyRate> &Rates, Loads &Current,
            std::vector<KeyMove> &Out) {
  const std::uint32_t Width = widthOf(Keys);
  const std::uint32_t Share = std::max<std::uint32_t>(
      1, KeyCount / static_cast<std::uint32_t>(2 * Capacity.size()));
  const std::uint32_t Pieces =
      std::min({MostPieces, Width, std::max<std::uint32_t>(1, Width / Share)});
  for (std::uint32_t I = 0; I < Pieces; ++I) {
    const std::uint32_t From = Keys.m_from + Width * I / Pieces;
    const std::uint32_t To = Keys.m_from + Width * (I + 1) / Pieces - 1;
    const KeyRange Piece{static_cast<Key>(From), static_cast<Key>(To), ""};
    const double Load = loadOf(Piece, Rates, Current.m_spreadPerKey);
    const std::string Target = coolest(Current, Capacity, Load);
    Current.m_byServer[Target] += Load;
    Out.push_back({Piece.m_from, Piece.m_to, Target});
  }
}

/// Returns the narrowest part of \p Keys whose load is about \p Wanted.
std::optional<KeyRange> findWindow(const KeyRange &Keys, double Wanted,
                                   const std::vector<KeyRate> &Rates,
                                   double SpreadPerKey) {
  const std::span<const KeyRate> Own = ratesIn(Keys, Rates);
  std::optional<KeyRange> Best;
  std::size_t First = 0;
  double Sum = 0;
  for (std::size_t Last = 0; Last < Own.size(); ++Last) {
    Sum += Own[Last].m_rate;
    while (First < Last && Sum - Own[First].m_rate >= Wanted * LeastFit)
      Sum -= Own[First++].m_rate;
    if (Sum < Wanted * LeastFit || Sum > Wanted * MostFit)
      continue;
    const KeyRange Found{Own[First].m_key, Own[Last].m_key, ""};
    if (!Best || widthOf(Found) < widthOf(*Best))
      Best = Found;
  }
  if (Best)
    return Best;
  // Nothing was asked for: cut a part off by its number of keys.
  const double Whole = loadOf(Keys, Rates, SpreadPerKey);
  if (!Own.empty() || Whole <= 0)
    return std::nullopt;
  const std::uint32_t Width = std::clamp<std::uint32_t>(
      static_cast<std::uint32_t>(widthOf(Keys) * Wanted / Whole), 1,
      widthOf(Keys));
  return KeyRange{static_cast<Key>(Keys.m_to - Width + 1), Keys.m_to, ""};
}

/// Returns whether one key alone keeps \p Server busy.
bool hasDominantKey(const std::string &Server, double Least,
                    const std::vector<PlacedRange> &Ranges,
                    const std::vector<KeyRate> &Rates) {
  return std::any_of(
      Ranges.begin(), Ranges.end(), [&](const PlacedRange &Range) {
        const std::span<const KeyRate> Own = ratesIn(Range.m_keys, Rates);
        return Range.m_keys.m_server == Server &&
               std::any_of(Own.begin(), Own.end(), [Least](const KeyRate &Key) {
                 return Key.m_rate >= Least;
               });
      });
}

/// Returns the narrowest part of what \p Hot holds whose load is about
/// \p Excess.
std::optional<KeyRange> findPart(const std::string &Hot, double Excess,
                                 const std::vector<PlacedRange> &Ranges,
                                 const std::vector<KeyRate> &Rates,
                                 double SpreadPerKey) {
  std::optional<KeyRange> Best;
  for (const PlacedRange &Range : Ranges) {
    if (!Range.m_canMove || Range.m_keys.m_server != Hot)
      continue;
    const std::optional<KeyRange> Found =
        findWindow(Range.m_keys, Excess, Rates, SpreadPerKey);
    if (Found && (!Best || widthOf(*Found) < widthOf(*Best)))
      Best = Found;
  }
  return Best;
}

/// Returns the busiest range of \p Hot whose load is between \p Least and about
/// \p Excess.
std::optional<KeyRange> findWhole(const std::string &Hot, double Least,
                                  double Excess,
                                  const std::vector<PlacedRange> &Ranges,
                                  const std::vector<KeyRate> &Rates,
                                  double SpreadPerKey) {
  std::optional<KeyRange> Best;
  double Most = Least;
  for (const PlacedRange &Range : Ranges) {
    if (!Range.m_canMove || Range.m_keys.m_server != Hot)
      continue;
    const double Load = loadOf(Range.m_keys, Rates, SpreadPerKey);
    if (Load < Most || Load > Excess * MostFit)
      continue;
    Best = Range.m_keys;
    Most = Load;
  }
  return Best;
}

/// A move that relieves a server.
struct Relief {
  KeyMove m_move;
  bool m_isWhole = false; ///< A whole range, though it may carry little.
};

/// Returns one move from the busiest server that can be relieved to the one
/// with most room. One that a single key keeps busy can't: moving its other
/// keys gains little.
///
/// Load pattern: the busy keys of an overloaded server lie in many short
/// ranges, none of which carries half of the excess. Whole ranges are moved
/// then; without that, nothing moved for the rest of the day.
std::optional<Relief> planRelief(const std::vector<PlacedRange> &Ranges,
                                 const Loads &Current,
                                 const std::map<std::string, double> &Capacity,
                                 const std::vector<KeyRate> &Rates,
                                 bool MayMoveWhole,
                                 const PlacementPolicy &Policy) {
  std::vector<std::pair<double, std::string>> ByUse;
  for (const auto &[Server, Rate] : Capacity)
    ByUse.emplace_back(utilization(Server, Current, Capacity), Server);
  std::sort(ByUse.begin(), ByUse.end());
  const auto &[Low, Cold] = ByUse.front();
  const double CapCold = std::max(0.1, Capacity.at(Cold));
  for (std::size_t I = ByUse.size() - 1; I > 0; --I) {
    const double High = ByUse[I].first;
    const std::string &Hot = ByUse[I].second;
    const bool IsUnequal = High > Policy.m_busyUtilization &&
                           High - Low > Policy.m_minUtilizationGap;
    if (Low > 0 && !IsUnequal)
      return std::nullopt;
    const double CapHot = std::max(0.1, Capacity.at(Hot));
    const double Excess = (High - Low) * CapHot * CapCold / (CapHot + CapCold);
    const bool CanSplit = Ranges.size() < Policy.m_maxRanges;
    const auto FindWhole = [&] {
      return findWhole(Hot, Policy.m_minWholeRangeShare * CapHot, Excess,
                       Ranges, Rates, Current.m_spreadPerKey);
    };
    const std::optional<KeyRange> Found =
        CanSplit ? findPart(Hot, Excess, Ranges, Rates, Current.m_spreadPerKey)
                 : FindWhole();
    if (Found)
      return Relief{{Found->m_from, Found->m_to, Cold}, false};
    if (hasDominantKey(Hot, Policy.m_dominantKeyShare * CapHot, Ranges, Rates))
      continue;
    const bool CanUnload = CanSplit && MayMoveWhole &&
                           High >= Policy.m_overloadedUtilization &&
                           Low < Policy.m_idleUtilization;
    const std::optional<KeyRange> Whole =
        CanUnload ? FindWhole() : std::nullopt;
    if (Whole)
      return Relief{{Whole->m_from, Whole->m_to, Cold}, true};
    return std::nullopt;
  }
  return std::nullopt;
}

/// Returns \p Ranges with \p Move carried out and its keys not to be moved on.
std::vector<PlacedRange> withMove(const std::vector<PlacedRange> &Ranges,
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
  const bool HasNone =
      std::all_of(Ranges.begin(), Ranges.end(), [&](const PlacedRange &Range) {
        return Capacity.count(Range.m_keys.m_server) == 0;
      });
  if (HasNone)
    return dealAll(Capacity);

  double Total = IdleLoad;
  for (const KeyRate &Item : Rates)
    Total += Item.m_rate;
  Loads Current;
  Current.m_spreadPerKey = Policy.m_uniformLoadShare * Total / KeyCount;
  std::vector<KeyMove> Out;
  for (const PlacedRange &Range : Ranges)
    if (Capacity.count(Range.m_keys.m_server) > 0)
      Current.m_byServer[Range.m_keys.m_server] +=
          loadOf(Range.m_keys, Rates, Current.m_spreadPerKey);
  for (const PlacedRange &Range : Ranges)
    if (Capacity.count(Range.m_keys.m_server) == 0)
      rehome(Range.m_keys,
             Ranges.size() + Out.size() < Policy.m_maxRanges ? PiecesOfRange
                                                             : 1,
             Capacity, Rates, Current, Out);

  std::vector<PlacedRange> After = Ranges;
  std::size_t WholeMoves = 0;
  for (std::size_t I = 0; I < Policy.m_maxMovesPerRound; ++I) {
    const std::optional<Relief> Found =
        planRelief(After, Current, Capacity, Rates,
                   WholeMoves < Policy.m_maxWholeMovesPerRound, Policy);
    if (!Found)
      break;
    WholeMoves += Found->m_isWhole ? 1 : 0;
    const KeyMove *Move = &Found->m_move;
    for (const PlacedRange &Range : After)
      if (Range.m_keys.m_from <= Move->m_from &&
          Move->m_to <= Range.m_keys.m_to) {
        const double Load = loadOf({Move->m_from, Move->m_to, ""}, Rates,
                                   Current.m_spreadPerKey);
        Current.m_byServer[Range.m_keys.m_server] -= Load;
        Current.m_byServer[Move->m_target] += Load;
      }
    After = withMove(After, *Move);
    Out.push_back(*Move);
  }
  return Out;
}

} // namespace tamarackdrum::gateway

// The part of the planner that places keys without a holder.

#include "key-placement-detail.h"

#include <cmath>

namespace tamarackdrum::gateway {
namespace {

/// A range without a holder is split into at most this many parts.
constexpr std::uint32_t MaxPiecesPerRange = 4;
/// ... or as many as its load requires, if each is to use no more than
/// MaxPieceUtilization of a mean server.
constexpr double MaxPieceUtilization = 0.5;
constexpr std::uint32_t MaxPiecesByLoad = 20;

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

/// Returns how many of the first keys of \p Keys carry \p Share of its load.
std::uint32_t widthWithShare(const KeyRange &Keys, double Share,
                             const std::vector<KeyRate> &Rates,
                             double UniformRatePerKey) {
  const std::uint32_t Width = widthOf(Keys);
  const std::span<const KeyRate> Own = ratesIn(Keys, Rates);
  if (Own.empty())
    return std::min(Width,
                    static_cast<std::uint32_t>(std::lround(Width * Share)));
  const double Wanted = Share * loadOf(Keys, Rates, UniformRatePerKey);
  double Before = 0; // Load of the keys with a rate.
  for (const KeyRate &Item : Own) {
    const double Index = Item.m_key - Keys.m_from;
    if (Before + UniformRatePerKey * Index >= Wanted)
      break;
    Before += Item.m_rate;
    if (Before + UniformRatePerKey * (Index + 1) >= Wanted)
      return static_cast<std::uint32_t>(Index) + 1;
  }
  return std::min(Width, static_cast<std::uint32_t>(std::lround(
                             (Wanted - Before) / UniformRatePerKey)));
}

} // namespace

std::vector<KeyMove>
distributeAll(const std::map<std::string, double> &Capacity,
              const std::vector<KeyRate> &Rates, double UniformRatePerKey) {
  const KeyRange All{0, static_cast<Key>(KeyCount - 1), ""};
  double Total = 0;
  for (const auto &[Server, Rate] : Capacity)
    Total += Rate;
  std::vector<KeyMove> Out;
  double Sum = 0;
  std::uint32_t From = 0;
  for (const auto &[Server, Rate] : Capacity) {
    Sum += Rate;
    const std::uint32_t End =
        Server == Capacity.rbegin()->first
            ? KeyCount
            : widthWithShare(All, Sum / Total, Rates, UniformRatePerKey);
    if (End > From)
      Out.push_back(
          {static_cast<Key>(From), static_cast<Key>(End - 1), Server});
    From = std::max(From, End);
  }
  return Out;
}

void distributeRange(const KeyRange &Keys, bool MaySplit,
                     const std::map<std::string, double> &Capacity,
                     const std::vector<KeyRate> &Rates, ServerLoads &Current,
                     std::vector<KeyMove> &Out) {
  const std::uint32_t Width = widthOf(Keys);
  const std::uint32_t Share = std::max<std::uint32_t>(
      1, KeyCount / static_cast<std::uint32_t>(2 * Capacity.size()));
  double Total = 0;
  for (const auto &[Server, Rate] : Capacity)
    Total += Rate;
  // A narrow range may carry the load of several servers.
  const double LoadShare = loadOf(Keys, Rates, Current.m_uniformRatePerKey) *
                           static_cast<double>(Capacity.size()) /
                           (MaxPieceUtilization * std::max(0.1, Total));
  const std::uint32_t ByWidth = std::min(MaxPiecesPerRange, Width / Share);
  const std::uint32_t ByLoad = std::min(
      MaxPiecesByLoad, static_cast<std::uint32_t>(std::ceil(LoadShare)));
  const std::uint32_t Pieces =
      MaySplit ? std::clamp(std::max(ByWidth, ByLoad), std::uint32_t{1}, Width)
               : 1;
  std::uint32_t Done = 0;
  for (std::uint32_t I = 0; I < Pieces; ++I) {
    const std::uint32_t End =
        I + 1 == Pieces ? Width
                        : widthWithShare(Keys, (I + 1.0) / Pieces, Rates,
                                         Current.m_uniformRatePerKey);
    if (End <= Done)
      continue;
    const std::uint32_t From = Keys.m_from + Done;
    const std::uint32_t To = Keys.m_from + End - 1;
    Done = End;
    const KeyRange Piece{static_cast<Key>(From), static_cast<Key>(To), ""};
    const double Load = loadOf(Piece, Rates, Current.m_uniformRatePerKey);
    const std::string Target = leastUtilized(Current, Capacity, Load);
    Current.m_byServer[Target] += Load;
    Out.push_back({Piece.m_from, Piece.m_to, Target});
  }
}

} // namespace tamarackdrum::gateway

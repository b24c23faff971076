/// \file
/// Helpers that the parts of the planner of keys share.

#ifndef TAMARACKDRUM_SRC_GATEWAY_KEY_PLACEMENT_DETAIL_H
#define TAMARACKDRUM_SRC_GATEWAY_KEY_PLACEMENT_DETAIL_H

#include "tamarackdrum/gateway/key-placement.h"

#include <algorithm>
#include <span>

namespace tamarackdrum::gateway {

struct ServerLoads {
  std::map<std::string, double> m_byServer;
  double m_uniformRatePerKey = 0;
};

inline std::uint32_t widthOf(const KeyRange &Keys) {
  return static_cast<std::uint32_t>(Keys.m_to) - Keys.m_from + 1;
}

/// Returns the part of \p Rates that belongs to \p Keys.
inline std::span<const KeyRate> ratesIn(const KeyRange &Keys,
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
inline double loadOf(const KeyRange &Keys, const std::vector<KeyRate> &Rates,
                     double UniformRatePerKey) {
  double Sum = UniformRatePerKey * widthOf(Keys);
  for (const KeyRate &Item : ratesIn(Keys, Rates))
    Sum += Item.m_rate;
  return Sum;
}

inline double utilization(const std::string &Server, const ServerLoads &Current,
                          const std::map<std::string, double> &Capacity) {
  const auto Load = Current.m_byServer.find(Server);
  return (Load == Current.m_byServer.end() ? 0 : Load->second) /
         std::max(0.1, Capacity.at(Server));
}

/// Returns moves that distribute all keys so that the load is in proportion to
/// capacity.
std::vector<KeyMove>
distributeAll(const std::map<std::string, double> &Capacity,
              const std::vector<KeyRate> &Rates, double UniformRatePerKey);

/// Appends moves that distribute a range without a holder over the least
/// utilized servers, in parts of equal load if \p MaySplit.
void distributeRange(const KeyRange &Keys, bool MaySplit,
                     const std::map<std::string, double> &Capacity,
                     const std::vector<KeyRate> &Rates, ServerLoads &Current,
                     std::vector<KeyMove> &Out);

} // namespace tamarackdrum::gateway

#endif // TAMARACKDRUM_SRC_GATEWAY_KEY_PLACEMENT_DETAIL_H

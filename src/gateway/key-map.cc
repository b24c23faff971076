#include "tamarackdrum/gateway/key-map.h"

#include <algorithm>
#include <cmath>

namespace tamarackdrum::gateway {
namespace {

/// Weights below this are dropped: about 4 time constants after one arrival.
constexpr double LeastWeight = 0.02;
/// Shortest span between two decays; bounds the work on each arrival.
constexpr Millis DecayStep{200};

} // namespace

const std::string &KeyMap::holderOf(Key Value) const {
  static const std::string Nobody;
  const auto After = std::upper_bound(
      m_holdings.begin(), m_holdings.end(), Value,
      [](Key Wanted, const KeyHolding &Item) { return Wanted < Item.m_from; });
  if (After == m_holdings.begin())
    return Nobody;
  const KeyHolding &Found = *std::prev(After);
  return Value <= Found.m_to ? Found.m_server : Nobody;
}

void KeyLoad::note(Key Value, TimePoint Now) {
  decay(Now);
  m_weights[Value] += 1;
}

void KeyLoad::decay(TimePoint Now) {
  if (m_decayedAt == TimePoint{}) {
    m_decayedAt = Now;
    m_toRate = 1000.0 / static_cast<double>(m_memory.count());
    return;
  }
  if (Now - m_decayedAt < DecayStep)
    return;
  const double Factor =
      std::exp(-std::chrono::duration<double>(Now - m_decayedAt).count() /
               std::chrono::duration<double>(m_memory).count());
  m_decayedAt = Now;
  for (auto Item = m_weights.begin(); Item != m_weights.end();) {
    Item->second *= Factor;
    Item = Item->second < LeastWeight ? m_weights.erase(Item) : std::next(Item);
  }
}

double KeyLoad::rate(std::uint32_t From, std::uint32_t To, TimePoint Now) {
  decay(Now);
  double Sum = 0;
  const auto End = m_weights.upper_bound(static_cast<Key>(To));
  for (auto Item = m_weights.lower_bound(static_cast<Key>(From)); Item != End;
       ++Item)
    Sum += Item->second;
  return Sum * m_toRate;
}

} // namespace tamarackdrum::gateway

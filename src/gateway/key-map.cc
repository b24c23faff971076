#include "tamarackdrum/gateway/key-map.h"

#include <algorithm>
#include <cmath>

namespace tamarackdrum::gateway {
namespace {

/// Weights below this are dropped: about 4 time constants after one arrival.
constexpr double LeastWeight = 0.02;
/// Shortest span between two decays; bounds the work on each arrival.
constexpr Millis DecayStep{200};

/// Appends the part of \p Holdings from \p From to before \p End.
void appendPart(std::vector<KeyHolding> &Out,
                const std::vector<KeyHolding> &Holdings, std::uint32_t From,
                std::uint32_t End) {
  for (const KeyHolding &Item : Holdings) {
    const std::uint32_t First = std::max<std::uint32_t>(From, Item.m_from);
    const std::uint32_t Next = std::min<std::uint32_t>(End, Item.m_to + 1U);
    if (First < Next)
      appendHolding(Out, {static_cast<Key>(First), static_cast<Key>(Next - 1),
                          Item.m_server});
  }
}

} // namespace

void appendHolding(std::vector<KeyHolding> &Out, const KeyHolding &Added) {
  if (!Out.empty() && Out.back().m_to + 1 == Added.m_from &&
      Out.back().m_server == Added.m_server)
    Out.back().m_to = Added.m_to;
  else
    Out.push_back(Added);
}

KeyMapChange wholeMap(const KeyMap &Map) {
  return {0, Map.version(), Map.holdings()};
}

KeyMapChange changeBetween(const KeyMap &Old, const KeyMap &Next) {
  if (Old.version() == 0 || Old.holdings().empty())
    return wholeMap(Next);
  KeyMapChange Out{Old.version(), Next.version(), {}};
  auto Before = Old.holdings().begin();
  for (const KeyHolding &Item : Next.holdings()) {
    while (Before != Old.holdings().end() && Before->m_to < Item.m_from)
      ++Before;
    for (auto At = Before;
         At != Old.holdings().end() && At->m_from <= Item.m_to; ++At)
      if (At->m_server != Item.m_server)
        appendHolding(Out.m_holdings,
                      {std::max(At->m_from, Item.m_from),
                       std::min(At->m_to, Item.m_to), Item.m_server});
  }
  return Out;
}

std::optional<KeyMap> applyChange(const KeyMap &Old,
                                  const KeyMapChange &Change) {
  if (Change.m_base == 0)
    return KeyMap(Change.m_version, Change.m_holdings);
  if (Change.m_base != Old.version())
    return std::nullopt;
  std::vector<KeyHolding> Holdings;
  std::uint32_t Done = 0;
  for (const KeyHolding &Item : Change.m_holdings) {
    appendPart(Holdings, Old.holdings(), Done, Item.m_from);
    appendHolding(Holdings, Item);
    Done = Item.m_to + 1U;
  }
  appendPart(Holdings, Old.holdings(), Done, KeyCount);
  return KeyMap(Change.m_version, std::move(Holdings));
}

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

std::vector<KeyRate> KeyLoad::rates(TimePoint Now) {
  decay(Now);
  std::vector<KeyRate> Out;
  Out.reserve(m_weights.size());
  for (const auto &[Value, Weight] : m_weights)
    Out.push_back({Value, Weight * m_toRate});
  return Out;
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

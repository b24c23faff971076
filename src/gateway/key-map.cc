#include "tamarackdrum/gateway/key-map.h"

#include <algorithm>
#include <cmath>

namespace tamarackdrum::gateway {
namespace {

/// Keys with a lower weight are dropped. A single request decays to this in
/// about 4 time constants.
constexpr double MinWeight = 0.02;
/// Shortest time between two decays. Bounds the work for each request.
constexpr Millis MinDecayInterval{200};

/// Appends the part of \p Ranges from key \p From to before key \p End.
void appendPart(std::vector<KeyRange> &Out, const std::vector<KeyRange> &Ranges,
                std::uint32_t From, std::uint32_t End) {
  for (const KeyRange &Item : Ranges) {
    const std::uint32_t First = std::max<std::uint32_t>(From, Item.m_from);
    const std::uint32_t Next = std::min<std::uint32_t>(End, Item.m_to + 1U);
    if (First < Next)
      appendRange(Out, {static_cast<Key>(First), static_cast<Key>(Next - 1),
                        Item.m_server});
  }
}

} // namespace

void appendRange(std::vector<KeyRange> &Out, const KeyRange &Added) {
  if (!Out.empty() && Out.back().m_to + 1 == Added.m_from &&
      Out.back().m_server == Added.m_server)
    Out.back().m_to = Added.m_to;
  else
    Out.push_back(Added);
}

KeyMapUpdate fullUpdate(const KeyMap &Map) {
  return {0, Map.version(), Map.ranges()};
}

KeyMapUpdate updateBetween(const KeyMap &Old, const KeyMap &Next) {
  if (Old.version() == 0 || Old.ranges().empty())
    return fullUpdate(Next);
  KeyMapUpdate Out{Old.version(), Next.version(), {}};
  auto Before = Old.ranges().begin();
  for (const KeyRange &Item : Next.ranges()) {
    while (Before != Old.ranges().end() && Before->m_to < Item.m_from)
      ++Before;
    for (auto At = Before; At != Old.ranges().end() && At->m_from <= Item.m_to;
         ++At)
      if (At->m_server != Item.m_server)
        appendRange(Out.m_ranges,
                    {std::max(At->m_from, Item.m_from),
                     std::min(At->m_to, Item.m_to), Item.m_server});
  }
  return Out;
}

std::optional<KeyMap> applyUpdate(const KeyMap &Old,
                                  const KeyMapUpdate &Update) {
  if (Update.m_baseVersion == 0)
    return KeyMap(Update.m_version, Update.m_ranges);
  if (Update.m_baseVersion != Old.version())
    return std::nullopt;
  std::vector<KeyRange> Ranges;
  std::uint32_t NextKey = 0;
  for (const KeyRange &Item : Update.m_ranges) {
    appendPart(Ranges, Old.ranges(), NextKey, Item.m_from);
    appendRange(Ranges, Item);
    NextKey = Item.m_to + 1U;
  }
  appendPart(Ranges, Old.ranges(), NextKey, KeyCount);
  return KeyMap(Update.m_version, std::move(Ranges));
}

const std::string &KeyMap::holderOf(Key Value) const {
  static const std::string NoHolder;
  const auto After = std::upper_bound(
      m_ranges.begin(), m_ranges.end(), Value,
      [](Key Wanted, const KeyRange &Item) { return Wanted < Item.m_from; });
  if (After == m_ranges.begin())
    return NoHolder;
  const KeyRange &Found = *std::prev(After);
  return Value <= Found.m_to ? Found.m_server : NoHolder;
}

void KeyLoad::countArrival(Key Value, TimePoint Now) {
  decay(Now);
  m_weights[Value] += 1;
}

void KeyLoad::decay(TimePoint Now) {
  if (m_decayedAt == TimePoint{}) {
    m_decayedAt = Now;
    m_weightToRate = 1000.0 / static_cast<double>(m_timeConstant.count());
    return;
  }
  if (Now - m_decayedAt < MinDecayInterval)
    return;
  const double Factor =
      std::exp(-std::chrono::duration<double>(Now - m_decayedAt).count() /
               std::chrono::duration<double>(m_timeConstant).count());
  m_decayedAt = Now;
  for (auto Item = m_weights.begin(); Item != m_weights.end();) {
    Item->second *= Factor;
    Item = Item->second < MinWeight ? m_weights.erase(Item) : std::next(Item);
  }
}

std::vector<KeyRate> KeyLoad::rates(TimePoint Now) {
  decay(Now);
  std::vector<KeyRate> Out;
  Out.reserve(m_weights.size());
  for (const auto &[Value, Weight] : m_weights)
    Out.push_back({Value, Weight * m_weightToRate});
  return Out;
}

double KeyLoad::rate(std::uint32_t From, std::uint32_t To, TimePoint Now) {
  decay(Now);
  double Sum = 0;
  const auto End = m_weights.upper_bound(static_cast<Key>(To));
  for (auto Item = m_weights.lower_bound(static_cast<Key>(From)); Item != End;
       ++Item)
    Sum += Item->second;
  return Sum * m_weightToRate;
}

} // namespace tamarackdrum::gateway

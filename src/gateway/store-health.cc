#include "tamarackdrum/gateway/store-health.h"

#include <algorithm>

namespace tamarackdrum::gateway {

Millis ReadPauses::take() {
  const Millis Out = m_next;
  m_next = std::min(2 * m_next, m_longest);
  return Out;
}

bool StoreHealth::note(bool IsGood, TimePoint AskedAt) {
  const bool WasLost = std::exchange(m_isLost, !IsGood);
  if (!IsGood) {
    m_goodSince = TimePoint{};
    return !WasLost;
  }
  if (m_goodSince == TimePoint{} || AskedAt - m_goodAt > m_longestGap)
    m_goodSince = AskedAt;
  m_goodAt = std::max(m_goodAt, AskedAt);
  return WasLost;
}

Millis StoreHealth::lostFor(TimePoint Now) const {
  if (!m_isLost)
    return Millis(0);
  if (m_goodAt == TimePoint{})
    return Millis(INT32_MAX);
  return std::max(Millis(1),
                  std::chrono::duration_cast<Millis>(Now - m_goodAt));
}

Millis StoreHealth::goodFor() const {
  if (m_goodSince == TimePoint{})
    return Millis(0);
  return std::chrono::duration_cast<Millis>(m_goodAt - m_goodSince);
}

} // namespace tamarackdrum::gateway

#include "tamarackdrum/gateway/store-health.h"

#include <algorithm>

namespace tamarackdrum::gateway {

Millis ReadBackoff::next() {
  const Millis Out = m_next;
  m_next = std::min(2 * m_next, m_max);
  return Out;
}

bool StoreHealth::recordCall(bool HasSucceeded, TimePoint SentAt) {
  const bool WasLost = std::exchange(m_isLost, !HasSucceeded);
  if (!HasSucceeded) {
    m_availableSince = TimePoint{};
    return !WasLost;
  }
  if (m_availableSince == TimePoint{} || SentAt - m_lastSuccessAt > m_maxGap)
    m_availableSince = SentAt;
  m_lastSuccessAt = std::max(m_lastSuccessAt, SentAt);
  return WasLost;
}

Millis StoreHealth::lostFor(TimePoint Now) const {
  if (!m_isLost)
    return Millis(0);
  if (m_lastSuccessAt == TimePoint{})
    return Millis(INT32_MAX);
  return std::max(Millis(1),
                  std::chrono::duration_cast<Millis>(Now - m_lastSuccessAt));
}

Millis StoreHealth::availableFor() const {
  if (m_availableSince == TimePoint{})
    return Millis(0);
  return std::chrono::duration_cast<Millis>(m_lastSuccessAt - m_availableSince);
}

} // namespace tamarackdrum::gateway

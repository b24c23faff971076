/// \file
/// What a host knows of its own way to the platform's store.

#ifndef TAMARACKDRUM_GATEWAY_STORE_HEALTH_H
#define TAMARACKDRUM_GATEWAY_STORE_HEALTH_H

#include "tamarackdrum/core.h"

namespace tamarackdrum::gateway {

/// Pauses between failed reads of the store: each twice the one before, up to
/// a longest one, since all hosts read when the store is away for all of them.
class ReadBackoff {
public:
  ReadBackoff(Millis First, Millis Longest)
      : m_first(First), m_max(Longest), m_next(First) {}

  /// Returns the pause after one more failed read.
  Millis next();
  /// Notes a read that succeeded.
  void reset() { m_next = m_first; }

private:
  const Millis m_first;
  const Millis m_max;
  Millis m_next;
};

/// Follows the ends of calls to the store.
///
/// Load pattern: a store that is away for all hosts or for some, for seconds.
/// A host that has lost it leaves reading to others, and what the store no
/// longer lists is taken as gone only after a span of good calls.
class StoreHealth {
public:
  /// A pause longer than \p LongestGap between two calls ends a span.
  explicit StoreHealth(Millis LongestGap) : m_maxGap(LongestGap) {}

  /// Notes a call that began at \p AskedAt and has ended. Returns whether the
  /// store was lost or came back by it.
  bool recordCall(bool IsGood, TimePoint AskedAt);

  bool isLost() const { return m_isLost; }
  /// Returns the time since the last good call if a later one has failed,
  /// else 0; the longest time if none was good.
  Millis lostFor(TimePoint Now) const;
  /// Returns the span of good calls up to the last one.
  Millis availableFor() const;

private:
  const Millis m_maxGap;
  TimePoint m_lastSuccessAt{};  ///< Begin of the last good call.
  TimePoint m_availableSince{}; ///< Begin of the span without a failure.
  bool m_isLost = false;
};

} // namespace tamarackdrum::gateway

#endif // TAMARACKDRUM_GATEWAY_STORE_HEALTH_H

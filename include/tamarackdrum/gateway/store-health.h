/// \file
/// Whether this host reaches the platform's store.

#ifndef TAMARACKDRUM_GATEWAY_STORE_HEALTH_H
#define TAMARACKDRUM_GATEWAY_STORE_HEALTH_H

#include "tamarackdrum/core.h"

namespace tamarackdrum::gateway {

/// Exponential backoff between failed reads of the store. In an outage all
/// hosts read the store themselves, so that retries must slow down.
class ReadBackoff {
public:
  ReadBackoff(Millis First, Millis Max)
      : m_first(First), m_max(Max), m_next(First) {}

  /// Returns the pause before the next attempt and doubles the following one,
  /// up to the maximum.
  Millis next();
  /// Starts again from the first pause, after a successful read.
  void reset() { m_next = m_first; }

private:
  const Millis m_first;
  const Millis m_max;
  Millis m_next;
};

/// Tracks the results of calls to the store.
///
/// The store may be unreachable for some hosts or for all, for seconds. A host
/// that cannot reach it leaves reading to others, and servers that the store
/// no longer lists are removed only after it was available for some time.
class StoreHealth {
public:
  /// After a pause longer than \p MaxGap between two calls, availability
  /// counts from the later call.
  explicit StoreHealth(Millis MaxGap) : m_maxGap(MaxGap) {}

  /// Records the result of a call that was sent at \p SentAt. Returns whether
  /// isLost() has changed.
  bool recordCall(bool HasSucceeded, TimePoint SentAt);

  /// Returns whether the last call failed.
  bool isLost() const { return m_isLost; }
  /// Returns the time since the last successful call if a later one has
  /// failed, otherwise 0. Returns INT32_MAX ms if no call has succeeded yet.
  Millis lostFor(TimePoint Now) const;
  /// Returns the time from the first to the last of the successful calls since
  /// the last failure or long pause.
  Millis availableFor() const;

private:
  const Millis m_maxGap;
  TimePoint m_lastSuccessAt{};  ///< Start of the last successful call.
  TimePoint m_availableSince{}; ///< Start of the first one since a failure.
  bool m_isLost = false;
};

} // namespace tamarackdrum::gateway

#endif // TAMARACKDRUM_GATEWAY_STORE_HEALTH_H

/// \file
/// Retry budget of a service over a sliding window.
///
/// Load pattern: many servers fail or refuse at the same time. Without a limit
/// each request is sent several times, and the load of the service multiplies
/// just when it has least capacity.

#ifndef TAMARACKDRUM_GATEWAY_RETRY_WINDOW_H
#define TAMARACKDRUM_GATEWAY_RETRY_WINDOW_H

#include "tamarackdrum/core.h"

#include <deque>

namespace tamarackdrum::gateway {

/// Retry budget of one service, from the operator's settings.
struct RetryPolicy {
  double m_ratio = 0.2;      ///< Retries per request.
  double m_baseRetries = 50; ///< Retries per window in addition.
  Millis m_window{10000};    ///< Length of the window.
  /// Share of the budget that this window grants. The rest is for hosts that
  /// send retries by themselves while they have no coordinator.
  double m_usableShare = 0.7;
  /// Share of m_baseRetries that a new window object starts with; it grows to
  /// the whole within one window. An earlier coordinator may have used the
  /// rest.
  double m_initialBaseShare = 0.2;

  bool operator==(const RetryPolicy &) const = default;
};

class RetryWindow {
public:
  explicit RetryWindow(RetryPolicy Policy) : m_policy(Policy) {}

  /// Sets the policy from now on; what has been counted stays.
  void setPolicy(const RetryPolicy &Policy) { m_policy = Policy; }

  /// Counts the first dispatch of a request.
  void recordRequest(TimePoint Now);

  /// Counts a retry if the budget allows one. Returns whether it does.
  bool tryAcquire(TimePoint Now);

private:
  void dropExpired(TimePoint Now);

  RetryPolicy m_policy;
  std::deque<TimePoint> m_requests;
  std::deque<TimePoint> m_retries;
  TimePoint m_startedAt{}; ///< First use.
};

} // namespace tamarackdrum::gateway

#endif // TAMARACKDRUM_GATEWAY_RETRY_WINDOW_H

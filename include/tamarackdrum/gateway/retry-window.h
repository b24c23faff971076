/// \file
/// The budget of repeated dispatches over a sliding window.
///
/// Load pattern: servers that fail or refuse in numbers. Without a bound, each
/// request arrives several times and the load of the service multiplies just
/// when it has least room.

#ifndef TAMARACKDRUM_GATEWAY_RETRY_WINDOW_H
#define TAMARACKDRUM_GATEWAY_RETRY_WINDOW_H

#include "tamarackdrum/core.h"

#include <deque>

namespace tamarackdrum::gateway {

/// Bounds of one service. Source: the operator's settings of the deployment.
struct RetryPolicy {
  double m_ratio = 0.2;      ///< Repeats for each request.
  double m_baseRetries = 50; ///< Repeats a window beyond that.
  Millis m_window{10000};    ///< Length of the window.
  /// Part of the budget that is used: hosts without a coordinator use some by
  /// themselves.
  double m_usableShare = 0.7;
  /// Part of the slack that a new window begins with: an earlier coordinator
  /// may have used the rest.
  double m_initialBaseShare = 0.2;

  bool operator==(const RetryPolicy &) const = default;
};

class RetryWindow {
public:
  explicit RetryWindow(RetryPolicy Policy) : m_policy(Policy) {}

  /// Notes the first dispatch of a request.
  void recordRequest(TimePoint Now);

  /// Takes one repeat, or returns false.
  bool tryAcquire(TimePoint Now);

private:
  void dropExpired(TimePoint Now);

  RetryPolicy m_policy;
  std::deque<TimePoint> m_requests;
  std::deque<TimePoint> m_retries;
  TimePoint m_startedAt{};
};

} // namespace tamarackdrum::gateway

#endif // TAMARACKDRUM_GATEWAY_RETRY_WINDOW_H

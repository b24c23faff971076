/// \file
/// Servers to which this host must not send requests for some time.

#ifndef TAMARACKDRUM_GATEWAY_BACKOFF_TRACKER_H
#define TAMARACKDRUM_GATEWAY_BACKOFF_TRACKER_H

#include "tamarackdrum/gateway/dispatcher.h"

namespace tamarackdrum::gateway {

/// Tracks the backoff times that servers have requested from this host.
///
/// Load pattern: an overloaded server refuses requests and names the time after
/// which this host may send again. Other hosts may use the server meanwhile.
class BackoffTracker {
public:
  /// Starts a backoff of \p Time for \p Server, or extends the present one. A
  /// shorter time does not end a longer one.
  void extend(const ServerEntry &Server, Millis Time, TimePoint Now);

  /// Returns the rest of the backoff of \p Server, or 0. A server that has
  /// started again has none.
  Millis remaining(const ServerEntry &Server, TimePoint Now) const;

  /// Returns the servers of \p Service that are in backoff at \p Now.
  std::vector<ServerBackoff> activeFor(const std::string &Service,
                                       TimePoint Now) const;

private:
  struct Backoff {
    std::string m_service;
    std::int64_t m_startMs = 0; ///< Start of the server, as in ServerEntry.
    TimePoint m_until{};
  };

  std::map<std::string, Backoff> m_backoffs; ///< By server.
};

} // namespace tamarackdrum::gateway

#endif // TAMARACKDRUM_GATEWAY_BACKOFF_TRACKER_H

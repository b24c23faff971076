/// \file
/// Servers that want nothing from this host for a while.

#ifndef TAMARACKDRUM_GATEWAY_BACKOFF_TRACKER_H
#define TAMARACKDRUM_GATEWAY_BACKOFF_TRACKER_H

#include "tamarackdrum/gateway/dispatcher.h"

namespace tamarackdrum::gateway {

/// Load pattern: a server that is overloaded turns requests away and names the
/// time after which this host may ask again. Other hosts may use it meanwhile.
class BackoffTracker {
public:
  /// Notes that \p Server wants nothing for \p Time from \p Now on. A shorter
  /// time does not end a longer one.
  void extend(const ServerEntry &Server, Millis Time, TimePoint Now);

  /// Returns how much longer this life of \p Server wants nothing, or 0.
  Millis remaining(const ServerEntry &Server, TimePoint Now) const;

  /// Returns the servers of \p Service that want nothing at \p Now.
  std::vector<ServerBackoff> activeFor(const std::string &Service,
                                       TimePoint Now) const;

private:
  struct Backoff {
    std::string m_service;
    std::int64_t m_startMs = 0;
    TimePoint m_until{};
  };

  std::map<std::string, Backoff> m_backoffs; ///< By server.
};

} // namespace tamarackdrum::gateway

#endif // TAMARACKDRUM_GATEWAY_BACKOFF_TRACKER_H

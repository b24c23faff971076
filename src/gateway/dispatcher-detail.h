/// \file
/// Helpers that the parts of Dispatcher share.

#ifndef TAMARACKDRUM_SRC_GATEWAY_DISPATCHER_DETAIL_H
#define TAMARACKDRUM_SRC_GATEWAY_DISPATCHER_DETAIL_H

#include "tamarackdrum/gateway/dispatcher.h"

#include <algorithm>

namespace tamarackdrum::gateway {

inline double toMs(BootClock::duration Span) {
  return std::chrono::duration<double, std::milli>(Span).count();
}

inline Millis fromMs(double Value) {
  return Millis(static_cast<std::int64_t>(Value));
}

/// Expected time until moving keys have a new holder: a release and a grant.
inline constexpr Millis KeyMoveTime{600};

/// Returns whether a request of a service without keys must not go to
/// \p Server.
inline bool isExcluded(const DispatchRequest &Request,
                       const std::string &Server) {
  const bool IsTried =
      std::find(Request.m_triedServers.begin(), Request.m_triedServers.end(),
                Server) != Request.m_triedServers.end();
  return IsTried ||
         std::any_of(Request.m_backoffs.begin(), Request.m_backoffs.end(),
                     [&Server](const ServerBackoff &Item) {
                       return Item.m_server == Server;
                     });
}

/// Returns the caller of a request that has just arrived.
inline Caller callerOf(const DispatchRequest &Request, TimePoint Now) {
  return {Request.m_key.value_or(0), Request.m_route, Request.m_priority,
          Now + std::min(Request.m_objectiveLeft, Request.m_timeLeft),
          Now + Request.m_timeLeft};
}

} // namespace tamarackdrum::gateway

#endif // TAMARACKDRUM_SRC_GATEWAY_DISPATCHER_DETAIL_H

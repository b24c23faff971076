/// \file
/// Servers that want nothing from this host for a while.

#ifndef TAMARACKDRUM_GATEWAY_SERVER_RESTS_H
#define TAMARACKDRUM_GATEWAY_SERVER_RESTS_H

#include "tamarackdrum/gateway/dispatcher.h"

namespace tamarackdrum::gateway {

/// Load pattern: a server that is overloaded turns requests away and names the
/// time after which this host may ask again. Other hosts may use it meanwhile.
class ServerRests {
public:
  /// Notes that \p Server wants nothing for \p Time from \p Now on. A shorter
  /// time does not end a longer one.
  void note(const ServerEntry &Server, Millis Time, TimePoint Now);

  /// Returns how much longer this life of \p Server wants nothing, or 0.
  Millis left(const ServerEntry &Server, TimePoint Now) const;

  /// Returns the servers of \p Service that want nothing at \p Now.
  std::vector<RestingServer> of(const std::string &Service,
                                TimePoint Now) const;

private:
  struct Rest {
    std::string m_service;
    std::int64_t m_bornMs = 0;
    TimePoint m_until{};
  };

  std::map<std::string, Rest> m_rests; ///< By server.
};

} // namespace tamarackdrum::gateway

#endif // TAMARACKDRUM_GATEWAY_SERVER_RESTS_H

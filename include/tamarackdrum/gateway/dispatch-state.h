/// \file
/// What a dispatcher tells about the servers and requests that it knows.

#ifndef TAMARACKDRUM_GATEWAY_DISPATCH_STATE_H
#define TAMARACKDRUM_GATEWAY_DISPATCH_STATE_H

#include "tamarackdrum/core.h"

#include <string>

namespace tamarackdrum::gateway {

/// A change of what a dispatcher knows about the rate limit of a server.
struct LimitChange {
  std::string m_server;
  double m_perSecond = 0;    ///< 0: no limit.
  double m_wasPerSecond = 0; ///< 0: no limit.

  bool operator==(const LimitChange &) const = default;
};

/// The rate limit of a server.
struct KnownLimit {
  std::string m_server;
  double m_perSecond = 0;
  Millis m_age{0}; ///< Since the server last named it.
  /// Requests that got no free slot of the server because of the limit.
  std::uint64_t m_heldBack = 0;

  bool operator==(const KnownLimit &) const = default;
};

/// A change of whether a server counts as cold.
struct ColdChange {
  std::string m_server;
  bool m_isCold = false;
  Millis m_left{0}; ///< Time until it counts as warm.

  bool operator==(const ColdChange &) const = default;
};

/// A server that counts as cold for a reason that the registry does not show.
struct KnownCold {
  std::string m_server;
  Millis m_left{0};

  bool operator==(const KnownCold &) const = default;
};

/// Counts of one dispatcher, for logs and metrics.
struct DispatchLoad {
  std::size_t m_waiting = 0;
  std::size_t m_running = 0;
  std::size_t m_slots = 0;
  std::size_t m_coldServers = 0; ///< Servers that are logged as cold.
  std::size_t m_slowServers = 0; ///< By fresh reports of their load.
  /// Looks at a waiting request, by all decisions so far.
  std::uint64_t m_looks = 0;
};

} // namespace tamarackdrum::gateway

#endif // TAMARACKDRUM_GATEWAY_DISPATCH_STATE_H

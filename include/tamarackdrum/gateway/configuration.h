/// \file
/// The operator's configuration of routes and services, and route lookup.

#ifndef TAMARACKDRUM_GATEWAY_CONFIGURATION_H
#define TAMARACKDRUM_GATEWAY_CONFIGURATION_H

#include "tamarackdrum/gateway/cold-server.h"

#include <map>
#include <unordered_map>
#include <vector>

namespace tamarackdrum::gateway {

/// Whether a request may be repeated: a safe request may run more than once, an
/// unsafe one at most once.
enum class RequestKind { Safe, Unsafe };

/// A service of a route and its share of the route's requests.
struct RoutePart {
  std::string m_service;
  double m_weight = 1; ///< Relative to the other parts of the route.

  bool operator==(const RoutePart &) const = default;
};

/// Settings for requests with one host name and path prefix.
struct Route {
  std::string m_name;
  std::string m_host;   ///< Lower case, without a port.
  std::string m_prefix; ///< Begins and ends with a slash.
  RequestKind m_kind = RequestKind::Unsafe;
  Millis m_timeout{0};     ///< Time limit of a request; 0: none.
  Millis m_objective{0};   ///< Latency up to which an answer gets full credit.
  unsigned m_attempts = 1; ///< Maximum number of servers tried per request.
  unsigned m_priority = 0; ///< 0 is the most important.
  std::vector<RoutePart> m_parts;

  bool operator==(const Route &) const = default;
};

/// The operator's settings of a service.
struct Service {
  std::string m_name;
  unsigned m_maxConnections = 0; ///< Total of all hosts.
  bool m_isKeyed = false;        ///< Servers hold ranges of keys.
  /// Path of the health checks of its servers; empty: they have none.
  std::string m_healthPath;
  ColdPolicy m_cold;

  bool operator==(const Service &) const = default;
};

/// Limits for client connections. The defaults apply until the first
/// configuration arrives.
struct ClientLimits {
  std::uint32_t m_maxHeaderBytes = 16384;
  std::uint64_t m_maxBodyBytes = 1 << 20;
  Millis m_headerTimeout{3000};
  Millis m_idleTimeout{15000};

  bool operator==(const ClientLimits &) const = default;
};

/// One version of the complete configuration.
struct Configuration {
  std::uint64_t m_version = 0;
  std::vector<Route> m_routes;
  std::map<std::string, Service> m_services; ///< By name.
  ClientLimits m_limits;

  bool operator==(const Configuration &) const = default;
};

/// Finds the route of a request and distributes its requests over services.
class RouteTable {
public:
  explicit RouteTable(Configuration Config);

  /// Returns the route of \p Host with the longest prefix of \p Target, e.g.
  /// `Table.match("shop.example:80", "/cart/7?x=1")`, or null if none matches.
  const Route *match(std::string_view Host, std::string_view Target) const;

  /// Returns the service for the next request of \p Matched. Smooth weighted
  /// round robin keeps the shares exact over short sequences of requests.
  const std::string &nextService(const Route &Matched);

  const Configuration &configuration() const { return m_config; }
  /// Returns null if there is no service \p Name.
  const Service *findService(const std::string &Name) const;

private:
  using PrefixMap = std::unordered_map<std::string, const Route *>;

  Configuration m_config;
  std::unordered_map<std::string, PrefixMap> m_hosts;
  /// Round-robin state of each route with several parts.
  std::unordered_map<const Route *, std::vector<double>> m_credit;
};

} // namespace tamarackdrum::gateway

#endif // TAMARACKDRUM_GATEWAY_CONFIGURATION_H

/// \file
/// The operator's configuration of routes and services, and route lookup.

#ifndef TAMARACKDRUM_GATEWAY_CONFIGURATION_H
#define TAMARACKDRUM_GATEWAY_CONFIGURATION_H

#include "tamarackdrum/core.h"

#include <map>
#include <unordered_map>
#include <vector>

namespace tamarackdrum::gateway {

/// What may be repeated: safe requests may run more than once, unsafe ones
/// once at most.
enum class RequestKind { Safe, Unsafe };

/// One service of a route and its share of the route's requests.
struct RoutePart {
  std::string m_service;
  double m_weight = 1;

  bool operator==(const RoutePart &) const = default;
};

/// Requests of one host name below one path prefix.
struct Route {
  std::string m_name;
  std::string m_host;   ///< Lower case, without a port.
  std::string m_prefix; ///< Begins and ends with a slash.
  RequestKind m_kind = RequestKind::Unsafe;
  Millis m_timeout{0};     ///< Longest wait of a request; 0 if unbounded.
  Millis m_objective{0};   ///< Answers within it earn full credit.
  unsigned m_attempts = 1; ///< Servers that one request may be sent to.
  unsigned m_priority = 0; ///< 0 is the most important.
  std::vector<RoutePart> m_parts;

  bool operator==(const Route &) const = default;
};

/// What the operator says of a service.
struct Service {
  std::string m_name;
  unsigned m_maxConnections = 0; ///< Over all hosts together.
  bool m_isKeyed = false;        ///< Servers hold ranges of keys.

  bool operator==(const Service &) const = default;
};

/// Bounds on what a client may send. The defaults are in force until the first
/// configuration has arrived.
struct ClientLimits {
  std::uint32_t m_maxHeaderBytes = 16384;
  std::uint64_t m_maxBodyBytes = 1 << 20;
  Millis m_headerTimeout{3000};
  Millis m_idleTimeout{15000};

  bool operator==(const ClientLimits &) const = default;
};

/// One version of the configuration, whole.
struct Configuration {
  std::uint64_t m_version = 0;
  std::vector<Route> m_routes;
  std::map<std::string, Service> m_services;
  ClientLimits m_limits;

  bool operator==(const Configuration &) const = default;
};

/// Finds routes, and deals the requests of a route out to its parts.
class RouteTable {
public:
  explicit RouteTable(Configuration Config);

  /// Returns the route of \p Host with the longest prefix of \p Target, e.g.
  /// `Table.match("shop.example:80", "/cart/7?x=1")`, or null.
  const Route *match(std::string_view Host, std::string_view Target) const;

  /// Returns the service for the next request of \p Matched. Smooth weighted
  /// round robin keeps the shares exact over short spans.
  const std::string &nextService(const Route &Matched);

  const Configuration &configuration() const { return m_config; }
  const Service *findService(const std::string &Name) const;

private:
  using PrefixMap = std::unordered_map<std::string, const Route *>;

  Configuration m_config;
  std::unordered_map<std::string, PrefixMap> m_hosts;
  std::unordered_map<const Route *, std::vector<double>> m_credit;
};

} // namespace tamarackdrum::gateway

#endif // TAMARACKDRUM_GATEWAY_CONFIGURATION_H

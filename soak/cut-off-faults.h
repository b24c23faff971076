/// \file
/// Cuts hosts off from all servers.

#ifndef TAMARACKDRUM_CUT_OFF_FAULTS_H
#define TAMARACKDRUM_CUT_OFF_FAULTS_H

#include "fault-proxy.h"
#include "soak-history.h"

#include <boost/asio/awaitable.hpp>
#include <memory>
#include <random>

namespace tamarackdrum::soak {

/// Links from each host to each server, over proxies that host processes use
/// because of soak/preload/server-links.cc.
class CutOffFaults {
public:
  /// \p Network: first two parts of all addresses. \p Zones: of the hosts.
  CutOffFaults(boost::asio::io_context &Context, std::string Network,
               const std::vector<std::string> &Zones,
               const std::vector<Endpoint> &Servers, std::uint64_t Seed,
               History &Recorded);

  /// Returns the words before the command line of \p Host that make its
  /// process use its links. \p Library: the library to preload.
  std::vector<std::string> commandPrefix(std::size_t Host,
                                         const std::string &Library) const;
  /// Cuts hosts off, one group after the other.
  boost::asio::awaitable<void> run();
  bool isCutOff(std::size_t Host) const;

private:
  std::vector<std::size_t> drawHosts();
  void cut(const std::vector<std::size_t> &Hosts, const std::string &Kind);
  void restore(const std::vector<std::size_t> &Hosts);

  const std::string m_network;
  const std::vector<std::string> m_zones;
  std::mt19937_64 m_random;
  History &m_history;
  /// By host and server.
  std::vector<std::vector<std::unique_ptr<FaultProxy>>> m_links;
};

} // namespace tamarackdrum::soak

#endif // TAMARACKDRUM_CUT_OFF_FAULTS_H

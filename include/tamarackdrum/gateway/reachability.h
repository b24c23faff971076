/// \file
/// Decides from the outcomes of attempts whether this host is cut off from the
/// servers.
///
/// Load pattern: a partition between a host and all servers, while clients, the
/// store and other hosts still reach the host. The failure of one server, of
/// all servers of a service or of a zone must not count as such a partition.

#ifndef TAMARACKDRUM_GATEWAY_REACHABILITY_H
#define TAMARACKDRUM_GATEWAY_REACHABILITY_H

#include "tamarackdrum/gateway/server-directory.h"

#include <map>
#include <set>
#include <string>

namespace tamarackdrum::gateway {

/// The times below add up to less than half of a contact bound of 3 s: a wait
/// or a connection that times out, a round of probes and a poll.
struct ReachabilityPolicy {
  /// Servers that must have failed without a success meanwhile.
  std::size_t m_serversToSuspect = 3;
  /// Different servers that must answer before the host counts as connected
  /// again.
  std::size_t m_serversToRecover = 2;
  /// An attempt without an answer for this long causes probes: three times the
  /// service time of usual requests.
  Millis m_silentAfter{500};
  /// Least time between two rounds of probes.
  Millis m_probeInterval{250};
  /// A host that has reached no server for this long probes one, so that its
  /// peers know whether it can relay.
  Millis m_idleProbeAfter{3000};
  /// Failures count for this long.
  Millis m_failureMemory{3000};
  /// Time for which a host that has reached servers tells its peers so.
  Millis m_reachedMemory{5000};
  /// Most servers in one round of probes.
  std::size_t m_maxProbes = 9;

  bool operator==(const ReachabilityPolicy &) const = default;
};

class Reachability {
public:
  using Servers = std::map<std::string, ServerEntry>;

  explicit Reachability(ReachabilityPolicy Policy = {}) : m_policy(Policy) {}

  /// Records an answer of \p Server. A connection is none: it may end at a
  /// proxy whose path to the server is cut.
  void recordReached(const std::string &Server, TimePoint Now);
  /// Records an attempt at \p Server that failed without an answer.
  void recordFailed(const std::string &Server, TimePoint Now);
  /// Records a probe of \p Server that has got a connection and no answer since
  /// \p Start. It is a failure unless another server has answered since then:
  /// servers that are full answer late.
  void recordSilent(const std::string &Server, TimePoint Start, TimePoint Now);

  /// Returns the servers to probe now, of different services and zones, and
  /// records the round. \p OldestWaiting: start of the oldest attempt without
  /// an answer, or \p Now.
  std::vector<std::string>
  takeDueProbes(const Servers &Known, TimePoint OldestWaiting, TimePoint Now);

  /// Decides anew. \p OthersReach: another host reaches servers. Returns
  /// whether the decision has changed.
  bool update(const Servers &Known, bool OthersReach, TimePoint Now);

  bool isCutOff() const { return m_isCutOff; }
  /// Returns whether several servers have failed since the last success: a
  /// request that fails now is better sent through a peer.
  bool isSuspected() const { return m_isCutOff || m_failedAt.size() >= 2; }
  /// Returns whether this host can send requests for its peers.
  bool reachesServers(TimePoint Now) const;

private:
  bool haveAllFailed(const Servers &Known) const;

  ReachabilityPolicy m_policy;
  bool m_isCutOff = false;
  TimePoint m_reachedAt{};
  TimePoint m_probedAt{};
  std::size_t m_round = 0;
  std::map<std::string, TimePoint> m_failedAt; ///< Since the last success.
  std::set<std::string> m_recovered; ///< Reached since the last failure.
};

} // namespace tamarackdrum::gateway

#endif // TAMARACKDRUM_GATEWAY_REACHABILITY_H

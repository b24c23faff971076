/// \file
/// The hosts of the site, which of them are alive, and which of them
/// coordinate a service.
///
/// Each host exchanges heartbeats with a few candidates only, so that the
/// number of messages grows linearly with the hosts. All hosts order the
/// candidates by the hash of their names.

#ifndef TAMARACKDRUM_GATEWAY_ROSTER_H
#define TAMARACKDRUM_GATEWAY_ROSTER_H

#include "tamarackdrum/core.h"

#include <map>
#include <optional>
#include <vector>

namespace tamarackdrum::gateway {

/// Address and properties of one gateway process.
struct HostInfo {
  std::string m_name;
  std::string m_ip;
  std::string m_zone;
  std::int64_t m_processStartMs = 0; ///< Unix ms; tells restarts apart.
  unsigned m_cpuShare = 0; ///< In percent of a processor core; 0: unknown.

  bool operator==(const HostInfo &) const = default;
};

/// The granter of a service's keys, as far as a host knows.
struct KnownGranter {
  std::uint64_t m_term = 0;
  std::string m_host;
  std::int64_t m_processStartMs = 0; ///< See HostInfo.

  bool operator==(const KnownGranter &) const = default;
};

/// Message that hosts exchange periodically.
struct Heartbeat {
  HostInfo m_host;
  bool m_isStopping = false;
  bool m_isReply = false;
  /// Time since the sender's last successful store call if a later one has
  /// failed, otherwise 0.
  std::uint32_t m_storeLostMs = 0;
  /// Time for which the sender's store calls have succeeded without a failure.
  std::uint32_t m_storeAvailableMs = 0;
  std::uint64_t m_configVersion = 0;              ///< 0: no configuration yet.
  std::map<std::string, KnownGranter> m_granters; ///< By service.
  /// In a reply to a process without a configuration: hosts to contact.
  std::vector<HostInfo> m_initialPeers;
  bool m_isCutOff = false;       ///< The sender reaches no server.
  bool m_reachesServers = false; ///< The sender has reached servers of late.

  bool operator==(const Heartbeat &) const = default;
};

struct RosterPolicy {
  Millis m_heartbeatInterval{400};
  /// A host that is silent for this long counts as dead: three heartbeats.
  Millis m_failureTimeout{1300};
  /// After a longer pause between two calls of noteRunning(), hosts that were
  /// alive before it have m_pauseGrace to be heard. The loops of a host pause
  /// for 40 to 50 ms.
  Millis m_maxLoopPause{100};
  Millis m_pauseGrace{400}; ///< One heartbeat.
  /// Interval of heartbeats to hosts that count as dead.
  Millis m_retryInterval{1500};
  /// Hosts that are silent and not listed for this long are removed.
  Millis m_forgetAfter{60000};
  unsigned m_candidateCount = 4; ///< One for each service and a spare.
  unsigned m_relaysPerZone = 2;  ///< One relay and a spare.
  /// Time for which a silent host still counts towards the largest processor
  /// share. Smaller hosts don't become candidates during a short partition.
  Millis m_largestShareTimeout{15000};

  bool operator==(const RosterPolicy &) const = default;
};

class Roster {
public:
  Roster(RosterPolicy Policy, HostInfo Self);

  /// Adds hosts that the store or a peer lists. Returns those that were
  /// unknown or known with an earlier process start.
  std::vector<HostInfo> addHosts(const std::vector<HostInfo> &Hosts,
                                 TimePoint Now);

  /// Records that this process runs; called before decisions on silent hosts.
  /// A process that stood still, e.g. for lack of processor time, has not read
  /// yet what other hosts have sent meanwhile.
  void noteRunning(TimePoint Now);

  void recordHeartbeat(const Heartbeat &Beat, TimePoint Now);
  /// Records that \p Host has sent a message other than a heartbeat.
  void markAlive(const std::string &Host, TimePoint Now);
  /// Counts \p Host as dead until its next heartbeat, since the connection to
  /// it failed.
  void markUnreachable(const std::string &Host);

  /// Removes forgotten hosts. Returns the hosts that a heartbeat is due to,
  /// and records it as sent.
  std::vector<HostInfo> takeDueHeartbeats(TimePoint Now);

  bool isAlive(const std::string &Host, TimePoint Now) const;
  /// Returns the known process start of \p Host, or 0 if the host is unknown.
  std::int64_t processStartMs(const std::string &Host) const;
  std::optional<HostInfo> find(const std::string &Host) const;
  /// Returns the number of known hosts, including this one.
  std::size_t hostCount() const { return m_hosts.size() + 1; }
  /// Returns the number of known hosts in this host's zone, including this
  /// one.
  std::size_t hostCountInZone() const;
  /// Returns all known hosts, including this one.
  std::vector<HostInfo> allHosts() const;
  /// Returns the live hosts, including this one.
  std::vector<HostInfo> liveHosts(TimePoint Now) const;
  /// Returns the last heartbeat of \p Host, or null if the host is unknown.
  /// The heartbeat is empty if the host has sent none yet.
  const Heartbeat *lastHeartbeat(const std::string &Host) const;

  /// Returns the live hosts that may read the store for the others, grant keys
  /// and coordinate services, in the common order.
  std::vector<HostInfo> candidates(TimePoint Now) const;

  /// Returns the live hosts that may relay the store's content in this host's
  /// zone, in the common order.
  std::vector<HostInfo> relays(TimePoint Now) const;

  /// Returns the hosts that a new process in \p Zone should contact.
  std::vector<HostInfo> initialPeers(const std::string &Zone,
                                     TimePoint Now) const;

  /// Returns the coordinator of each of \p Services (sorted): different hosts
  /// while there are enough.
  std::map<std::string, std::string>
  coordinators(const std::vector<std::string> &Services, TimePoint Now) const;

  void setStopping() { m_isStopping = true; }
  const HostInfo &self() const { return m_self; }

private:
  struct Peer {
    HostInfo m_info;
    Heartbeat m_heartbeat;
    std::uint64_t m_nameHash = 0; ///< Position in the common order.
    TimePoint m_addedAt{};
    TimePoint m_listedAt{};
    TimePoint m_heardAt{};
    /// Counts as alive until then, since this host stood still while it was
    /// silent; granted once until it is heard again.
    TimePoint m_graceUntil{};
    TimePoint m_heartbeatSentAt{};
    bool m_isUnreachable = false;
  };

  Peer &peer(const std::string &Name, TimePoint Now);
  /// Returns the other hosts, live or not, whose processor share is unknown or
  /// near \p Largest, in the common order. \p Largest: see largestCpuShare().
  std::vector<const Peer *> eligiblePeers(unsigned Largest) const;
  unsigned largestCpuShare(TimePoint Now) const;
  /// Returns the live hosts whose processor share is near the largest, in the
  /// common order.
  std::vector<HostInfo> eligibleHosts(TimePoint Now) const;
  bool isAlive(const Peer &Item, TimePoint Now) const;

  const RosterPolicy m_policy;
  const HostInfo m_self;
  bool m_isStopping = false;
  TimePoint m_startedAt{};
  TimePoint m_runningAt{}; ///< Of the last noteRunning().
  std::map<std::string, Peer> m_hosts;
};

/// Returns whether this host, which grants nothing, should become the granter
/// after \p Granter. A granter that has not reached the store for
/// \p StoreLostTimeout is replaced by the first candidate that reaches it.
bool isNextGranter(const Roster &Hosts, const KnownGranter &Granter,
                   Millis StoreLostTimeout, TimePoint Now);

} // namespace tamarackdrum::gateway

#endif // TAMARACKDRUM_GATEWAY_ROSTER_H

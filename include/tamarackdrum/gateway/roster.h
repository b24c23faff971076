/// \file
/// The hosts of the site, which of them are alive, and which of them
/// coordinate a service.
///
/// Hosts exchange beats with the first few hosts of a common order, the
/// anchors, so that the number of messages grows with the hosts and not with
/// their square.

#ifndef TAMARACKDRUM_GATEWAY_ROSTER_H
#define TAMARACKDRUM_GATEWAY_ROSTER_H

#include "tamarackdrum/core.h"

#include <map>
#include <optional>
#include <vector>

namespace tamarackdrum::gateway {

struct HostInfo {
  std::string m_name;
  std::string m_ip;
  std::string m_zone;
  std::int64_t m_processStartMs = 0; ///< Start of its process, Unix ms.
  unsigned m_cpuShare = 0;           ///< Processor share in percent.

  bool operator==(const HostInfo &) const = default;
};

/// Who grants the keys of a service, as far as a host knows.
struct KnownGranter {
  std::uint64_t m_term = 0;
  std::string m_host;
  std::int64_t m_processStartMs = 0; ///< Of the granting process.

  bool operator==(const KnownGranter &) const = default;
};

/// What hosts tell each other at short intervals.
struct Heartbeat {
  HostInfo m_host;
  bool m_isStopping = false;
  bool m_isReply = false;
  /// Since its last good read of the store, if the last one has failed; 0
  /// otherwise.
  std::uint32_t m_storeLostMs = 0;
  std::uint32_t m_storeAvailableMs = 0; ///< How long it has served it since.
  std::uint64_t m_configVersion = 0;
  std::map<std::string, KnownGranter> m_granters; ///< By service.
  /// In a reply to a process that has just started: whom it should know.
  std::vector<HostInfo> m_initialPeers;

  bool operator==(const Heartbeat &) const = default;
};

struct RosterPolicy {
  Millis m_heartbeatInterval{400};
  /// Silence after which a host counts as dead. Source: three beats.
  Millis m_failureTimeout{1300};
  /// Interval of beats to hosts that count as dead.
  Millis m_retryInterval{1500};
  /// Hosts unheard of for this long are forgotten unless the store lists them.
  Millis m_forgetAfter{60000};
  unsigned m_candidateCount =
      4; ///< A coordinator for each service and a spare.
  unsigned m_relaysPerZone =
      2; ///< In each zone: one that passes news on, a spare.
  /// The largest hosts keep their duties for this long after they were last
  /// heard of, so that a host that is cut off for a while claims none.
  Millis m_largestShareTimeout{15000};

  bool operator==(const RosterPolicy &) const = default;
};

class Roster {
public:
  Roster(RosterPolicy Policy, HostInfo Self);

  /// Adds hosts that the store or a peer lists, with the life they had when
  /// listed. Returns those that were not known, or only in an earlier life.
  std::vector<HostInfo> addHosts(const std::vector<HostInfo> &Hosts,
                                 TimePoint Now);

  void recordHeartbeat(const Heartbeat &Beat, TimePoint Now);
  /// Notes a sign of life other than a beat.
  void markAlive(const std::string &Host, TimePoint Now);
  /// Notes that the connection to \p Host was refused or reset.
  void markUnreachable(const std::string &Host);

  /// Returns the hosts that a beat is due to.
  std::vector<HostInfo> takeDueHeartbeats(TimePoint Now);

  bool isAlive(const std::string &Host, TimePoint Now) const;
  /// Returns the newest known life of \p Host, or 0.
  std::int64_t processStartMs(const std::string &Host) const;
  std::optional<HostInfo> find(const std::string &Host) const;
  std::size_t hostCount() const { return m_hosts.size() + 1; }
  /// Returns the known hosts of this host's zone, itself among them.
  std::size_t hostCountInZone() const;
  /// Returns all known hosts, and this one.
  std::vector<HostInfo> allHosts() const;
  /// Returns the live hosts, this one among them.
  std::vector<HostInfo> liveHosts(TimePoint Now) const;
  /// Returns the last beat of \p Host, or null.
  const Heartbeat *lastHeartbeat(const std::string &Host) const;

  /// Returns the live hosts that may coordinate, in the common order.
  std::vector<HostInfo> candidates(TimePoint Now) const;

  /// Returns the live hosts of this host's zone that may pass news of the store
  /// on, in the common order.
  std::vector<HostInfo> relays(TimePoint Now) const;

  /// Returns whom a host of \p Zone that has just started should know.
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
    std::uint64_t m_nameHash = 0; ///< Its place in the common order.
    TimePoint m_addedAt{};
    TimePoint m_listedAt{};
    TimePoint m_heardAt{};
    TimePoint m_heartbeatSentAt{};
    bool m_isUnreachable = false;
  };

  Peer &peer(const std::string &Name, TimePoint Now);
  /// Returns the other hosts that may have duties, in the common order.
  /// \p Largest: see largestCpuShare().
  std::vector<const Peer *> eligiblePeers(unsigned Largest) const;
  unsigned largestCpuShare(TimePoint Now) const;
  /// Returns the live hosts that may have duties, in the common order.
  std::vector<HostInfo> eligibleHosts(TimePoint Now) const;
  bool isAlive(const Peer &Item, TimePoint Now) const;

  const RosterPolicy m_policy;
  const HostInfo m_self;
  bool m_isStopping = false;
  TimePoint m_startedAt{};
  std::map<std::string, Peer> m_hosts;
};

/// Returns whether this host, which grants nothing, should become the granter
/// after \p Claim. A granter that has not reached the store for \p StaleStore
/// is replaced by the first host in the common order that reaches it.
bool isNextGranter(const Roster &Hosts, const KnownGranter &Claim,
                   Millis StaleStore, TimePoint Now);

} // namespace tamarackdrum::gateway

#endif // TAMARACKDRUM_GATEWAY_ROSTER_H

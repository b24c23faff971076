/// \file
/// Checks that hosts that are cut off from all servers still serve.

#ifndef TAMARACKDRUM_CUT_OFF_CHECK_H
#define TAMARACKDRUM_CUT_OFF_CHECK_H

#include "tamarackdrum/core.h"

#include <functional>
#include <string>
#include <vector>

namespace tamarackdrum::soak {

/// A partition between some hosts and all servers. Clients, the store and the
/// other hosts still reach these hosts.
struct CutOffRecord {
  std::vector<std::size_t> m_hosts;
  std::string m_kind; ///< What happens to the links.
  TimePoint m_from;
  TimePoint m_to = TimePoint::max();
  bool operator==(const CutOffRecord &) const = default;
};

/// A client's first attempt, from its connect on if it opened a connection.
struct FirstAttempt {
  std::size_t m_host = 0;
  TimePoint m_from;
  TimePoint m_to;
  bool m_isServed = false;
  bool operator==(const FirstAttempt &) const = default;
};

/// The rule of HARD-LOAD.md, part D.
struct CutOffBounds {
  Millis m_contact{3000};   ///< From the start of the partition.
  double m_share = 2.0 / 3; ///< Of the share served at the other hosts.
  double m_failures = 10;
  double m_failureShare = 1.0 / 50; ///< Beyond m_failures.
  bool operator==(const CutOffBounds &) const = default;
};

/// A partition for which both bounds were missed.
struct CutOffFailure {
  CutOffRecord m_cut;
  std::size_t m_attempts = 0; ///< At the hosts that were cut off.
  std::size_t m_served = 0;
  double m_otherShare = 0; ///< Served at the other hosts.
  bool operator==(const CutOffFailure &) const = default;
};

/// Tells whether a fault of \p Host itself, or of its link to the store,
/// overlaps the time from \p From to \p To.
using HostFaultCheck =
    std::function<bool(std::size_t Host, TimePoint From, TimePoint To)>;

/// Returns the partitions for which the hosts' first attempts were neither
/// served often enough nor failed seldom enough. Attempts at hosts that clients
/// or the store did not reach at that time are not counted.
std::vector<CutOffFailure>
findCutOffFailures(const std::vector<FirstAttempt> &Attempts,
                   const std::vector<CutOffRecord> &Cuts,
                   const HostFaultCheck &HasFault,
                   const CutOffBounds &Bounds = {});

} // namespace tamarackdrum::soak

#endif // TAMARACKDRUM_CUT_OFF_CHECK_H

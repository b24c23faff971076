#include "cut-off-check.h"

#include <algorithm>

namespace tamarackdrum::soak {
namespace {

/// Attempts at one group of hosts.
struct Tally {
  std::size_t m_attempts = 0;
  std::size_t m_served = 0;

  double share() const {
    return m_attempts == 0 ? 1
                           : static_cast<double>(m_served) /
                                 static_cast<double>(m_attempts);
  }
};

} // namespace

std::vector<CutOffFailure>
findCutOffFailures(const std::vector<FirstAttempt> &Attempts,
                   const std::vector<CutOffRecord> &Cuts,
                   const HostFaultCheck &HasFault, const CutOffBounds &Bounds) {
  std::vector<CutOffFailure> Out;
  for (const CutOffRecord &Cut : Cuts) {
    Tally Own;
    Tally Others;
    for (const FirstAttempt &Item : Attempts) {
      // A process that has started again, or a host that was not reached, has
      // the whole bound from then on.
      if (Item.m_from < Cut.m_from + Bounds.m_contact ||
          Item.m_from > Cut.m_to ||
          HasFault(Item.m_host, Item.m_from - Bounds.m_contact, Item.m_to))
        continue;
      const bool IsOwn = std::find(Cut.m_hosts.begin(), Cut.m_hosts.end(),
                                   Item.m_host) != Cut.m_hosts.end();
      Tally &Counted = IsOwn ? Own : Others;
      ++Counted.m_attempts;
      Counted.m_served += Item.m_isServed ? 1 : 0;
    }
    const auto Failed = static_cast<double>(Own.m_attempts - Own.m_served);
    const double MostFailed =
        Bounds.m_failures +
        Bounds.m_failureShare * static_cast<double>(Own.m_attempts);
    if (Own.share() < Bounds.m_share * Others.share() && Failed > MostFailed)
      Out.push_back({Cut, Own.m_attempts, Own.m_served, Others.share()});
  }
  return Out;
}

} // namespace tamarackdrum::soak

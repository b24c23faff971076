/// \file
/// Checks that servers get no more requests than the limits that they name.

#ifndef TAMARACKDRUM_LIMIT_CHECK_H
#define TAMARACKDRUM_LIMIT_CHECK_H

#include "platform/standin/key-server.h"

#include <functional>
#include <vector>

namespace tamarackdrum::soak {

using platform::standin::ArrivalRecord;
using platform::standin::LimitRecord;

/// An arrival and the host that sent the request, as an index.
struct HostArrival {
  ArrivalRecord m_arrival;
  std::size_t m_host = 0;

  bool operator==(const HostArrival &) const = default;
};

/// The rule on limits, as the users' pages state it.
struct LimitBounds {
  Millis m_window{4000};
  double m_factor = 1.5;
  double m_extra = 5;         ///< Requests in a window beyond the factor.
  Millis m_afterNaming{3000}; ///< From the first answer with a limit.
  Millis m_afterTelling{500}; ///< From the first such answer to a host.
  Millis m_afterExcuse{3000}; ///< From the end of a fault of a host.

  bool operator==(const LimitBounds &) const = default;
};

/// More requests in a window than a server's limit allows.
struct LimitExcess {
  std::string m_server;
  TimePoint m_at; ///< End of the first window.
  std::size_t m_count = 0;
  double m_allowed = 0;

  bool operator==(const LimitExcess &) const = default;
};

/// Tells whether \p Host had a fault that excuses it at some time between
/// \p From and \p To.
using ExcuseCheck =
    std::function<bool(std::size_t Host, TimePoint From, TimePoint To)>;

/// Returns the first excess of each instance of a server. Counted are the
/// requests of hosts to which the instance had named its limit. A window is
/// judged by the highest limit that was in force in it or just before.
std::vector<LimitExcess>
findLimitExcesses(std::vector<HostArrival> Arrivals,
                  const std::vector<LimitRecord> &Limits,
                  const ExcuseCheck &IsExcused, const LimitBounds &Bounds = {});

} // namespace tamarackdrum::soak

#endif // TAMARACKDRUM_LIMIT_CHECK_H

/// \file
/// Evidence about the health of servers, as one process has gathered it from
/// its dispatches and from health endpoints.

#ifndef TAMARACKDRUM_SERVER_HEALTH_H
#define TAMARACKDRUM_SERVER_HEALTH_H

#include "tamarackdrum/view.h"

#include <map>
#include <mutex>
#include <vector>

namespace tamarackdrum {

/// Number of processes that probe one server.
inline constexpr std::size_t ProbersPerServer = 3;

/// Returns whether \p Process is one of the group's members that probe
/// \p Server, by rendezvous hash: a change of the group changes few choices.
bool isProber(const View &Current, const std::string &Server,
              const std::string &Process);

/// Bounds of the judgement on a server.
struct HealthLimits {
  /// Consecutive failures that make a server a suspect.
  unsigned m_failuresToSuspect = 3;
  /// Least age of the first of these failures. Refused connections count
  /// without it, since nothing listens at the address.
  Millis m_minFailingTime{300};
  /// Age from which a dispatch result no longer outweighs health reports.
  Millis m_dispatchMemory{2000};
  /// Age from which a suspicion without new evidence ends.
  Millis m_suspicionMemory{3000};

  bool operator==(const HealthLimits &) const = default;
};

/// Judges servers by consecutive failures. A health report counts only while
/// no recent dispatch says otherwise. Thread-safe.
///
/// \code
/// ServerHealth Health;
/// Health.noteResult("s1", true, Now);
/// std::vector<std::string> Suspects = Health.suspects(Now);
/// \endcode
class ServerHealth {
public:
  explicit ServerHealth(HealthLimits Limits = {}) : m_limits(Limits) {}

  /// Notes the end of a dispatch to \p Server.
  void noteResult(const std::string &Server, bool IsFailure, TimePoint Now);

  /// Notes that \p Server refused a connection.
  void noteConnectRefused(const std::string &Server, TimePoint Now);

  /// Notes what the health endpoint of \p Server reported. A report of the
  /// opposite of a recent dispatch result is dropped.
  void noteReport(const std::string &Server, bool IsHealthy, TimePoint Now);

  /// Notes that a probe of \p Server got no answer. Unlike a report, this is
  /// evidence that counts whatever the dispatches say.
  void noteNoAnswer(const std::string &Server, TimePoint Now);

  /// Returns the servers that should be put aside, sorted by name.
  std::vector<std::string> suspects(TimePoint Now) const;

  /// Forgets all servers but \p Known (sorted).
  void retain(const std::vector<std::string> &Known);

private:
  struct Evidence {
    unsigned m_failures = 0; ///< Consecutive failures of any kind.
    unsigned m_refusals = 0; ///< Consecutive refused connections.
    TimePoint m_firstFailure;
    TimePoint m_lastFailure;
    TimePoint m_lastDispatch; ///< Time of the last dispatch result.
    bool m_hasDispatch = false;
    bool m_dispatchFailed = false;
  };

  void addFailure(Evidence &Item, TimePoint Now) const;

  const HealthLimits m_limits;
  mutable std::mutex m_mutex;
  std::map<std::string, Evidence> m_servers;
};

} // namespace tamarackdrum

#endif // TAMARACKDRUM_SERVER_HEALTH_H

/// \file
/// Decides from the reports of several processes which servers the planner
/// sets aside, and when a server set aside may come back.

#ifndef TAMARACKDRUM_FAILURE_DETECTOR_H
#define TAMARACKDRUM_FAILURE_DETECTOR_H

#include "tamarackdrum/view.h"

#include <map>

namespace tamarackdrum {

/// Bounds of the failure detector.
struct DetectorLimits {
  Millis m_reportLifetime{1000}; ///< Older reports do not count.
  std::size_t m_minObservers = 2;
  Millis m_firstWait{5000};       ///< Shortest suspension.
  Millis m_longestWait{300000};   ///< Longest suspension of a flapping server.
  Millis m_historyLength{600000}; ///< Earlier suspensions are forgotten.
  std::size_t m_keptServersDivisor = 3; ///< At least 1/3 of a class stays.

  bool operator==(const DetectorLimits &) const = default;
};

/// Servers to set aside and to take back with the next commit.
struct SuspensionChange {
  std::vector<std::string> m_suspend;
  std::vector<std::string> m_reinstate;

  bool empty() const { return m_suspend.empty() && m_reinstate.empty(); }
  bool operator==(const SuspensionChange &) const = default;
};

/// Collects suspicions. Not synchronized.
///
/// \code
/// FailureDetector Detector(DetectorLimits{});
/// Detector.report("entry-1", {"stock-3"}, Now);
/// Detector.report("entry-2", {"stock-3"}, Now);
/// SuspensionChange Change = Detector.decide(View, Now);
/// \endcode
class FailureDetector {
public:
  explicit FailureDetector(DetectorLimits Limits) : m_limits(Limits) {}

  /// Replaces what \p Observer suspects.
  void report(const std::string &Observer, std::vector<std::string> Suspects,
              TimePoint Now);

  /// Records suspensions that \p Next contains.
  void noteView(const View &Next, TimePoint Now);

  SuspensionChange decide(const View &Current, TimePoint Now) const;

  /// Returns how long \p Server stays suspended at least.
  Millis suspensionTime(const std::string &Server, TimePoint Now) const;

private:
  struct Report {
    TimePoint m_at;
    std::vector<std::string> m_suspects;
  };
  struct History {
    Generation m_lastGeneration = 0;
    std::vector<TimePoint> m_suspensions;
  };

  std::size_t observersOf(const std::string &Server, TimePoint Now) const;
  bool isSuspected(const View &Current, const std::string &Server,
                   TimePoint Now) const;
  bool maySuspend(const View &Current, const std::string &WorkClass,
                  std::size_t AlreadyChosen) const;
  bool mayReinstate(const ServerRecord &Server, TimePoint Now) const;

  const DetectorLimits m_limits;
  std::map<std::string, Report> m_reports;
  std::map<std::string, History> m_histories;
};

/// Applies \p Change to \p Next.
View applySuspension(View Next, const SuspensionChange &Change);

} // namespace tamarackdrum

#endif // TAMARACKDRUM_FAILURE_DETECTOR_H

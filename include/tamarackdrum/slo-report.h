/// \file
/// The measures of each class over a window, made from the records of all
/// processes. docs/MEASURES.md defines each measure.

#ifndef TAMARACKDRUM_SLO_REPORT_H
#define TAMARACKDRUM_SLO_REPORT_H

#include "tamarackdrum/metrics.h"

namespace tamarackdrum {

/// Windows of the two burn rates.
inline constexpr Millis FastBurnWindow{300000};
inline constexpr Millis SlowBurnWindow{3600000};

/// Period that an error budget is meant for.
inline constexpr std::chrono::hours BudgetPeriod{720};

/// Times of a report, in milliseconds since 1970. `m_to` is not part of it.
struct ReportWindow {
  std::int64_t m_from = 0;
  std::int64_t m_to = 0;

  bool operator==(const ReportWindow &) const = default;
};

/// A process without a record, and why.
struct MissingProcess {
  std::string m_process;
  std::string m_reason;

  bool operator==(const MissingProcess &) const = default;
};

/// Measures of one class.
struct ClassReport {
  std::string m_workClass;
  std::uint64_t m_calls = 0;
  std::uint64_t m_answered = 0;
  std::uint64_t m_good = 0;          ///< Answered within the latency target.
  std::optional<double> m_imbalance; ///< Nothing without dispatches.
  std::uint64_t m_churn = 0;         ///< Slices whose owner changed.
  Millis m_unavailable{0};
  double m_target = 0;
  double m_budget = 0; ///< 1 - target.
  double m_fastBurn = 0;
  double m_slowBurn = 0;
  std::optional<double> m_hoursLeft; ///< Nothing if no budget is spent.

  bool operator==(const ClassReport &) const = default;
};

/// Owner changes of one class at one generation.
struct MoveEvent {
  std::int64_t m_unixMillis = 0;
  std::string m_workClass;
  Generation m_generation = 0;
  std::uint64_t m_moves = 0;

  bool operator==(const MoveEvent &) const = default;
};

/// The report of a window.
struct SloReport {
  ReportWindow m_window;
  std::vector<std::string> m_processes;
  std::vector<MissingProcess> m_missing;
  /// Processes that began to record after the start of the window.
  std::vector<std::string> m_partial;
  std::vector<ClassReport> m_classes;
  std::vector<MoveEvent> m_moves;
  std::vector<TimelineEvent> m_events; ///< Sorted by time.
  CallsByClass m_calls;

  bool operator==(const SloReport &) const = default;
};

/// Returns the calls of \p WorkClass of all processes, added up by bucket.
std::vector<CallBucket> mergeCalls(const std::vector<ProcessRecord> &Records,
                                   const std::string &WorkClass,
                                   const ReportWindow &Window);

/// Returns the sum of the buckets with calls of which none was answered.
Millis unavailableTime(const std::vector<CallBucket> &Calls);

/// Returns the share of calls not answered divided by the budget.
double burnRate(const std::vector<CallBucket> &Calls, double Target);

/// Returns the largest number of dispatches of a server divided by the mean,
/// over the servers of \p WorkClass that take work in \p Current.
std::optional<double> imbalance(const std::vector<ProcessRecord> &Records,
                                const View &Current,
                                const std::string &WorkClass,
                                const ReportWindow &Window);

/// Returns the owner changes in the window, each generation once.
std::vector<MoveEvent> mergeMoves(const std::vector<ProcessRecord> &Records,
                                  const ReportWindow &Window);

/// Makes the report of \p Window for the classes of \p Current.
SloReport makeReport(const View &Current,
                     const std::vector<ProcessRecord> &Records,
                     std::vector<MissingProcess> Missing, ReportWindow Window);

} // namespace tamarackdrum

#endif // TAMARACKDRUM_SLO_REPORT_H

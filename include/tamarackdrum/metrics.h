/// \file
/// Metrics of one process: counters, latency histograms and the recorded
/// window from which reports are made.
///
/// Lock order: Metrics::m_mutex is a leaf.

#ifndef TAMARACKDRUM_METRICS_H
#define TAMARACKDRUM_METRICS_H

#include "tamarackdrum/view.h"

#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <shared_mutex>

namespace tamarackdrum {

/// Width of the buckets in which calls are counted for reports.
inline constexpr Millis BucketWidth{100};

/// Longest window that a process keeps for reports.
inline constexpr Millis MaxWindow{3600000};

/// Outcome of a request as the caller was told.
enum class CallOutcome { Answered, NotRun, Unknown };

/// One finished call.
struct CallSample {
  std::string_view m_workClass;
  CallOutcome m_outcome = CallOutcome::Unknown;
  std::string_view m_reason; ///< Empty if answered.
  std::chrono::nanoseconds m_latency{0};
  std::int64_t m_endUnixMillis = 0;
};

/// Calls of one class that ended within one bucket.
struct CallBucket {
  std::int64_t m_index = 0; ///< Unix time divided by BucketWidth.
  std::uint32_t m_calls = 0;
  std::uint32_t m_answered = 0;
  std::uint32_t m_good = 0; ///< Answered within the latency target.

  bool operator==(const CallBucket &) const = default;
};

/// Calls of each class, in time order.
using CallsByClass = std::map<std::string, std::vector<CallBucket>>;

/// Owner changes of a keyed class between two views that a process had one
/// after the other.
struct MoveSample {
  std::string m_workClass;
  Generation m_from = 0;
  Generation m_to = 0;
  std::int64_t m_unixMillis = 0;
  std::uint64_t m_moves = 0;

  bool operator==(const MoveSample &) const = default;
};

/// Dispatches to one server since the sample before.
struct DispatchSample {
  std::string m_server;
  std::int64_t m_unixMillis = 0;
  std::uint64_t m_count = 0;

  bool operator==(const DispatchSample &) const = default;
};

enum class EventKind { ServerChanged, LeaseLost, LeaseHeld };

/// A change that a person looks for after a bad night.
struct TimelineEvent {
  std::int64_t m_unixMillis = 0;
  EventKind m_kind = EventKind::ServerChanged;
  std::string m_subject; ///< Server or process.
  std::string m_detail;
  Generation m_generation = 0;

  bool operator==(const TimelineEvent &) const = default;
};

/// Everything that one process recorded about a window.
struct ProcessRecord {
  std::string m_process;
  std::int64_t m_startUnixMillis = 0; ///< When the process began to record.
  CallsByClass m_calls;
  std::vector<MoveSample> m_moves;
  std::vector<DispatchSample> m_dispatches;
  std::vector<TimelineEvent> m_events;

  bool operator==(const ProcessRecord &) const = default;
};

/// Cumulative count of one class, outcome and reason.
struct OutcomeCount {
  std::string m_workClass;
  CallOutcome m_outcome = CallOutcome::Answered;
  std::string m_reason;
  std::uint64_t m_count = 0;

  bool operator==(const OutcomeCount &) const = default;
};

/// A latency histogram in its cumulative form.
struct LatencySnapshot {
  std::string m_workClass;
  CallOutcome m_outcome = CallOutcome::Answered;
  std::vector<double> m_upperSeconds;      ///< Upper edges of the bins.
  std::vector<std::uint64_t> m_cumulative; ///< Samples below each edge.
  std::uint64_t m_count = 0;
  double m_sumSeconds = 0;
};

/// Values that exist elsewhere and are only shown.
struct ProcessGauges {
  bool m_hasLease = false;
  Generation m_generation = 0;
  Generation m_settled = 0;
  int m_inFlight = 0;
  std::uint64_t m_refusedControlCalls = 0;
};

const char *toText(CallOutcome Value) noexcept;

/// Thread-safe metrics of a process.
///
/// \code
/// Metrics Recorded("entry-1", unixMillis());
/// Recorded.record({"stock", CallOutcome::Answered, "", Latency, Now});
/// ProcessRecord Window = Recorded.window(Now - 60000);
/// \endcode
class Metrics {
public:
  Metrics(std::string Process, std::int64_t StartUnixMillis);
  ~Metrics();

  void record(const CallSample &Sample);

  /// Records the classes, owners and server states of \p Current.
  void recordView(const ViewPtr &Current, std::int64_t Now);

  void recordLease(bool HasLease, std::int64_t Now);

  /// Records the number of dispatches to \p Server since the process started.
  void recordDispatches(const std::string &Server, std::uint64_t Dispatched,
                        std::int64_t Now);

  /// Returns what was recorded at \p Since or later.
  ProcessRecord window(std::int64_t Since) const;

  std::vector<OutcomeCount> outcomes() const;
  std::vector<LatencySnapshot> latencies() const;

private:
  struct ClassMetrics;
  using ClassMap =
      std::map<std::string, std::unique_ptr<ClassMetrics>, std::less<>>;

  ClassMetrics &classMetrics(std::string_view WorkClass);
  void recordServers(const View &Old, const View &Next, std::int64_t Now);
  void recordMoves(const View &Old, const View &Next, std::int64_t Now);
  void addEvent(TimelineEvent Event);

  const std::string m_process;
  const std::int64_t m_start;
  mutable std::shared_mutex m_mutex;
  ClassMap m_classes;
  std::map<std::string, Millis, std::less<>> m_targets; ///< Latency targets.
  ViewPtr m_lastView;
  std::optional<bool> m_lastLease;
  std::deque<MoveSample> m_moves;
  std::deque<DispatchSample> m_dispatches;
  std::map<std::string, std::uint64_t> m_lastDispatched;
  std::deque<TimelineEvent> m_events;
};

/// Returns the metrics in the Prometheus text format, version 0.0.4.
std::string toPrometheusText(const Metrics &Recorded,
                             const std::string &Process,
                             const ProcessGauges &Gauges);

} // namespace tamarackdrum

#endif // TAMARACKDRUM_METRICS_H

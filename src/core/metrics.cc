#include "tamarackdrum/metrics.h"

#include "tamarackdrum/error.h"
#include "tamarackdrum/planner.h"
#include "tamarackdrum/view-diff.h"

#include <algorithm>
#include <array>
#include <boost/histogram/accumulators/count.hpp>
#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>

namespace bh = boost::histogram;

namespace tamarackdrum {
namespace {

constexpr unsigned LatencyBins = 40;
constexpr double MinLatencySeconds = 0.0001;
constexpr double MaxLatencySeconds = 10.0;
constexpr std::size_t OutcomeKinds = 3;
constexpr std::size_t MaxEvents = 2000;
constexpr std::size_t MaxMoveSamples = 10000;
constexpr std::size_t MaxDispatchSamples = 100000;
/// Calls of classes that no view declares are counted under this name, so
/// that callers cannot make the metrics grow.
constexpr const char *UndeclaredClass = "undeclared";

using LatencyAxis = bh::axis::regular<double, bh::axis::transform::log>;
using LatencyStorage =
    bh::dense_storage<bh::accumulators::count<std::uint64_t, true>>;
using LatencyHistogram = bh::histogram<std::tuple<LatencyAxis>, LatencyStorage>;

LatencyHistogram makeLatencyHistogram() {
  return LatencyHistogram(std::make_tuple(
      LatencyAxis(LatencyBins, MinLatencySeconds, MaxLatencySeconds)));
}

template <typename Item>
void pushBounded(std::deque<Item> &Items, Item One, std::size_t Limit) {
  if (Items.size() >= Limit)
    Items.pop_front();
  Items.push_back(std::move(One));
}

/// Returns a view with one assignment of \p Current only.
View withAssignment(const View &Current, const std::string &WorkClass) {
  View Out;
  if (const ClassAssignment *Found = findAssignment(Current, WorkClass))
    Out.m_assignments.push_back(*Found);
  return Out;
}

/// Gives the slices of \p Old that had no owner that of \p Next, since a
/// first assignment is no move.
void fillFirstOwners(View &Old, const View &Next) {
  if (Old.m_assignments.empty() || Next.m_assignments.empty())
    return;
  std::vector<SliceRecord> &Slices = Old.m_assignments[0].m_slices;
  const std::vector<SliceRecord> &Owners = Next.m_assignments[0].m_slices;
  for (std::size_t I = 0; I < std::min(Slices.size(), Owners.size()); ++I)
    if (Slices[I].m_owner.empty())
      Slices[I].m_owner = Owners[I].m_owner;
}

/// Returns whether no server could have answered, so that the call says
/// nothing about the service.
bool isCallerFault(const CallSample &Sample) {
  if (Sample.m_outcome != CallOutcome::NotRun)
    return false;
  for (const RouteErrc Fault : {RouteErrc::KeyMissing, RouteErrc::IdMissing,
                                RouteErrc::DeadlineInvalid})
    if (Sample.m_reason == make_error_code(Fault).message())
      return true;
  return false;
}

double toSeconds(std::chrono::nanoseconds Time) {
  return std::chrono::duration<double>(Time).count();
}

} // namespace

struct Metrics::ClassMetrics {
  std::array<LatencyHistogram, OutcomeKinds> m_latency{
      makeLatencyHistogram(), makeLatencyHistogram(), makeLatencyHistogram()};
  std::mutex m_mutex; ///< Guards what follows.
  std::array<double, OutcomeKinds> m_sumSeconds{};
  std::array<std::map<std::string, std::uint64_t, std::less<>>, OutcomeKinds>
      m_counts; ///< By outcome and reason.
  std::deque<CallBucket> m_buckets;

  CallBucket &bucketAt(std::int64_t Index);
};

/// Returns the bucket \p Index, the newest one or one shortly before it.
CallBucket &Metrics::ClassMetrics::bucketAt(std::int64_t Index) {
  auto Position = m_buckets.end();
  while (Position != m_buckets.begin() && std::prev(Position)->m_index >= Index)
    --Position;
  if (Position == m_buckets.end() || Position->m_index != Index)
    Position = m_buckets.insert(Position, CallBucket{Index});
  return *Position;
}

const char *toText(CallOutcome Value) noexcept {
  constexpr std::array<const char *, OutcomeKinds> Names = {
      "answered", "not-run", "unknown"};
  return Names[static_cast<std::size_t>(Value)];
}

Metrics::Metrics(std::string Process, std::int64_t StartUnixMillis)
    : m_process(std::move(Process)), m_start(StartUnixMillis) {
  m_classes.emplace(UndeclaredClass, std::make_unique<ClassMetrics>());
}

Metrics::~Metrics() = default;

/// Requires m_mutex, shared or exclusive.
Metrics::ClassMetrics &Metrics::classMetrics(std::string_view WorkClass) {
  const auto Found = m_classes.find(WorkClass);
  return Found == m_classes.end() ? *m_classes.find(UndeclaredClass)->second
                                  : *Found->second;
}

void Metrics::record(const CallSample &Sample) {
  const std::shared_lock<std::shared_mutex> Lock(m_mutex);
  ClassMetrics &Class = classMetrics(Sample.m_workClass);
  const std::size_t Kind = static_cast<std::size_t>(Sample.m_outcome);
  Class.m_latency[Kind](toSeconds(Sample.m_latency));
  const auto Target = m_targets.find(Sample.m_workClass);
  const bool IsAnswered = Sample.m_outcome == CallOutcome::Answered;
  const bool IsGood = IsAnswered && (Target == m_targets.end() ||
                                     Sample.m_latency <= Target->second);
  const std::lock_guard<std::mutex> ClassLock(Class.m_mutex);
  Class.m_sumSeconds[Kind] += toSeconds(Sample.m_latency);
  const auto Count = Class.m_counts[Kind].find(Sample.m_reason);
  if (Count == Class.m_counts[Kind].end())
    Class.m_counts[Kind].emplace(std::string(Sample.m_reason), 1);
  else
    ++Count->second;
  if (isCallerFault(Sample))
    return;
  const std::int64_t Index = Sample.m_endUnixMillis / BucketWidth.count();
  CallBucket &Bucket = Class.bucketAt(Index);
  ++Bucket.m_calls;
  Bucket.m_answered += IsAnswered ? 1 : 0;
  Bucket.m_good += IsGood ? 1 : 0;
  while (Class.m_buckets.front().m_index < Index - MaxWindow / BucketWidth)
    Class.m_buckets.pop_front();
}

void Metrics::addEvent(TimelineEvent Event) {
  pushBounded(m_events, std::move(Event), MaxEvents);
}

void Metrics::recordServers(const View &Old, const View &Next,
                            std::int64_t Now) {
  for (const std::string &Line : diffServers(Old, Next)) {
    const std::size_t Space = Line.find(' ');
    addEvent({Now, EventKind::ServerChanged, Line.substr(0, Space),
              Line.substr(Space + 1), Next.m_generation});
  }
}

void Metrics::recordMoves(const View &Old, const View &Next, std::int64_t Now) {
  for (const ClassAssignment &Assignment : Next.m_assignments) {
    const std::string &Class = Assignment.m_workClass;
    View Before = withAssignment(Old, Class);
    const View After = withAssignment(Next, Class);
    fillFirstOwners(Before, After);
    const std::size_t Moves = countMoves(Before, After);
    if (Moves > 0)
      pushBounded(m_moves,
                  {Class, Old.m_generation, Next.m_generation, Now, Moves},
                  MaxMoveSamples);
  }
}

void Metrics::recordView(const ViewPtr &Current, std::int64_t Now) {
  const std::unique_lock<std::shared_mutex> Lock(m_mutex);
  if (!Current || Current == m_lastView)
    return;
  if (m_lastView && m_lastView->m_generation >= Current->m_generation)
    return;
  m_targets.clear();
  for (const ClassTarget &Target : Current->m_classes) {
    m_targets[Target.m_name] = Target.m_latency;
    if (!m_classes.contains(Target.m_name))
      m_classes.emplace(Target.m_name, std::make_unique<ClassMetrics>());
  }
  if (m_lastView) {
    recordServers(*m_lastView, *Current, Now);
    recordMoves(*m_lastView, *Current, Now);
  }
  m_lastView = Current;
}

void Metrics::recordLease(bool HasLease, std::int64_t Now) {
  const std::unique_lock<std::shared_mutex> Lock(m_mutex);
  if (m_lastLease == HasLease)
    return;
  if (m_lastLease || HasLease)
    addEvent({Now, HasLease ? EventKind::LeaseHeld : EventKind::LeaseLost,
              m_process, "", m_lastView ? m_lastView->m_generation : 0});
  m_lastLease = HasLease;
}

void Metrics::recordDispatches(const std::string &Server,
                               std::uint64_t Dispatched, std::int64_t Now) {
  const std::unique_lock<std::shared_mutex> Lock(m_mutex);
  std::uint64_t &Last = m_lastDispatched[Server];
  // The counter starts again when a server leaves the routes and comes back.
  const std::uint64_t Count =
      Dispatched >= Last ? Dispatched - Last : Dispatched;
  Last = Dispatched;
  if (Count > 0)
    pushBounded(m_dispatches, {Server, Now, Count}, MaxDispatchSamples);
  const std::int64_t Oldest = Now - MaxWindow.count();
  while (!m_dispatches.empty() && m_dispatches.front().m_unixMillis < Oldest)
    m_dispatches.pop_front();
}

ProcessRecord Metrics::window(std::int64_t Since) const {
  const std::shared_lock<std::shared_mutex> Lock(m_mutex);
  ProcessRecord Out{m_process, m_start};
  for (const ClassMap::value_type &Entry : m_classes) {
    const std::lock_guard<std::mutex> ClassLock(Entry.second->m_mutex);
    for (const CallBucket &Bucket : Entry.second->m_buckets)
      if (Bucket.m_index * BucketWidth.count() >= Since)
        Out.m_calls[Entry.first].push_back(Bucket);
  }
  for (const MoveSample &Sample : m_moves)
    if (Sample.m_unixMillis >= Since)
      Out.m_moves.push_back(Sample);
  for (const DispatchSample &Sample : m_dispatches)
    if (Sample.m_unixMillis >= Since)
      Out.m_dispatches.push_back(Sample);
  for (const TimelineEvent &Event : m_events)
    if (Event.m_unixMillis >= Since)
      Out.m_events.push_back(Event);
  return Out;
}

std::vector<OutcomeCount> Metrics::outcomes() const {
  const std::shared_lock<std::shared_mutex> Lock(m_mutex);
  std::vector<OutcomeCount> Out;
  for (const ClassMap::value_type &Entry : m_classes) {
    const std::lock_guard<std::mutex> ClassLock(Entry.second->m_mutex);
    for (std::size_t Kind = 0; Kind < OutcomeKinds; ++Kind)
      for (const std::pair<const std::string, std::uint64_t> &Count :
           Entry.second->m_counts[Kind])
        Out.push_back({Entry.first, static_cast<CallOutcome>(Kind), Count.first,
                       Count.second});
  }
  return Out;
}

std::vector<LatencySnapshot> Metrics::latencies() const {
  const std::shared_lock<std::shared_mutex> Lock(m_mutex);
  std::vector<LatencySnapshot> Out;
  for (const ClassMap::value_type &Entry : m_classes) {
    const std::lock_guard<std::mutex> ClassLock(Entry.second->m_mutex);
    for (std::size_t Kind = 0; Kind < OutcomeKinds; ++Kind) {
      const LatencyHistogram &Latency = Entry.second->m_latency[Kind];
      LatencySnapshot Snapshot{Entry.first, static_cast<CallOutcome>(Kind)};
      std::uint64_t Sum = Latency.at(-1).value();
      for (int Bin = 0; Bin < Latency.axis().size(); ++Bin) {
        Sum += Latency.at(Bin).value();
        Snapshot.m_upperSeconds.push_back(Latency.axis().value(Bin + 1));
        Snapshot.m_cumulative.push_back(Sum);
      }
      Snapshot.m_count = Sum + Latency.at(Latency.axis().size()).value();
      Snapshot.m_sumSeconds = Entry.second->m_sumSeconds[Kind];
      if (Snapshot.m_count > 0)
        Out.push_back(std::move(Snapshot));
    }
  }
  return Out;
}

} // namespace tamarackdrum

#include "tamarackdrum/slo-report.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace tamarackdrum {
namespace {

bool isWithin(const ReportWindow &Window, std::int64_t Time) {
  return Window.m_from <= Time && Time < Window.m_to;
}

/// Returns the part of \p Window that is no longer than \p Length.
ReportWindow lastPart(const ReportWindow &Window, Millis Length) {
  return {Window.m_to - Length.count(), Window.m_to};
}

/// Returns the samples of all processes, those that end first and span the
/// fewest generations first.
std::vector<MoveSample> sortedMoves(const std::vector<ProcessRecord> &Records) {
  std::vector<MoveSample> Out;
  for (const ProcessRecord &Record : Records)
    Out.insert(Out.end(), Record.m_moves.begin(), Record.m_moves.end());
  std::sort(Out.begin(), Out.end(),
            [](const MoveSample &Left, const MoveSample &Right) {
              return std::tie(Left.m_to, Right.m_from, Left.m_unixMillis) <
                     std::tie(Right.m_to, Left.m_from, Right.m_unixMillis);
            });
  return Out;
}

/// Returns the events of all processes in order of time. What several
/// processes saw of the same generation is listed once.
std::vector<TimelineEvent>
mergeEvents(const std::vector<ProcessRecord> &Records,
            const ReportWindow &Window) {
  std::vector<TimelineEvent> All;
  for (const ProcessRecord &Record : Records)
    for (const TimelineEvent &Event : Record.m_events)
      if (isWithin(Window, Event.m_unixMillis))
        All.push_back(Event);
  std::stable_sort(All.begin(), All.end(),
                   [](const TimelineEvent &Left, const TimelineEvent &Right) {
                     return Left.m_unixMillis < Right.m_unixMillis;
                   });
  std::set<std::pair<Generation, std::string>> Seen;
  std::vector<TimelineEvent> Out;
  for (TimelineEvent &Event : All) {
    const bool IsShared = Event.m_kind == EventKind::ServerChanged;
    if (!IsShared || Seen.emplace(Event.m_generation, Event.m_subject).second)
      Out.push_back(std::move(Event));
  }
  return Out;
}

ClassReport reportClass(const ClassTarget &Target, const View &Current,
                        const std::vector<ProcessRecord> &Records,
                        const ReportWindow &Window) {
  ClassReport Out;
  Out.m_workClass = Target.m_name;
  const std::vector<CallBucket> Calls =
      mergeCalls(Records, Target.m_name, Window);
  for (const CallBucket &Bucket : Calls) {
    Out.m_calls += Bucket.m_calls;
    Out.m_answered += Bucket.m_answered;
    Out.m_good += Bucket.m_good;
  }
  Out.m_unavailable = unavailableTime(Calls);
  Out.m_imbalance = imbalance(Records, Current, Target.m_name, Window);
  Out.m_target = Target.m_availability;
  Out.m_budget = 1 - Target.m_availability;
  Out.m_fastBurn = burnRate(
      mergeCalls(Records, Target.m_name, lastPart(Window, FastBurnWindow)),
      Target.m_availability);
  Out.m_slowBurn = burnRate(
      mergeCalls(Records, Target.m_name, lastPart(Window, SlowBurnWindow)),
      Target.m_availability);
  if (Out.m_slowBurn > 0)
    Out.m_hoursLeft =
        static_cast<double>(BudgetPeriod.count()) / Out.m_slowBurn;
  return Out;
}

} // namespace

std::vector<CallBucket> mergeCalls(const std::vector<ProcessRecord> &Records,
                                   const std::string &WorkClass,
                                   const ReportWindow &Window) {
  std::map<std::int64_t, CallBucket> Merged;
  for (const ProcessRecord &Record : Records) {
    const auto Found = Record.m_calls.find(WorkClass);
    if (Found == Record.m_calls.end())
      continue;
    for (const CallBucket &Bucket : Found->second) {
      if (!isWithin(Window, Bucket.m_index * BucketWidth.count()))
        continue;
      CallBucket &Sum = Merged[Bucket.m_index];
      Sum.m_index = Bucket.m_index;
      Sum.m_calls += Bucket.m_calls;
      Sum.m_answered += Bucket.m_answered;
      Sum.m_good += Bucket.m_good;
    }
  }
  std::vector<CallBucket> Out;
  for (const std::pair<const std::int64_t, CallBucket> &Entry : Merged)
    Out.push_back(Entry.second);
  return Out;
}

Millis unavailableTime(const std::vector<CallBucket> &Calls) {
  const auto Count =
      std::count_if(Calls.begin(), Calls.end(), [](const CallBucket &Bucket) {
        return Bucket.m_calls > 0 && Bucket.m_answered == 0;
      });
  return BucketWidth * Count;
}

double burnRate(const std::vector<CallBucket> &Calls, double Target) {
  std::uint64_t Total = 0;
  std::uint64_t Bad = 0;
  for (const CallBucket &Bucket : Calls) {
    Total += Bucket.m_calls;
    Bad += Bucket.m_calls - Bucket.m_answered;
  }
  if (Total == 0 || Target >= 1)
    return 0;
  return static_cast<double>(Bad) / static_cast<double>(Total) / (1 - Target);
}

std::optional<double> imbalance(const std::vector<ProcessRecord> &Records,
                                const View &Current,
                                const std::string &WorkClass,
                                const ReportWindow &Window) {
  std::map<std::string, std::uint64_t> Counts;
  for (const ServerRecord &Server : Current.m_servers)
    if (Server.m_workClass == WorkClass && takesWork(Server))
      Counts[Server.m_name] = 0;
  for (const ProcessRecord &Record : Records)
    for (const DispatchSample &Sample : Record.m_dispatches) {
      const auto Found = Counts.find(Sample.m_server);
      if (Found != Counts.end() && isWithin(Window, Sample.m_unixMillis))
        Found->second += Sample.m_count;
    }
  std::uint64_t Sum = 0;
  std::uint64_t Largest = 0;
  for (const std::pair<const std::string, std::uint64_t> &Entry : Counts) {
    Sum += Entry.second;
    Largest = std::max(Largest, Entry.second);
  }
  if (Sum == 0)
    return std::nullopt;
  return static_cast<double>(Largest) * static_cast<double>(Counts.size()) /
         static_cast<double>(Sum);
}

std::vector<MoveEvent> mergeMoves(const std::vector<ProcessRecord> &Records,
                                  const ReportWindow &Window) {
  std::map<std::string, Generation> Counted;
  std::vector<MoveEvent> Out;
  for (const MoveSample &Sample : sortedMoves(Records)) {
    Generation &Last = Counted[Sample.m_workClass];
    if (Sample.m_from < Last)
      continue;
    Last = Sample.m_to;
    if (isWithin(Window, Sample.m_unixMillis))
      Out.push_back({Sample.m_unixMillis, Sample.m_workClass, Sample.m_to,
                     Sample.m_moves});
  }
  return Out;
}

SloReport makeReport(const View &Current,
                     const std::vector<ProcessRecord> &Records,
                     std::vector<MissingProcess> Missing, ReportWindow Window) {
  SloReport Out;
  Out.m_window = Window;
  Out.m_missing = std::move(Missing);
  Out.m_moves = mergeMoves(Records, Window);
  Out.m_events = mergeEvents(Records, Window);
  for (const ProcessRecord &Record : Records) {
    Out.m_processes.push_back(Record.m_process);
    if (Record.m_startUnixMillis > Window.m_from)
      Out.m_partial.push_back(Record.m_process);
  }
  for (const ClassTarget &Target : Current.m_classes) {
    ClassReport Class = reportClass(Target, Current, Records, Window);
    for (const MoveEvent &Move : Out.m_moves)
      Class.m_churn += Move.m_workClass == Target.m_name ? Move.m_moves : 0;
    Out.m_classes.push_back(std::move(Class));
    Out.m_calls[Target.m_name] = mergeCalls(Records, Target.m_name, Window);
  }
  return Out;
}

} // namespace tamarackdrum

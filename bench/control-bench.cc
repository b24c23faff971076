/// \file
/// Processor time, memory and bytes of control work by the size of a view.

#include "tamarackdrum/planner.h"
#include "tamarackdrum/rebalance.h"
#include "tamarackdrum/routing.h"
#include "tamarackdrum/view-json.h"

#include <benchmark/benchmark.h>
#include <malloc.h>

namespace tamarackdrum {
namespace {

constexpr std::size_t ClassServers = 11;

/// Returns a view of \p Slices slices in classes of SlicesPerClass, each with
/// its own servers and hot keys.
View makeView(std::size_t Slices, std::size_t HotKeys = 0) {
  View Out;
  Out.m_generation = 1;
  for (int I = 0; I < 12; ++I)
    Out.m_members.push_back({"entry-" + std::to_string(100 + I),
                             "10.0.0." + std::to_string(I) + ":7001",
                             "zone-" + std::to_string(I % 3)});
  for (std::size_t C = 0; C < Slices / SlicesPerClass; ++C) {
    ClassTarget Target;
    Target.m_name = "class-" + std::to_string(1000 + C);
    Target.m_keyed = true;
    Out.m_classes.push_back(Target);
    for (std::size_t I = 0; I < ClassServers; ++I)
      Out.m_servers.push_back({Target.m_name + "-" + std::to_string(100 + I),
                               Target.m_name, "10.1.2.3:8080"});
  }
  Out = assignSlices(Out);
  for (ClassAssignment &Assignment : Out.m_assignments)
    for (std::size_t I = 0; I < HotKeys; ++I)
      Assignment.m_hotKeys.push_back({I, Assignment.m_slices[0]});
  return Out;
}

std::size_t heapInUse() { return ::mallinfo2().uordblks; }

void BM_renewRequestJson(benchmark::State &State) {
  const RenewRequest Request{"entry-100", 1234567890123456789U, 4500};
  std::size_t Bytes = 0;
  for (auto Step : State) {
    const std::string Text = toText(toJson(Request));
    benchmark::DoNotOptimize(renewRequestFromJson(parseJson(Text).value()));
    Bytes = Text.size();
  }
  State.counters["bytes"] = static_cast<double>(Bytes);
}
BENCHMARK(BM_renewRequestJson);

void BM_renewReplyJson(benchmark::State &State) {
  RenewReply Reply;
  Reply.m_from = "entry-100";
  Reply.m_incarnation = 1234567890123456789U;
  Reply.m_generation = 4500;
  std::size_t Bytes = 0;
  for (auto Step : State) {
    const std::string Text = toText(toJson(Reply));
    benchmark::DoNotOptimize(renewReplyFromJson(parseJson(Text).value()));
    Bytes = Text.size();
  }
  State.counters["bytes"] = static_cast<double>(Bytes);
}
BENCHMARK(BM_renewReplyJson);

void BM_renewDecision(benchmark::State &State) {
  const TimePoint Start{Millis(1000)};
  const LeaseTiming Timing;
  const ViewPtr Current = std::make_shared<const View>(makeView(256));
  ViewLease Asker("entry-100", 1, Timing, Start);
  ViewLease Granter("entry-101", 1, Timing, Start);
  TimePoint Now = Start + Millis(10000);
  Asker.install(Current, ViewSource::Table, Now);
  Granter.install(Current, ViewSource::Table, Now);
  for (auto Step : State) {
    Now += Millis(1);
    const RenewReply Reply = Granter.onRenew(Asker.makeRenew(), Now);
    Asker.onRenewReply(Reply, 1, Now, Now);
  }
}
BENCHMARK(BM_renewDecision);

void BM_viewToJson(benchmark::State &State) {
  const View Current = makeView(static_cast<std::size_t>(State.range(0)));
  std::size_t Bytes = 0;
  for (auto Step : State)
    Bytes = toText(toJson(Current)).size();
  State.counters["bytes"] = static_cast<double>(Bytes);
}
BENCHMARK(BM_viewToJson)
    ->Arg(256)
    ->Arg(1024)
    ->Arg(10240)
    ->Arg(102400)
    ->Unit(benchmark::kMillisecond);

void BM_viewFromJson(benchmark::State &State) {
  const std::string Text =
      toText(toJson(makeView(static_cast<std::size_t>(State.range(0)))));
  for (auto Step : State)
    benchmark::DoNotOptimize(viewFromJson(parseJson(Text).value()));
}
BENCHMARK(BM_viewFromJson)
    ->Arg(256)
    ->Arg(1024)
    ->Arg(10240)
    ->Arg(102400)
    ->Unit(benchmark::kMillisecond);

/// Cost of a new view in which one server of one class is suspended.
void BM_viewInstall(benchmark::State &State) {
  const std::size_t Before = heapInUse();
  View Current = makeView(static_cast<std::size_t>(State.range(0)));
  const std::size_t ViewBytes = heapInUse() - Before;
  Router Routes;
  Routes.install(Current);
  const std::size_t RouterBytes = heapInUse() - Before - ViewBytes;
  for (auto Step : State) {
    State.PauseTiming();
    Current.m_servers[0].m_suspended = !Current.m_servers[0].m_suspended;
    Current =
        assignSlices(nextGeneration(Current, "entry-100", "operation-id"));
    State.ResumeTiming();
    Routes.install(Current);
  }
  State.counters["view_bytes"] = static_cast<double>(ViewBytes);
  State.counters["router_bytes"] = static_cast<double>(RouterBytes);
}
BENCHMARK(BM_viewInstall)
    ->Arg(256)
    ->Arg(1024)
    ->Arg(10240)
    ->Arg(102400)
    ->Unit(benchmark::kMillisecond);

/// Cost of the planner's change for one server.
void BM_assignSlices(benchmark::State &State) {
  View Current = makeView(static_cast<std::size_t>(State.range(0)));
  for (auto Step : State) {
    Current.m_servers[0].m_suspended = !Current.m_servers[0].m_suspended;
    Current =
        assignSlices(nextGeneration(Current, "entry-100", "operation-id"));
  }
}
BENCHMARK(BM_assignSlices)
    ->Arg(256)
    ->Arg(1024)
    ->Arg(10240)
    ->Arg(102400)
    ->Unit(benchmark::kMillisecond);

/// Bytes of a view with hot keys.
void BM_hotKeysToJson(benchmark::State &State) {
  const View Current = makeView(256, static_cast<std::size_t>(State.range(0)));
  std::size_t Bytes = 0;
  for (auto Step : State)
    Bytes = toText(toJson(Current)).size();
  State.counters["bytes"] = static_cast<double>(Bytes);
}
BENCHMARK(BM_hotKeysToJson)->Arg(0)->Arg(110);

void BM_sketchAdd(benchmark::State &State) {
  HotKeySketch Sketch(64);
  std::uint64_t Hash = 1;
  constexpr std::uint64_t Multiplier = 6364136223846793005U;
  for (auto Step : State) {
    Hash = Hash * Multiplier + 1;
    Sketch.add(Hash);
  }
}
BENCHMARK(BM_sketchAdd);

} // namespace
} // namespace tamarackdrum

BENCHMARK_MAIN();

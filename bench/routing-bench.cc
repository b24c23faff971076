/// \file
/// Cost of one routing decision in time and allocations.

#include "tamarackdrum/planner.h"
#include "tamarackdrum/routing.h"

#include <benchmark/benchmark.h>
#include <cstdlib>
#include <new>

namespace {

/// Allocations of the process so far.
std::atomic<std::uint64_t> Allocations{0};

} // namespace

[[gnu::noinline]] void *operator new(std::size_t Size) {
  Allocations.fetch_add(1, std::memory_order_relaxed);
  void *Memory = std::malloc(Size);
  if (Memory == nullptr)
    throw std::bad_alloc();
  return Memory;
}

[[gnu::noinline]] void operator delete(void *Memory) noexcept {
  std::free(Memory);
}
[[gnu::noinline]] void operator delete(void *Memory,
                                       std::size_t /*Size*/) noexcept {
  std::free(Memory);
}

namespace tamarackdrum {
namespace {

constexpr int ServerCount = 11;
constexpr int KeyCount = 1024;

View makeView(bool IsKeyed) {
  View First;
  First.m_generation = 1;
  ClassTarget Stock;
  Stock.m_name = "stock";
  Stock.m_keyed = IsKeyed;
  First.m_classes.push_back(Stock);
  constexpr int FirstNumber = 10; // All names are of the same length.
  for (int I = 0; I < ServerCount; ++I)
    First.m_servers.push_back(
        {"s" + std::to_string(FirstNumber + I), "stock", "127.0.0.1:1"});
  return assignSlices(First);
}

void runDecisions(benchmark::State &State, bool IsKeyed) {
  Router Routes;
  Routes.install(makeView(IsKeyed));
  const TimePoint Now{Millis(1000)};
  Routes.setLease(Now + Millis(600), 1);
  std::vector<std::string> Keys;
  Keys.reserve(KeyCount);
  for (int I = 0; I < KeyCount; ++I)
    Keys.push_back("sheet-" + std::to_string(I));
  std::size_t Next = 0;
  const std::uint64_t Before = Allocations.load();
  for (auto Step : State) {
    Result<Dispatch> Granted =
        Routes.decide({"stock", Keys[Next++ % KeyCount]}, Now);
    Granted.value().complete();
  }
  State.counters["allocations"] =
      static_cast<double>(Allocations.load() - Before);
}

void BM_decideKeyed(benchmark::State &State) { runDecisions(State, true); }
BENCHMARK(BM_decideKeyed);

void BM_decideUnkeyed(benchmark::State &State) { runDecisions(State, false); }
BENCHMARK(BM_decideUnkeyed);

} // namespace
} // namespace tamarackdrum

BENCHMARK_MAIN();

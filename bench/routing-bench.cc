/// \file
/// Cost of one routing decision.

#include "tamarackdrum/planner.h"
#include "tamarackdrum/routing.h"

#include <benchmark/benchmark.h>

namespace tamarackdrum {
namespace {

void BM_decideKeyed(benchmark::State &State) {
  View First;
  First.m_generation = 1;
  ClassTarget Stock;
  Stock.m_name = "stock";
  Stock.m_keyed = true;
  First.m_classes.push_back(Stock);
  for (int I = 0; I < 11; ++I)
    First.m_servers.push_back(
        {"s" + std::to_string(10 + I), "stock", "127.0.0.1:1"});
  Router Routes;
  Routes.install(assignSlices(First));
  const TimePoint Now{Millis(1000)};
  Routes.setLease(Now + Millis(600), 1);
  std::vector<std::string> Keys;
  constexpr int KeyCount = 1024;
  Keys.reserve(KeyCount);
  for (int I = 0; I < KeyCount; ++I)
    Keys.push_back("sheet-" + std::to_string(I));
  std::size_t Next = 0;
  for (auto Step : State) {
    Result<Dispatch> Granted =
        Routes.decide({"stock", Keys[Next++ % KeyCount]}, Now);
    Granted.value().complete();
  }
}
BENCHMARK(BM_decideKeyed);

} // namespace
} // namespace tamarackdrum

BENCHMARK_MAIN();

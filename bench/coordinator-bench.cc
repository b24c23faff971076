/// \file
/// Processor time of what the coordinator and granter of a keyed service does
/// periodically, by servers of the service. Keys of one server in 20 are hot.

#include "tamarackdrum/gateway/dispatcher.h"
#include "tamarackdrum/gateway/key-placement.h"

#include <benchmark/benchmark.h>

namespace tamarackdrum::gateway {
namespace {

constexpr std::uint32_t HotShare = 20; ///< One server in so many is hot.
constexpr std::uint32_t WaitingPerHolder = 50;
constexpr double HotRate = 5.0; ///< Requests a second for a hot key.
constexpr double Capacity = 3.6;

std::vector<ServerEntry> makeServers(std::uint32_t Count) {
  std::vector<ServerEntry> Out(Count);
  for (std::uint32_t I = 0; I < Count; ++I) {
    Out[I].m_id = "i-" + std::to_string(1000000000 + I);
    Out[I].m_service = "stock";
    Out[I].m_zone = "zone-a";
    Out[I].m_slots = 2;
    Out[I].m_startMs = 1;
  }
  return Out;
}

/// Returns two ranges a server.
std::vector<KeyRange> makeRanges(const std::vector<ServerEntry> &Servers) {
  const std::uint32_t Count = static_cast<std::uint32_t>(Servers.size()) * 2;
  const std::uint32_t Width = KeyCount / Count;
  std::vector<KeyRange> Out;
  for (std::uint32_t I = 0; I < Count; ++I)
    Out.push_back(
        {static_cast<Key>(I * Width),
         static_cast<Key>((I + 1 == Count ? KeyCount : (I + 1) * Width) - 1),
         Servers[I % Servers.size()].m_id});
  return Out;
}

void measureTick(benchmark::State &State) {
  const std::vector<ServerEntry> Servers =
      makeServers(static_cast<std::uint32_t>(State.range(0)));
  const std::vector<KeyRange> Ranges = makeRanges(Servers);
  const TimePoint Now{std::chrono::seconds(100)};
  Dispatcher Subject{DispatchPolicy{}};
  DispatchDecisions Decisions;
  Subject.setServers(Servers, Now, Decisions);
  Subject.setKeyMap(KeyMap(1, Ranges), Now, Decisions);
  std::uint32_t Number = 0;
  for (std::size_t I = 0; I < Servers.size(); I += HotShare)
    for (std::uint32_t J = 0; J < WaitingPerHolder + 2; ++J) {
      DispatchRequest Request;
      Request.m_id = {0, ++Number};
      Request.m_key = Ranges[I].m_from;
      Request.m_objectiveLeft = std::chrono::minutes(10);
      Request.m_timeLeft = std::chrono::minutes(20);
      Subject.submit(Request, Now, Decisions);
    }
  for (auto _ : State) // NOLINT: as the library wants it
    Subject.tick(Now, Decisions);
  State.counters["waiting"] = static_cast<double>(Subject.load().m_waiting);
}

void measurePlacement(benchmark::State &State) {
  const std::vector<ServerEntry> Servers =
      makeServers(static_cast<std::uint32_t>(State.range(0)));
  std::vector<PlacedRange> Placed;
  std::vector<KeyRate> Rates;
  std::map<std::string, double> ByServer;
  for (const ServerEntry &Item : Servers)
    ByServer[Item.m_id] = Capacity;
  // The hot keys are alone at their limit, so that no part of them can move.
  for (const KeyRange &Item : makeRanges(Servers)) {
    Placed.push_back({Item, true});
    const bool IsHot = Placed.size() % HotShare == 0;
    Rates.push_back({Item.m_from, IsHot ? HotRate : 1.0});
  }
  for (auto _ : State) // NOLINT: as the library wants it
    benchmark::DoNotOptimize(
        planPlacement(Placed, ByServer, Rates, PlacementPolicy{}));
}

BENCHMARK(measureTick)->Arg(50)->Arg(100)->Arg(200)->Arg(400)->Arg(800);
BENCHMARK(measurePlacement)->Arg(50)->Arg(100)->Arg(200)->Arg(400);

} // namespace
} // namespace tamarackdrum::gateway

BENCHMARK_MAIN();

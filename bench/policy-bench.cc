/// \file
/// Compares policies that place keys on servers, under one generated load with
/// moving hot keys, load blips and changes of servers. Virtual time, core only.

#include "tamarackdrum/planner.h"
#include "tamarackdrum/rebalance.h"

#include <algorithm>
#include <boost/program_options.hpp>
#include <cmath>
#include <iomanip>
#include <iostream>
#include <random>
#include <set>
#include <sstream>

namespace po = boost::program_options;

namespace tamarackdrum {
namespace {

constexpr std::size_t Windows = 600;
constexpr double WindowSeconds = 2;
constexpr std::size_t Keys = 20000;
constexpr std::size_t RequestsPerWindow = 20000;
constexpr double ZipfExponent = 0.9;
constexpr std::size_t HotPeriod = 30;   ///< Windows between new hot keys.
constexpr std::size_t HotDuration = 40; ///< Windows that a hot key lasts.
constexpr double HotShare = 0.06;
constexpr std::size_t BlipPeriod = 37; ///< Windows between one-window blips.
constexpr double BlipShare = 0.15;
constexpr std::size_t EventPeriod = 60; ///< Windows between server changes.
constexpr std::size_t EventDuration = 20;
constexpr double Utilization = 0.7; ///< Mean load over capacity.
constexpr double BoundFactor = 1.25;
constexpr std::size_t SketchBuckets = 64;
constexpr std::size_t TopKeys = 64;

/// What the platform and the callers of a class look like.
struct Scenario {
  std::string m_name;
  std::size_t m_servers;
  unsigned m_slots;
};

/// Times for which a moved key is not served.
struct Pauses {
  double m_planned; ///< Seconds after a planned move.
  double m_loss;    ///< Seconds after the loss of the owner.
};

/// Requests of one window by key.
using WindowCounts = std::vector<std::uint32_t>;

/// One generated session, the same for all policies.
struct Session {
  std::vector<std::uint64_t> m_hashes;
  std::vector<WindowCounts> m_windows;
};

Session makeSession(std::uint32_t Seed) {
  std::mt19937 Engine(Seed);
  Session Out;
  std::vector<double> Weights;
  for (std::size_t I = 0; I < Keys; ++I) {
    Out.m_hashes.push_back(hashKey("key-" + std::to_string(I)));
    Weights.push_back(1 / std::pow(static_cast<double>(I + 1), ZipfExponent));
  }
  std::discrete_distribution<std::size_t> Zipf(Weights.begin(), Weights.end());
  std::uniform_int_distribution<std::size_t> AnyKey(0, Keys - 1);
  std::vector<std::pair<std::size_t, std::size_t>> Hot; // Key, last window.
  for (std::size_t W = 0; W < Windows; ++W) {
    WindowCounts Counts(Keys);
    for (std::size_t I = 0; I < RequestsPerWindow; ++I)
      ++Counts[Zipf(Engine)];
    if (W % HotPeriod == 0)
      Hot.emplace_back(AnyKey(Engine), W + HotDuration);
    for (const std::pair<std::size_t, std::size_t> &Key : Hot)
      if (W < Key.second)
        Counts[Key.first] +=
            static_cast<std::uint32_t>(HotShare * RequestsPerWindow);
    if (W % BlipPeriod == BlipPeriod - 1)
      Counts[AnyKey(Engine)] +=
          static_cast<std::uint32_t>(BlipShare * RequestsPerWindow);
    Out.m_windows.push_back(std::move(Counts));
  }
  return Out;
}

/// Servers that are out in a window: leaving by plan, or lost.
struct Outage {
  std::optional<std::size_t> m_server;
  bool m_isLoss = false;
};

Outage outageAt(std::size_t Window, std::size_t Servers) {
  const std::size_t Event = Window / EventPeriod;
  const std::size_t Phase = Window % EventPeriod;
  if (Phase < EventPeriod / 2 || Phase >= EventPeriod / 2 + EventDuration)
    return {};
  return {(Event * 3) % Servers, Event % 2 == 0};
}

using OwnerByKey = std::vector<std::string>;

/// A policy maps each window's servers and last loads to owners of all keys.
class Policy {
public:
  virtual ~Policy() = default;
  virtual OwnerByKey place(const std::vector<std::string> &Servers,
                           const Session &Load, std::size_t Window) = 0;
};

class StaticHash : public Policy {
public:
  OwnerByKey place(const std::vector<std::string> &Servers, const Session &Load,
                   std::size_t /*Window*/) override {
    OwnerByKey Owners;
    for (const std::uint64_t Hash : Load.m_hashes)
      Owners.push_back(
          Servers[sliceIndex(Hash, SlicesPerClass) % Servers.size()]);
    return Owners;
  }
};

std::vector<double> sliceLoadsOf(const Session &Load, std::size_t Window) {
  std::vector<double> Out(SlicesPerClass);
  for (std::size_t K = 0; K < Keys; ++K)
    Out[sliceIndex(Load.m_hashes[K], SlicesPerClass)] +=
        Load.m_windows[Window][K];
  return Out;
}

/// Rendezvous hashing of slices. A server above the bound of the mean load of
/// the last window passes further slices on to the next server in order.
class BoundedRendezvous : public Policy {
public:
  explicit BoundedRendezvous(bool UsesLoad) : m_usesLoad(UsesLoad) {}

  OwnerByKey place(const std::vector<std::string> &Servers, const Session &Load,
                   std::size_t Window) override {
    std::vector<double> Weights(SlicesPerClass, 1);
    if (m_usesLoad && Window > 0)
      Weights = sliceLoadsOf(Load, Window - 1);
    double Total = 0;
    for (const double Weight : Weights)
      Total += Weight;
    const double Bound =
        BoundFactor * Total / static_cast<double>(Servers.size());
    std::map<std::string, double> Loads;
    std::vector<std::string> Owners(SlicesPerClass);
    for (std::size_t I = 0; I < SlicesPerClass; ++I) {
      Owners[I] = pick(rank(Servers, I), Loads, Weights[I], Bound);
      Loads[Owners[I]] += Weights[I];
    }
    OwnerByKey Out;
    for (const std::uint64_t Hash : Load.m_hashes)
      Out.push_back(Owners[sliceIndex(Hash, SlicesPerClass)]);
    return Out;
  }

private:
  static std::vector<std::string> rank(const std::vector<std::string> &Servers,
                                       std::size_t Slice) {
    std::vector<std::pair<std::uint64_t, std::string>> Ranked;
    for (const std::string &Server : Servers)
      Ranked.emplace_back(hashKey(Server + "/" + std::to_string(Slice)),
                          Server);
    std::sort(Ranked.begin(), Ranked.end());
    std::vector<std::string> Out;
    for (const std::pair<std::uint64_t, std::string> &Entry : Ranked)
      Out.push_back(Entry.second);
    return Out;
  }

  static std::string pick(const std::vector<std::string> &Ranked,
                          std::map<std::string, double> &Loads, double Weight,
                          double Bound) {
    for (const std::string &Server : Ranked)
      if (Loads[Server] + Weight <= Bound)
        return Server;
    return *std::min_element(
        Ranked.begin(), Ranked.end(),
        [&](const std::string &Left, const std::string &Right) {
          return Loads[Left] < Loads[Right];
        });
  }

  bool m_usesLoad;
};

/// The project's planner, with or without load.
class Planner : public Policy {
public:
  explicit Planner(std::optional<BalancePolicy> Rules) : m_rules(Rules) {
    ClassTarget Target;
    Target.m_name = "keyed";
    Target.m_keyed = true;
    m_view.m_classes.push_back(Target);
  }

  OwnerByKey place(const std::vector<std::string> &Servers, const Session &Load,
                   std::size_t Window) override {
    syncServers(Servers);
    if (m_rules && Window > 0)
      balance(Load, Window - 1);
    OwnerByKey Out;
    for (const std::uint64_t Hash : Load.m_hashes)
      Out.push_back(findSlice(m_view.m_assignments[0], Hash).m_owner);
    return Out;
  }

private:
  void syncServers(const std::vector<std::string> &Servers) {
    std::vector<ServerRecord> Records;
    for (const std::string &Name : Servers)
      Records.push_back({Name, "keyed", "127.0.0.1:1"});
    if (Records == m_view.m_servers)
      return;
    m_view.m_servers = Records;
    m_view = assignSlices(nextGeneration(m_view, "bench", "servers"));
  }

  SliceLoads measure(const Session &Load, std::size_t Window) const {
    SliceLoads Out{"keyed", std::vector<std::uint64_t>(SlicesPerClass), {}};
    HotKeySketch Sketch(SketchBuckets);
    const std::vector<HotKeyRecord> &Isolated =
        m_view.m_assignments[0].m_hotKeys;
    std::set<std::uint64_t> IsolatedHashes;
    for (const HotKeyRecord &Key : Isolated)
      IsolatedHashes.insert(Key.m_hash);
    for (std::size_t K = 0; K < Keys; ++K) {
      const std::uint64_t Hash = Load.m_hashes[K];
      const std::uint32_t Count = Load.m_windows[Window][K];
      if (IsolatedHashes.contains(Hash)) {
        Out.m_keys.push_back({Hash, Count});
        continue;
      }
      for (std::uint32_t I = 0; I < Count; ++I)
        Sketch.add(Hash);
      Out.m_slices[sliceIndex(Hash, SlicesPerClass)] += Count;
    }
    for (const KeyCount &Key : Sketch.top(TopKeys))
      Out.m_keys.push_back(Key);
    return Out;
  }

  void balance(const Session &Load, std::size_t Window) {
    const ClassLoads Loads{measure(Load, Window)};
    const BalancePolicies Policies{*m_rules, *m_rules};
    m_state = observeLoads(m_state, m_view, Loads, Policies);
    const std::optional<View> Next = rebalance(
        nextGeneration(m_view, "bench", "balance"), Loads, m_state, Policies);
    if (!Next)
      return;
    m_view = *Next;
    m_state.clear();
  }

  std::optional<BalancePolicy> m_rules;
  View m_view;
  BalanceState m_state;
};

/// Results of one policy over a session.
struct Measures {
  double m_imbalance = 0;    ///< Mean over windows of largest over mean load.
  double m_imbalanceP99 = 0; ///< The same at the 99th percentile of windows.
  double m_churn = 0;        ///< Changes of owner a key, in percent of keys.
  double m_moveSeconds = 0;  ///< Unavailable time by moves, load-weighted.
  double m_shedSeconds = 0;  ///< Unavailable time by overload, load-weighted.
};

struct WindowResult {
  double m_imbalance;
  double m_shedShare;
};

WindowResult evaluate(const OwnerByKey &Owners, const WindowCounts &Counts,
                      std::size_t Up, double Capacity) {
  std::map<std::string, double> Loads;
  double Total = 0;
  for (std::size_t K = 0; K < Keys; ++K) {
    Loads[Owners[K]] += Counts[K];
    Total += Counts[K];
  }
  double Largest = 0;
  double Shed = 0;
  for (const std::pair<const std::string, double> &Entry : Loads) {
    Largest = std::max(Largest, Entry.second);
    Shed += std::max(0.0, Entry.second - Capacity);
  }
  return {Largest * static_cast<double>(Up) / Total, Shed / Total};
}

Measures runPolicy(Policy &Rules, const Scenario &Shape, const Session &Load,
                   const Pauses &Pause) {
  const double Capacity = RequestsPerWindow * (1 + HotShare) /
                          static_cast<double>(Shape.m_servers) / Utilization;
  Measures Out;
  OwnerByKey Before;
  std::vector<double> Imbalances;
  for (std::size_t W = 0; W < Windows; ++W) {
    const Outage Now = outageAt(W, Shape.m_servers);
    std::vector<std::string> Servers;
    for (std::size_t I = 0; I < Shape.m_servers; ++I)
      if (Now.m_server != I)
        Servers.push_back("s" + std::to_string(100 + I));
    const OwnerByKey Owners = Rules.place(Servers, Load, W);
    const WindowCounts &Counts = Load.m_windows[W];
    const WindowResult Result =
        evaluate(Owners, Counts, Servers.size(), Capacity);
    Imbalances.push_back(Result.m_imbalance);
    Out.m_shedSeconds += Result.m_shedShare * WindowSeconds;
    double Total = 0;
    double Paused = 0;
    for (std::size_t K = 0; K < Keys && !Before.empty(); ++K) {
      Total += Counts[K];
      if (Before[K] == Owners[K])
        continue;
      Out.m_churn += 100.0 / static_cast<double>(Keys);
      const bool IsLost =
          Now.m_isLoss &&
          std::find(Servers.begin(), Servers.end(), Before[K]) == Servers.end();
      Paused += Counts[K] * (IsLost ? Pause.m_loss : Pause.m_planned);
    }
    Out.m_moveSeconds += Total > 0 ? Paused / Total : 0;
    Before = Owners;
  }
  for (const double Imbalance : Imbalances)
    Out.m_imbalance += Imbalance / static_cast<double>(Windows);
  std::sort(Imbalances.begin(), Imbalances.end());
  Out.m_imbalanceP99 = Imbalances[Imbalances.size() * 99 / 100];
  return Out;
}

void print(const std::string &Name, const Measures &Out) {
  std::cout << "| " << Name << std::fixed << std::setprecision(2) << " | "
            << Out.m_imbalance << " | " << Out.m_imbalanceP99 << " | "
            << std::setprecision(0) << Out.m_churn << " | "
            << std::setprecision(1) << Out.m_moveSeconds << " | "
            << Out.m_shedSeconds << " | "
            << Out.m_moveSeconds + Out.m_shedSeconds << " |\n";
}

void runScenario(const Scenario &Shape, const Session &Load,
                 const Pauses &Pause) {
  std::cout << "\n"
            << Shape.m_name << ", " << Shape.m_servers << " servers, "
            << Shape.m_slots << " slots\n\n"
            << "| policy | imbalance | p99 | churn % | moves s | overload s | "
               "unavailable s |\n|---|---|---|---|---|---|---|\n";
  StaticHash Hash;
  print("static hash", runPolicy(Hash, Shape, Load, Pause));
  BoundedRendezvous ByCount(false);
  print("rendezvous, bounded slices", runPolicy(ByCount, Shape, Load, Pause));
  BoundedRendezvous ByLoad(true);
  print("rendezvous, bounded load", runPolicy(ByLoad, Shape, Load, Pause));
  Planner ByNumber(std::nullopt);
  print("planner without load", runPolicy(ByNumber, Shape, Load, Pause));
  for (const double SpreadAbove : {1.1, 1.25, 1.4, 1.6, 2.0})
    for (const unsigned Needed : {2U, 3U, 6U}) {
      Planner WithLoad(BalancePolicy{SpreadAbove, 0.25, 0.1, Needed, 4});
      std::ostringstream Name;
      Name << "planner " << SpreadAbove << "x, " << Needed << " windows";
      print(Name.str(), runPolicy(WithLoad, Shape, Load, Pause));
    }
}

int run(int Argc, char **Argv) {
  std::uint32_t Seed = 0;
  double PlannedMs = 0;
  double LossMs = 0;
  po::options_description Options("policy-bench");
  Options.add_options()("help", "print this help")(
      "seed", po::value(&Seed)->default_value(20261203), "seed of the load")(
      "move-pause-ms", po::value(&PlannedMs)->default_value(300),
      "time for which a moved key is not served")(
      "loss-pause-ms", po::value(&LossMs)->default_value(2600),
      "time for which a key of a lost server is not served");
  po::variables_map Values;
  po::store(po::parse_command_line(Argc, Argv, Options), Values);
  po::notify(Values);
  if (Values.count("help") > 0) {
    std::cout << Options;
    return 0;
  }
  constexpr double MillisPerSecond = 1000;
  const Pauses Pause{PlannedMs / MillisPerSecond, LossMs / MillisPerSecond};
  const Session Load = makeSession(Seed);
  runScenario({"Cedarleaf stock", 11, 2}, Load, Pause);
  runScenario({"Biedriba status", 14, 4}, Load, Pause);
  return 0;
}

} // namespace
} // namespace tamarackdrum

int main(int Argc, char **Argv) {
  try {
    return tamarackdrum::run(Argc, Argv);
  } catch (const std::exception &Error) {
    std::cerr << Error.what() << '\n';
    return 2;
  }
}

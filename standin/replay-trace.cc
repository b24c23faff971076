#include "replay-trace.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <random>
#include <stdexcept>

namespace tamarackdrum::replay {
namespace {

using namespace gateway;

std::vector<std::size_t> everyNth(std::size_t Count, std::size_t Step) {
  std::vector<std::size_t> Out;
  for (std::size_t I = 0; I < Count; I += Step)
    Out.push_back(I);
  return Out;
}

/// Adds to the load of a span by repeating what arrives in it.
void multiply(Trace &Load, Millis From, Millis To, double Factor,
              std::mt19937_64 &Random) {
  std::vector<Arrival> Added;
  for (const Arrival &Item : Load.m_arrivals) {
    if (Item.m_at < From || Item.m_at >= To)
      continue;
    double Copies = Factor - 1;
    for (; Copies > 0; Copies -= 1) {
      if (Copies < 1 && std::uniform_real_distribution<>()(Random) > Copies)
        break;
      Arrival Copy = Item;
      Copy.m_at = std::clamp(Item.m_at + Millis(Random() % 100), From, To);
      Added.push_back(Copy);
    }
  }
  Load.m_arrivals.insert(Load.m_arrivals.end(), Added.begin(), Added.end());
  std::stable_sort(
      Load.m_arrivals.begin(), Load.m_arrivals.end(),
      [](const Arrival &A, const Arrival &B) { return A.m_at < B.m_at; });
}

/// Gives each request a key. Some keys are far busier than others, and busy
/// keys are neighbours.
void spreadOverKeys(Trace &Load, std::mt19937_64 &Random) {
  constexpr double Skew = 0.45; // Rate of a rank r: r to the minus this.
  Load.m_isKeyed = true;
  const std::uint64_t Center = Random() % KeyCount;
  std::uniform_real_distribution<> Share;
  for (Arrival &Item : Load.m_arrivals) {
    const double Rank = KeyCount * std::pow(Share(Random), 1 / (1 - Skew));
    Item.m_key = static_cast<Key>(Center + static_cast<std::uint64_t>(Rank));
  }
}

/// A share of the requests of a span is about a few neighbouring keys.
struct Heat {
  Millis m_from;
  Millis m_to;
  double m_share = 0;
  std::uint64_t m_keys = 1;
};

void heat(Trace &Load, const Heat &Wanted, std::mt19937_64 &Random) {
  const std::uint64_t First = Random() % KeyCount;
  std::uniform_real_distribution<> Share;
  for (Arrival &Item : Load.m_arrivals)
    if (Item.m_at >= Wanted.m_from && Item.m_at < Wanted.m_to &&
        Share(Random) < Wanted.m_share)
      Item.m_key = static_cast<Key>(First + Random() % Wanted.m_keys);
}

/// Removes requests so that the rate swings by \p Swing around a lower mean;
/// its peak is that of the trace.
void addWave(Trace &Load, double Swing, Millis Period,
             std::mt19937_64 &Random) {
  std::uniform_real_distribution<> Share;
  std::erase_if(Load.m_arrivals, [&](const Arrival &Item) {
    const double Phase = 2 * M_PI * static_cast<double>(Item.m_at.count()) /
                         static_cast<double>(Period.count());
    return Share(Random) > (1 + Swing * std::sin(Phase)) / (1 + Swing);
  });
}

/// Makes the work of each server take three times as long in a fifth of its
/// periods of 400 ms.
void addSlowPeriods(Trace &Load, std::mt19937_64 &Random) {
  constexpr Millis Period{400};
  const Millis End = Load.m_arrivals.back().m_at;
  for (Millis From{0}; From < End; From += Period) {
    FaultSpan Span{Fault::Slow, From, From + Period, 3, {}};
    for (std::size_t I = 0; I < Load.m_servers.size(); ++I)
      if (std::bernoulli_distribution(0.2)(Random))
        Span.m_servers.push_back(I);
    Load.m_faults.push_back(std::move(Span));
  }
}

/// Makes half of the requests short ones of a route that goes first and has
/// little time. The work as a whole stays as it is.
void mixSizes(Trace &Out, std::mt19937_64 &Random) {
  constexpr double ShortWork = 0.3;
  constexpr double ShortObjective = 0.4;
  for (Arrival &Item : Out.m_arrivals) {
    const bool IsShort = std::bernoulli_distribution(0.5)(Random);
    Item.m_route = IsShort ? "short" : "long";
    Item.m_priority = IsShort ? 0 : 1;
    Item.m_workMs *= IsShort ? ShortWork : 2 - ShortWork;
    if (IsShort)
      Item.m_objective = Millis(static_cast<std::int64_t>(
          ShortObjective * static_cast<double>(Out.m_objective.count())));
  }
}

} // namespace

Trace makeTrace(const TraceOptions &Options) {
  constexpr std::array<double, 4> Speeds{0.6, 1.0, 1.0, 1.4};
  constexpr double WavePeriodMs = 11000;
  std::mt19937_64 Random(Options.m_seed);
  Trace Out;
  Out.m_name = "calm";
  Out.m_objective = Options.m_objective;
  Out.m_timeout = 2 * Options.m_objective;
  Out.m_deadline = 4 * Options.m_objective;
  double Capacity = 0; // Requests a second.
  for (const std::string &Zone : Options.m_zones)
    for (std::size_t I = 0; I < Options.m_serversPerZone; ++I) {
      SimulatedServer Server;
      Server.m_entry.m_id = Zone + "-" + std::to_string(I);
      Server.m_entry.m_service = "replayed";
      Server.m_entry.m_zone = Zone;
      Server.m_entry.m_slots = Options.m_slots;
      Server.m_entry.m_startMs = 1;
      Server.m_speed = Speeds[I % Speeds.size()];
      if (Options.m_speeds)
        Server.m_speed = std::uniform_real_distribution<>(
            Options.m_speeds->first, Options.m_speeds->second)(Random);
      Capacity += Options.m_slots * Server.m_speed * 1000 / Options.m_workMs;
      Out.m_servers.push_back(std::move(Server));
    }
  const double PerZone =
      Options.m_load * Capacity / static_cast<double>(Options.m_zones.size());
  std::lognormal_distribution<> Work(
      std::log(Options.m_workMs) - Options.m_spread * Options.m_spread / 2,
      Options.m_spread);
  for (std::size_t Z = 0; Z < Options.m_zones.size(); ++Z) {
    double At = 0;
    while (true) {
      const double Phase =
          2 * M_PI *
          (At / WavePeriodMs + static_cast<double>(Z) /
                                   static_cast<double>(Options.m_zones.size()));
      const double Rate =
          PerZone * (1 + Options.m_unevenness * std::sin(Phase));
      At += std::exponential_distribution<>(Rate / 1000)(Random);
      if (At >= static_cast<double>(Options.m_length.count()))
        break;
      Arrival Item;
      Item.m_at = Millis(static_cast<std::int64_t>(At));
      Item.m_zone = Options.m_zones[Z];
      Item.m_workMs = Work(Random);
      Out.m_arrivals.push_back(std::move(Item));
    }
  }
  std::stable_sort(
      Out.m_arrivals.begin(), Out.m_arrivals.end(),
      [](const Arrival &A, const Arrival &B) { return A.m_at < B.m_at; });
  return Out;
}

const std::vector<std::string> &patternNames() {
  static const std::vector<std::string> Names{
      "calm",  "burst", "abuse",   "leavers",  "slow",
      "shed",  "down",  "mute",    "shift",    "ranks",
      "sizes", "keyed", "hot-key", "hot-keys", "shed-keyed"};
  return Names;
}

TraceOptions deploymentOptions(bool IsSecond, std::uint64_t Seed) {
  TraceOptions Out;
  Out.m_seed = Seed;
  Out.m_length = Millis(24000);
  Out.m_zones = {"zone-a", "zone-b", "zone-c"};
  Out.m_serversPerZone = IsSecond ? 39 : 34;
  Out.m_workMs = IsSecond ? 190 : 160;
  // Capacity at the mean speed is 1,162 and 1,095 requests/s over these.
  Out.m_load = IsSecond ? 1095 * 0.190 / (117 * 4) : 1162 * 0.160 / (102 * 4);
  Out.m_objective = Millis(800);
  Out.m_spread = 0.5;
  Out.m_unevenness = 0;
  Out.m_speeds = {0.5, IsSecond ? 1.6 : 1.5};
  return Out;
}

Trace makeDeploymentLoad(bool IsSecond, DeploymentEvent Event,
                         std::uint64_t Seed) {
  const TraceOptions Options = deploymentOptions(IsSecond, Seed);
  Trace Out = makeTrace(Options);
  Out.m_name = IsSecond ? "second-keyed" : "first-keyed";
  Out.m_deadline = Millis(IsSecond ? 5000 : 3000);
  Out.m_timeout = Out.m_deadline;
  Out.m_retries = IsSecond ? 2 : 1;
  std::mt19937_64 Random(Seed + 1);
  if (IsSecond)
    addWave(Out, 0.55, Millis(13000), Random);
  spreadOverKeys(Out, Random);
  if (Event == DeploymentEvent::HotRange)
    heat(Out, {Millis(8000), Millis(13000), 0.45, 200}, Random);
  if (Event == DeploymentEvent::FewHotKeys)
    heat(Out, {Millis(8000), Millis(13000), 0.45, 12}, Random);
  if (Event == DeploymentEvent::ServersLost)
    Out.m_faults.push_back({Fault::Down, Millis(8000), Millis(1000000), 1,
                            everyNth(Out.m_servers.size(), 4)});
  if (!IsSecond)
    addSlowPeriods(Out, Random);
  return Out;
}

Trace makePattern(const std::string &Name, const TraceOptions &Options) {
  Trace Out = makeTrace(Options);
  Out.m_name = Name;
  std::mt19937_64 Random(Options.m_seed + 1);
  const std::size_t Count = Out.m_servers.size();
  const Millis From(Options.m_length / 3);
  const Millis To(Options.m_length * 2 / 3);
  const auto Share = [&Random](double Part) {
    return std::uniform_real_distribution<>()(Random) < Part;
  };
  const bool IsKeyed = Name.find("key") != std::string::npos;
  if (IsKeyed)
    spreadOverKeys(Out, Random);
  if (Name == "hot-key")
    heat(Out, {From, To, 0.2, 1}, Random);
  if (Name == "hot-keys") {
    heat(Out, {From, (From + To) / 2, 0.36, 200}, Random);
    heat(Out, {(From + To) / 2, To, 0.36, 60}, Random);
  }
  if (Name == "burst")
    multiply(Out, From, From + (To - From) / 3, 1.7, Random);
  else if (Name == "abuse")
    for (Arrival &Item : Out.m_arrivals)
      Item.m_isAbusive = Item.m_at >= From && Item.m_at < To && Share(0.3);
  else if (Name == "leavers")
    for (Arrival &Item : Out.m_arrivals) {
      if (Item.m_at >= From && Item.m_at < To && Share(0.2))
        Item.m_leavesAfter = Out.m_objective / 2;
    }
  else if (Name == "ranks")
    for (Arrival &Item : Out.m_arrivals)
      Item.m_priority = Share(0.5) ? 0 : 1;
  else if (Name == "sizes")
    mixSizes(Out, Random);
  else if (Name == "tight")
    Out.m_timeout = Millis(static_cast<std::int64_t>(2.5 * Options.m_workMs));
  else if (Name == "shift")
    for (Arrival &Item : Out.m_arrivals) {
      const bool IsMoved = Item.m_at >= From && Item.m_at < To &&
                           Item.m_zone == Options.m_zones.front() && Share(0.5);
      if (IsMoved)
        Item.m_zone = Options.m_zones.back();
    }
  else if (Name == "slow")
    Out.m_faults.push_back({Fault::Slow, From, To, 5, everyNth(Count, 6)});
  else if (Name == "shed" || Name == "shed-keyed")
    Out.m_faults.push_back({Fault::Shed, From, To, 0.55, everyNth(Count, 1)});
  else if (Name == "down")
    Out.m_faults.push_back({Fault::Down, From, To, 1, everyNth(Count, 6)});
  else if (Name == "mute")
    Out.m_faults.push_back({Fault::Mute, From, To, 0.45, everyNth(Count, 6)});
  else if (std::find(patternNames().begin(), patternNames().end(), Name) ==
           patternNames().end())
    throw std::invalid_argument(Name);
  return Out;
}

} // namespace tamarackdrum::replay

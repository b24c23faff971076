/// \file
/// tamarack-replay: plays load patterns against the gateway's dispatcher and
/// baselines on a virtual clock, and prints what clients got.

#include "dispatch-replay.h"

#include <array>
#include <boost/program_options.hpp>
#include <iostream>
#include <span>
#include <spdlog/fmt/fmt.h>

namespace tamarackdrum::replay {
namespace {

namespace po = boost::program_options;

struct Options {
  std::vector<std::string> m_patterns;
  std::vector<double> m_loads;
  unsigned m_seeds = 3;
  TraceOptions m_trace;
  ReplayPolicy m_policy;
  bool m_isDeployments = false;
  bool m_isHelp = false;
};

Options parse(int Argc, char **Argv) {
  Options Out;
  std::int64_t Objective = 0;
  po::options_description Known("Usage: tamarack-replay [options]");
  Known.add_options()("help", "print this help")(
      "pattern", po::value(&Out.m_patterns)->multitoken(),
      "load patterns; default: all")(
      "load",
      po::value(&Out.m_loads)
          ->multitoken()
          ->default_value({0.6, 0.8, 1.0, 1.5}, "0.6 0.8 1.0 1.5"),
      "offered work over capacity")(
      "seeds", po::value(&Out.m_seeds)->default_value(Out.m_seeds),
      "traces of each pattern and load")(
      "servers",
      po::value(&Out.m_trace.m_serversPerZone)
          ->default_value(Out.m_trace.m_serversPerZone),
      "servers in each zone")(
      "slots",
      po::value(&Out.m_trace.m_slots)->default_value(Out.m_trace.m_slots),
      "slots of each server")(
      "work-ms",
      po::value(&Out.m_trace.m_workMs)->default_value(Out.m_trace.m_workMs),
      "mean work of a request")(
      "spread",
      po::value(&Out.m_trace.m_spread)->default_value(Out.m_trace.m_spread),
      "spread of the logarithm of the work")(
      "objective-ms", po::value(&Objective)->default_value(600),
      "time within which an answer is in time; the timeout and the deadline "
      "are 2 and 4 times as long");
  Known.add_options()("deployments", po::bool_switch(&Out.m_isDeployments),
                      "play the keyed loads of docs/HARD-LOAD.md instead");
  po::variables_map Values;
  po::store(po::parse_command_line(Argc, Argv, Known), Values);
  po::notify(Values);
  Out.m_isHelp = Values.count("help") > 0;
  Out.m_trace.m_objective = Millis(Objective);
  if (Out.m_isHelp)
    std::cout << Known;
  if (Out.m_patterns.empty())
    Out.m_patterns = patternNames();
  return Out;
}

/// A way to decide, as a row of the table names it.
struct Variant {
  const char *m_name;
  Decider m_decider;
  bool m_isPlacementFixed;
  bool m_isPriorityIgnored;
};

constexpr std::array<Variant, 3> Unkeyed{
    {{"dispatcher", Decider::Dispatcher, false, false},
     {"first-come", Decider::FirstCome, false, false},
     {"random-two-local", Decider::RandomTwoLocal, false, false}}};
constexpr std::array<Variant, 2> Keyed{
    {{"dispatcher", Decider::Dispatcher, false, false},
     {"fixed-keys", Decider::Dispatcher, true, false}}};
constexpr std::array<Variant, 2> Ranked{
    {{"dispatcher", Decider::Dispatcher, false, false},
     {"one-priority", Decider::Dispatcher, false, true}}};

std::span<const Variant> variantsFor(const std::string &Pattern) {
  if (Pattern == "ranks")
    return Ranked;
  if (Pattern.find("key") != std::string::npos)
    return Keyed;
  return Unkeyed;
}

void printRow(const Options &Line, const std::string &Pattern, double Load,
              const Variant &Kind) {
  double Credit = 0;
  double Worst = 0;
  double First = 0;
  ReplayResult Sum;
  for (unsigned Seed = 1; Seed <= Line.m_seeds; ++Seed) {
    TraceOptions Made = Line.m_trace;
    Made.m_seed = Seed;
    Made.m_load = Load;
    const Trace Played = makePattern(Pattern, Made);
    ReplayPolicy Policy = Line.m_policy;
    Policy.m_decider = Kind.m_decider;
    Policy.m_isPlacementFixed = Kind.m_isPlacementFixed;
    Policy.m_isPriorityIgnored = Kind.m_isPriorityIgnored;
    const ReplayResult Result = replay(Played, Policy);
    Credit += Result.credit(Played.m_lateWorth) / Line.m_seeds;
    Worst += Result.worstCredit(Played.m_lateWorth) / Line.m_seeds;
    First += Result.firstCredit(Played.m_lateWorth) / Line.m_seeds;
    Sum += Result;
  }
  const double Owed = Sum.m_owed;
  fmt::print(
      "{:11} {:4.2f} {:17} {:6.3f} {:6.3f} {:6.3f} {:6.3f} {:6.3f} "
      "{:6.3f} {:6.3f} {:6.3f} {:6.3f} {:6.3f} {:6.2f} {:6.2f} {:6} {:6}\n",
      Pattern, Load, Kind.m_name, Credit, Worst, First, Sum.m_inTime / Owed,
      Sum.m_late / Owed, Sum.m_refused / Owed, Sum.m_refusedAgain / Owed,
      Sum.m_failed / Owed, Sum.otherZoneShare(),
      Sum.m_busyMs > 0 ? Sum.m_wastedMs / Sum.m_busyMs : 0,
      Sum.m_messages / Owed, Sum.m_keysMoved / Line.m_seeds,
      Sum.m_notHeld / Line.m_seeds, Sum.m_writes / Line.m_seeds);
}

struct NamedEvent {
  const char *m_name;
  DeploymentEvent m_event;
};

constexpr std::array<NamedEvent, 4> Events{
    {{"none", DeploymentEvent::None},
     {"hot-range", DeploymentEvent::HotRange},
     {"few-hot-keys", DeploymentEvent::FewHotKeys},
     {"servers-lost", DeploymentEvent::ServersLost}}};

/// Prints the shares of requests, then what became of refused callers, then the
/// utilization of the busiest server by second.
void printDeployment(const Options &Line, bool IsSecond,
                     const NamedEvent &Event) {
  ReplayResult Sum;
  for (unsigned Seed = 1; Seed <= Line.m_seeds; ++Seed)
    Sum += replay(makeDeploymentLoad(IsSecond, Event.m_event, Seed),
                  Line.m_policy);
  const double Owed = Sum.m_owed;
  fmt::print("{:6} {:12} {:6} {:6.3f} {:6.3f} {:6.3f} {:6.3f} {:7} {:7} {:7} "
             "{:6.2f} {:6} |",
             IsSecond ? "second" : "first", Event.m_name, Sum.m_owed,
             Sum.m_inTime / Owed, Sum.m_late / Owed, Sum.m_refused / Owed,
             Sum.m_failed / Owed, Sum.m_refusals, Sum.m_returns,
             Sum.m_returnsRefused, Sum.m_keysMoved / Line.m_seeds,
             Sum.m_moves / Line.m_seeds);
  for (double Busiest : Sum.m_busiest)
    fmt::print(" {:.1f}", Busiest);
  fmt::print("\n");
}

void printDeployments(const Options &Line) {
  fmt::print("{:6} {:12} {:>6} {:>6} {:>6} {:>6} {:>6} {:>7} {:>7} {:>7} {:>6} "
             "{:>6} | busiest server, by second\n",
             "load", "event", "owed", "intime", "late", "refus", "fail",
             "answers", "returns", "again", "keys", "moves");
  for (bool IsSecond : {false, true})
    for (const NamedEvent &Event : Events)
      printDeployment(Line, IsSecond, Event);
}

int run(int Argc, char **Argv) {
  const Options Line = parse(Argc, Argv);
  if (Line.m_isHelp)
    return 0;
  if (Line.m_isDeployments) {
    printDeployments(Line);
    return 0;
  }
  fmt::print("{:11} {:4} {:17} {:>6} {:>6} {:>6} {:>6} {:>6} {:>6} {:>6} "
             "{:>6} {:>6} {:>6} {:>6} {:>6} {:>6} {:>6}\n",
             "pattern", "load", "decider", "credit", "worst", "first", "intime",
             "late", "refus", "again", "fail", "zone", "waste", "msgs", "moved",
             "unheld", "writes");
  for (const std::string &Pattern : Line.m_patterns)
    for (double Load : Line.m_loads)
      for (const Variant &Kind : variantsFor(Pattern))
        printRow(Line, Pattern, Load, Kind);
  return 0;
}

} // namespace
} // namespace tamarackdrum::replay

int main(int Argc, char **Argv) {
  try {
    return tamarackdrum::replay::run(Argc, Argv);
  } catch (const std::exception &Error) {
    std::cerr << Error.what() << '\n';
    return 2;
  }
}

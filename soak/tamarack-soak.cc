/// \file
/// tamarack-soak: plays faults against real gateway processes on loopback
/// addresses and checks the promises that clients and servers rely on.
///
/// Exit codes: 0 no promise was broken, 1 one was, 2 bad command line.

#include "soak-clients.h"

#include "tamarackdrum/sleep.h"
#include "tamarackdrum/worker-context.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/program_options.hpp>
#include <csignal>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <spdlog/fmt/fmt.h>

namespace tamarackdrum::soak {
namespace {

namespace asio = boost::asio;
namespace po = boost::program_options;
using Json = nlohmann::json;

constexpr int ExitKept = 0;
constexpr int ExitBroken = 1;
constexpr int ExitUsage = 2;
constexpr Millis ReadyLimit{20000}; ///< For all hosts, at the start.
constexpr Millis CalmBefore{1500};
constexpr Millis CalmAfter{8000};
constexpr Millis JudgedTail{2000}; ///< Served again by then.
constexpr Millis EndLimit{6000};   ///< For requests on their way.
constexpr Millis LookEvery{50};    ///< Whether all are ready or have ended.
constexpr double LeastServed = 0.9;

struct Options {
  std::uint64_t m_firstSeed = 1;
  unsigned m_seeds = 1;
  std::int64_t m_seconds = 20;
  bool m_isPlannedOnly = false;
  bool m_judgesRecovery = false;
  bool m_keepsLogs = false;
  bool m_isHelp = false;
  SiteOptions m_site;
  ClientOptions m_clients;
  std::string m_directory;
};

Options parse(int Argc, char **Argv) {
  Options Out;
  po::options_description Known("Usage: tamarack-soak [options]");
  Known.add_options()("help", "print this help")(
      "seed", po::value(&Out.m_firstSeed)->default_value(Out.m_firstSeed),
      "first seed")("seeds",
                    po::value(&Out.m_seeds)->default_value(Out.m_seeds),
                    "seeds to play, one after another")(
      "seconds", po::value(&Out.m_seconds)->default_value(Out.m_seconds),
      "length of the faults of each run")(
      "hosts",
      po::value(&Out.m_site.m_hosts)->default_value(Out.m_site.m_hosts),
      "gateway processes")("clients",
                           po::value(&Out.m_clients.m_clients)
                               ->default_value(Out.m_clients.m_clients),
                           "clients")(
      "planned", po::bool_switch(&Out.m_isPlannedOnly),
      "play planned work only: stops, reloads, configurations, leaves")(
      "recovery", po::bool_switch(&Out.m_judgesRecovery),
      "also judge that requests are served again after the faults")(
      "keep", po::bool_switch(&Out.m_keepsLogs),
      "keep the logs of runs that broke nothing")(
      "program", po::value(&Out.m_site.m_program)->required(),
      "the gateway's program")(
      "directory", po::value(&Out.m_directory)->default_value("soak-runs"),
      "where logs and records go")(
      "network",
      po::value(&Out.m_site.m_network)->default_value(Out.m_site.m_network),
      "first two parts of the loopback addresses");
  po::variables_map Values;
  po::store(po::parse_command_line(Argc, Argv, Known), Values);
  Out.m_isHelp = Values.count("help") > 0;
  if (Out.m_isHelp)
    std::cout << Known;
  else
    po::notify(Values);
  return Out;
}

/// What one run has shown.
struct RunResult {
  std::vector<BrokenPromise> m_broken;
  std::size_t m_tries = 0;
  std::size_t m_runs = 0;
  std::size_t m_faults = 0;
  double m_served = 0;
  double m_servedAfter = 0;
  bool m_wasReady = false;
};

std::int64_t toMs(TimePoint From, TimePoint At) {
  return std::chrono::duration_cast<Millis>(At - From).count();
}

/// Writes what was played and seen, to be read beside the hosts' logs.
void writeRecords(const std::filesystem::path &Directory, const History &Seen,
                  const RunResult &Result, TimePoint Start) {
  std::ofstream Out(Directory / "records.jsonl");
  for (const BrokenPromise &Item : Result.m_broken)
    Out << Json{{"broken", toText(Item.m_promise)},
                {"request", Item.m_request},
                {"detail", Item.m_detail}}
        << '\n';
  for (const FaultSpan &Item : Seen.m_faults)
    Out << Json{{"fault", toText(Item.m_kind)},
                {"target", Item.m_target},
                {"from_ms", toMs(Start, Item.m_from)},
                {"to_ms",
                 Item.m_to == TimePoint::max() ? -1 : toMs(Start, Item.m_to)}}
        << '\n';
  for (const LeaveRecord &Item : Seen.m_leaves)
    Out << Json{{"leave", Item.m_server}, {"at_ms", toMs(Start, Item.m_at)}}
        << '\n';
  for (const TryRecord &Item : Seen.m_tries)
    Out << Json{{"try", Item.m_id},
                {"target", Item.m_target},
                {"host", Item.m_host},
                {"life", Item.m_hostLife},
                {"status", Item.m_status},
                {"given_up", Item.m_hasGivenUp},
                {"kept", Item.m_isOnKept},
                {"sent_ms", toMs(Start, Item.m_sentAt)},
                {"ended_ms", toMs(Start, Item.m_endedAt)}}
        << '\n';
  for (const platform::standin::RunRecord &Item : Seen.m_servers.m_runs)
    Out << Json{{"run", Item.m_request},
                {"server", Item.m_server},
                {"key", Item.m_key.value_or(0)},
                {"fence", Item.m_fence},
                {"begin_ms", toMs(Start, Item.m_begin)},
                {"end_ms", toMs(Start, Item.m_end)}}
        << '\n';
  for (const platform::standin::GrantRecord &Item : Seen.m_servers.m_grants)
    Out << Json{{Item.m_isRelease ? "release" : "grant", Item.m_server},
                {"from", Item.m_from},
                {"to", Item.m_to},
                {"fence", Item.m_fence},
                {"taken", Item.m_isTaken},
                {"at_ms", toMs(Start, Item.m_at)}}
        << '\n';
}

/// Plays one schedule.
class Run {
public:
  Run(const Options &Line, std::uint64_t Seed)
      : m_line(Line), m_seed(Seed), m_siteOptions(withDirectory(Line, Seed)),
        m_site(m_context, m_siteOptions, Seed, m_seen),
        m_clients(m_context, Line.m_clients, Seed + 1, m_site, m_seen) {}

  RunResult play() {
    m_site.start();
    asio::co_spawn(m_context, conduct(), asio::detached);
    m_context.run();
    m_context.dropPending();
    RunResult Out;
    Out.m_wasReady = m_wasReady;
    Out.m_broken = findBroken(m_seen, PromiseBounds{});
    Out.m_tries = m_seen.m_tries.size();
    Out.m_runs = m_seen.m_servers.m_runs.size();
    Out.m_faults = m_seen.m_faults.size();
    Out.m_served = servedShare(m_seen, m_startedAt);
    Out.m_servedAfter = servedShare(m_seen, m_judgedFrom);
    writeRecords(m_siteOptions.m_directory, m_seen, Out, m_startedAt);
    return Out;
  }

  const std::filesystem::path &directory() const {
    return m_siteOptions.m_directory;
  }

private:
  static SiteOptions withDirectory(const Options &Line, std::uint64_t Seed) {
    SiteOptions Out = Line.m_site;
    Out.m_directory =
        std::filesystem::path(Line.m_directory) / fmt::format("seed-{}", Seed);
    std::filesystem::remove_all(Out.m_directory);
    return Out;
  }

  asio::awaitable<void> conduct() {
    m_clients.start();
    const TimePoint Limit = BootClock::now() + ReadyLimit;
    while (!m_clients.allReady() && BootClock::now() < Limit)
      co_await sleepFor(LookEvery);
    m_wasReady = m_clients.allReady();
    m_startedAt = BootClock::now();
    ScheduleOptions Wanted;
    Wanted.m_seed = m_seed;
    Wanted.m_hosts = m_site.hostCount();
    Wanted.m_servers = m_site.serverCount();
    Wanted.m_from = CalmBefore;
    Wanted.m_to = CalmBefore + std::chrono::seconds(m_line.m_seconds);
    Wanted.m_isPlannedOnly = m_line.m_isPlannedOnly;
    for (const FaultEvent &Item : makeSchedule(Wanted)) {
      const TimePoint At = m_startedAt + Item.m_at;
      const TimePoint Now = BootClock::now();
      if (Now < At)
        co_await sleepFor(std::chrono::duration_cast<Millis>(At - Now));
      asio::co_spawn(m_context, m_site.play(Item), asio::detached);
    }
    co_await sleepFor(std::chrono::duration_cast<Millis>(
        m_startedAt + Wanted.m_to + CalmAfter - JudgedTail - BootClock::now()));
    m_judgedFrom = BootClock::now();
    co_await sleepFor(JudgedTail);
    m_clients.stop();
    const TimePoint End = BootClock::now() + EndLimit;
    while (m_clients.running() > 0 && BootClock::now() < End)
      co_await sleepFor(LookEvery);
    m_context.stop();
  }

  const Options &m_line;
  const std::uint64_t m_seed;
  const SiteOptions m_siteOptions;
  History m_seen;
  WorkerContext m_context{1};
  SoakSite m_site;
  SoakClients m_clients;
  TimePoint m_startedAt;
  TimePoint m_judgedFrom;
  bool m_wasReady = false;
};

/// Returns whether the run kept all promises.
bool playSeed(const Options &Line, std::uint64_t Seed) {
  Run Played(Line, Seed);
  const RunResult Result = Played.play();
  const bool IsRecovered = Result.m_servedAfter >= LeastServed;
  const bool IsKept = Result.m_broken.empty() && Result.m_wasReady &&
                      (IsRecovered || !Line.m_judgesRecovery);
  fmt::print("seed {} {}: {} tries, {} runs, {} faults, served {:.3f}, after "
             "the faults {:.3f}{}\n",
             Seed, IsKept ? "kept" : "BROKEN", Result.m_tries, Result.m_runs,
             Result.m_faults, Result.m_served, Result.m_servedAfter,
             Result.m_wasReady ? "" : ", hosts were not ready");
  for (const BrokenPromise &Item : Result.m_broken)
    fmt::print("  {} {}: {}\n", toText(Item.m_promise), Item.m_request,
               Item.m_detail);
  if (IsKept && !Line.m_keepsLogs)
    std::filesystem::remove_all(Played.directory());
  else
    fmt::print("  logs in {}\n", Played.directory().string());
  std::cout.flush();
  return IsKept;
}

int run(int Argc, char **Argv) {
  const Options Line = parse(Argc, Argv);
  if (Line.m_isHelp)
    return ExitKept;
  std::signal(SIGPIPE, SIG_IGN);
  unsigned Broken = 0;
  for (unsigned I = 0; I < Line.m_seeds; ++I)
    Broken += playSeed(Line, Line.m_firstSeed + I) ? 0 : 1;
  fmt::print("{} of {} seeds broke a promise\n", Broken, Line.m_seeds);
  return Broken == 0 ? ExitKept : ExitBroken;
}

} // namespace
} // namespace tamarackdrum::soak

int main(int Argc, char **Argv) {
  try {
    return tamarackdrum::soak::run(Argc, Argv);
  } catch (const boost::program_options::error &Error) {
    std::cerr << Error.what() << '\n';
    return tamarackdrum::soak::ExitUsage;
  }
}

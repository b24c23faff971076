/// \file
/// tamarack-soak: injects faults into gateway processes on loopback addresses
/// and checks the guarantees to clients and backend servers.
///
/// Exit codes: 0 all seeds passed, 1 a seed failed, 2 invalid command line.

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

constexpr int ExitPassed = 0;
constexpr int ExitFailed = 1;
constexpr int ExitUsage = 2;
constexpr Millis ReadyTimeout{20000}; ///< Until all hosts are ready.
constexpr Millis WarmUp{1500};        ///< Before the first fault.
constexpr Millis CoolDown{8000};      ///< After the last fault.
/// Part of CoolDown, at its end, in which requests must be served again.
constexpr Millis RecoveryWindow{2000};
constexpr Millis DrainTimeout{6000}; ///< For pending requests.
constexpr Millis PollInterval{50};
constexpr double MinServedShare = 0.9;

struct Options {
  std::uint64_t m_firstSeed = 1;
  unsigned m_seedCount = 1;
  std::int64_t m_seconds = 20;
  bool m_isPlannedOnly = false;
  bool m_checksRecovery = false;
  bool m_keepsAllLogs = false;
  bool m_showHelp = false;
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
                    po::value(&Out.m_seedCount)->default_value(Out.m_seedCount),
                    "number of seeds, run one after another")(
      "seconds", po::value(&Out.m_seconds)->default_value(Out.m_seconds),
      "duration of the faults of each run")(
      "hosts",
      po::value(&Out.m_site.m_hostCount)->default_value(Out.m_site.m_hostCount),
      "gateway processes")("clients",
                           po::value(&Out.m_clients.m_clientCount)
                               ->default_value(Out.m_clients.m_clientCount),
                           "clients")(
      "planned", po::bool_switch(&Out.m_isPlannedOnly),
      "inject planned work only: stops, reloads, configurations, leaves")(
      "limits", po::bool_switch(&Out.m_site.m_namesLimits),
      "let servers name rate limits")("evacuations",
                                      po::bool_switch(&Out.m_site.m_evacuates),
                                      "let the operator evacuate zones")(
      "recovery", po::bool_switch(&Out.m_checksRecovery),
      "also check that requests are served again after the faults")(
      "keep", po::bool_switch(&Out.m_keepsAllLogs),
      "keep the logs of passed runs")(
      "program", po::value(&Out.m_site.m_program)->required(),
      "path of tamarack-gateway")(
      "previous", po::value(&Out.m_site.m_previousProgram),
      "path of an earlier version: hosts start with it and are replaced one "
      "after the other")(
      "directory", po::value(&Out.m_directory)->default_value("soak-runs"),
      "directory of logs and records")(
      "network",
      po::value(&Out.m_site.m_network)->default_value(Out.m_site.m_network),
      "first two parts of the loopback addresses");
  po::variables_map Values;
  po::store(po::parse_command_line(Argc, Argv, Known), Values);
  Out.m_showHelp = Values.count("help") > 0;
  if (Out.m_showHelp)
    std::cout << Known;
  else
    po::notify(Values);
  return Out;
}

/// Outcome of the run of one seed.
struct RunResult {
  std::vector<Violation> m_violations;
  std::size_t m_requests = 0;
  std::size_t m_runs = 0;
  std::size_t m_faults = 0;
  double m_servedShare = 0;
  double m_servedShareAfter = 0;
  bool m_wasReady = false;
  bool m_isUpgraded = true; ///< All hosts have run the previous program.
};

std::int64_t millisBetween(TimePoint From, TimePoint At) {
  return std::chrono::duration_cast<Millis>(At - From).count();
}

/// Writes the history to records.jsonl, one JSON object a line.
void writeRecords(const std::filesystem::path &Directory,
                  const History &Recorded, const RunResult &Result,
                  TimePoint Start) {
  std::ofstream Out(Directory / "records.jsonl");
  for (const Violation &Item : Result.m_violations)
    Out << Json{{"broken", toText(Item.m_guarantee)},
                {"request", Item.m_requestId},
                {"detail", Item.m_detail}}
        << '\n';
  for (const InjectedFault &Item : Recorded.m_faults)
    Out << Json{{"fault", toText(Item.m_kind)},
                {"target", Item.m_target},
                {"from_ms", millisBetween(Start, Item.m_from)},
                {"to_ms", Item.m_to == TimePoint::max()
                              ? -1
                              : millisBetween(Start, Item.m_to)}}
        << '\n';
  for (const platform::standin::LimitRecord &Item :
       Recorded.m_serverRecords.m_limits)
    Out << Json{{"limit", Item.m_limit.value_or(-1)},
                {"server", Item.m_server},
                {"at_ms", millisBetween(Start, Item.m_at)}}
        << '\n';
  for (const EvacuationRecord &Item : Recorded.m_evacuations)
    Out << Json{{"evacuation", Item.m_zone},
                {"from_ms", millisBetween(Start, Item.m_at)},
                {"to_ms", Item.m_to == TimePoint::max()
                              ? -1
                              : millisBetween(Start, Item.m_to)}}
        << '\n';
  for (const LeaveRecord &Item : Recorded.m_leaves)
    Out << Json{{"leave", Item.m_server},
                {"at_ms", millisBetween(Start, Item.m_at)}}
        << '\n';
  for (const RequestRecord &Item : Recorded.m_requests)
    Out << Json{{"try", Item.m_id},
                {"target", Item.m_target},
                {"host", Item.m_host},
                {"life", Item.m_hostIncarnation},
                {"status", Item.m_status},
                {"given_up", Item.m_hasTimedOut},
                {"kept", Item.m_isConnectionReused},
                {"sent_ms", millisBetween(Start, Item.m_sentAt)},
                {"ended_ms", millisBetween(Start, Item.m_endedAt)}}
        << '\n';
  for (const platform::standin::RunRecord &Item :
       Recorded.m_serverRecords.m_runs)
    Out << Json{{"run", Item.m_requestId},
                {"server", Item.m_server},
                {"key", Item.m_key.value_or(0)},
                {"fence", Item.m_fence},
                {"begin_ms", millisBetween(Start, Item.m_begin)},
                {"end_ms", millisBetween(Start, Item.m_end)}}
        << '\n';
  for (const platform::standin::GrantRecord &Item :
       Recorded.m_serverRecords.m_grants)
    Out << Json{{Item.m_isRelease ? "release" : "grant", Item.m_server},
                {"from", Item.m_from},
                {"to", Item.m_to},
                {"fence", Item.m_fence},
                {"taken", Item.m_isApplied},
                {"at_ms", millisBetween(Start, Item.m_at)}}
        << '\n';
}

/// Runs the schedule of one seed.
class SoakRun {
public:
  SoakRun(const Options &Flags, std::uint64_t Seed)
      : m_flags(Flags), m_seed(Seed), m_siteOptions(withDirectory(Flags, Seed)),
        m_site(m_context, m_siteOptions, Seed, m_history),
        m_clients(m_context, Flags.m_clients, Seed + 1, m_site, m_history) {}

  RunResult execute() {
    m_site.start();
    asio::co_spawn(m_context, runSchedule(), asio::detached);
    m_context.run();
    m_context.dropPending();
    RunResult Out;
    Out.m_wasReady = m_wasReady;
    Out.m_isUpgraded = m_siteOptions.m_previousProgram.empty() ||
                       m_site.replacedCount() == m_site.hostCount();
    Out.m_violations = findViolations(m_history, GuaranteeBounds{});
    Out.m_requests = m_history.m_requests.size();
    Out.m_runs = m_history.m_serverRecords.m_runs.size();
    Out.m_faults = m_history.m_faults.size();
    Out.m_servedShare = servedShare(m_history, m_startAt);
    Out.m_servedShareAfter = servedShare(m_history, m_recoveryFrom);
    writeRecords(m_siteOptions.m_directory, m_history, Out, m_startAt);
    return Out;
  }

  const std::filesystem::path &directory() const {
    return m_siteOptions.m_directory;
  }

private:
  static SiteOptions withDirectory(const Options &Flags, std::uint64_t Seed) {
    SiteOptions Out = Flags.m_site;
    Out.m_directory =
        std::filesystem::path(Flags.m_directory) / fmt::format("seed-{}", Seed);
    std::filesystem::remove_all(Out.m_directory);
    return Out;
  }

  asio::awaitable<void> runSchedule() {
    m_clients.start();
    const TimePoint Limit = BootClock::now() + ReadyTimeout;
    while (!m_clients.allReady() && BootClock::now() < Limit)
      co_await sleepFor(PollInterval);
    m_wasReady = m_clients.allReady();
    m_startAt = BootClock::now();
    ScheduleOptions Wanted;
    Wanted.m_seed = m_seed;
    Wanted.m_hostCount = m_site.hostCount();
    Wanted.m_serverCount = m_site.serverCount();
    Wanted.m_from = WarmUp;
    Wanted.m_to = WarmUp + std::chrono::seconds(m_flags.m_seconds);
    Wanted.m_isPlannedOnly = m_flags.m_isPlannedOnly;
    for (const FaultEvent &Item : makeSchedule(Wanted)) {
      const TimePoint At = m_startAt + Item.m_at;
      const TimePoint Now = BootClock::now();
      if (Now < At)
        co_await sleepFor(std::chrono::duration_cast<Millis>(At - Now));
      asio::co_spawn(m_context, m_site.injectFault(Item), asio::detached);
    }
    co_await sleepFor(
        std::chrono::duration_cast<Millis>(m_startAt + Wanted.m_to + CoolDown -
                                           RecoveryWindow - BootClock::now()));
    while (!m_site.isUpgradeDone())
      co_await sleepFor(PollInterval);
    m_recoveryFrom = BootClock::now();
    co_await sleepFor(RecoveryWindow);
    m_clients.stop();
    const TimePoint End = BootClock::now() + DrainTimeout;
    while (m_clients.runningClients() > 0 && BootClock::now() < End)
      co_await sleepFor(PollInterval);
    m_context.stop();
  }

  const Options &m_flags;
  const std::uint64_t m_seed;
  const SiteOptions m_siteOptions;
  History m_history;
  WorkerContext m_context{1};
  SoakSite m_site;
  SoakClients m_clients;
  TimePoint m_startAt;
  TimePoint m_recoveryFrom;
  bool m_wasReady = false;
};

/// Runs one seed and prints the result. Returns whether the run passed.
bool runSeed(const Options &Flags, std::uint64_t Seed) {
  SoakRun Run(Flags, Seed);
  const RunResult Result = Run.execute();
  const bool IsRecovered = Result.m_servedShareAfter >= MinServedShare;
  const bool HasPassed = Result.m_violations.empty() && Result.m_wasReady &&
                         Result.m_isUpgraded &&
                         (IsRecovered || !Flags.m_checksRecovery);
  fmt::print(
      "seed {} {}: {} requests, {} runs, {} faults, served {:.3f}, after "
      "the faults {:.3f}{}{}\n",
      Seed, HasPassed ? "kept" : "BROKEN", Result.m_requests, Result.m_runs,
      Result.m_faults, Result.m_servedShare, Result.m_servedShareAfter,
      Result.m_wasReady ? "" : ", hosts were not ready",
      Result.m_isUpgraded ? "" : ", the previous version has not run");
  for (const Violation &Item : Result.m_violations)
    fmt::print("  {} {}: {}\n", toText(Item.m_guarantee), Item.m_requestId,
               Item.m_detail);
  if (HasPassed && !Flags.m_keepsAllLogs)
    std::filesystem::remove_all(Run.directory());
  else
    fmt::print("  logs in {}\n", Run.directory().string());
  std::cout.flush();
  return HasPassed;
}

int run(int Argc, char **Argv) {
  const Options Flags = parse(Argc, Argv);
  if (Flags.m_showHelp)
    return ExitPassed;
  std::signal(SIGPIPE, SIG_IGN);
  unsigned Failed = 0;
  for (unsigned I = 0; I < Flags.m_seedCount; ++I)
    Failed += runSeed(Flags, Flags.m_firstSeed + I) ? 0 : 1;
  fmt::print("{} of {} seeds failed\n", Failed, Flags.m_seedCount);
  return Failed == 0 ? ExitPassed : ExitFailed;
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

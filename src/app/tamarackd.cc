/// \file
/// tamarackd: one process on each entry host.
///
/// Exit codes: 0 stopped gracefully, 2 bad command line or settings, 3 an
/// address cannot be bound, 4 requests were still in flight at the end of the
/// stop timeout.

#include "tamarackdrum/entry-host.h"
#include "tamarackdrum/http-host-list.h"
#include "tamarackdrum/http-table.h"
#include "tamarackdrum/worker-context.h"

#include <boost/asio.hpp>
#include <boost/program_options.hpp>
#include <fstream>
#include <iostream>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>
#include <sstream>
#include <thread>

namespace asio = boost::asio;
namespace po = boost::program_options;

namespace tamarackdrum {
namespace {

constexpr int ExitGraceful = 0;
constexpr int ExitSettings = 2;
constexpr int ExitBind = 3;
constexpr int ExitCutOff = 4;
constexpr Millis StopPoll{20};
/// Part of the stop timeout, at its end, for the answers to calls that have not
/// ended by then.
constexpr Millis LastAnswerTime{250};
constexpr std::size_t ConnectionsPerServer = 4;
constexpr const char *JsonLogPattern =
    R"({"time":"%Y-%m-%dT%H:%M:%S.%eZ","level":"%l","message":"%v"})";

/// Command line of the daemon.
struct Options {
  std::string m_settingsFile;
  bool m_checkOnly = false;
  bool m_embedded = false;
  bool m_logJson = false;
};

std::optional<Options> parseOptions(int Argc, char **Argv) {
  Options Out;
  po::options_description Known("Usage: tamarackd --settings FILE");
  Known.add_options()("help", "print this help")(
      "settings", po::value(&Out.m_settingsFile),
      "settings file (JSON)")("check", po::bool_switch(&Out.m_checkOnly),
                              "check the settings and exit")(
      "embedded", po::bool_switch(&Out.m_embedded),
      "keep the table in memory: for trying out only")(
      "log-json", po::bool_switch(&Out.m_logJson), "log JSON lines");
  po::variables_map Values;
  po::store(po::parse_command_line(Argc, Argv, Known), Values);
  po::notify(Values);
  if (Values.count("help") > 0 || Out.m_settingsFile.empty()) {
    std::cout << Known;
    return std::nullopt;
  }
  return Out;
}

std::optional<Settings> loadSettings(const Options &Line) {
  std::ifstream File(Line.m_settingsFile);
  if (!File) {
    std::cerr << "cannot read " << Line.m_settingsFile << '\n';
    return std::nullopt;
  }
  std::ostringstream Text;
  Text << File.rdbuf();
  SettingsReport Report = parseSettings(Text.str());
  if (!Line.m_embedded && Report.m_faults.empty() &&
      Report.m_settings.m_platformAddress.empty())
    Report.m_faults.push_back(
        {"$.platform_address", "nothing", "an address, or --embedded"});
  for (const SettingsFault &Fault : Report.m_faults)
    std::cerr << Fault.m_path << ": found " << Fault.m_found << ", expected "
              << Fault.m_expected << '\n';
  if (!Report.m_faults.empty())
    return std::nullopt;
  return Report.m_settings;
}

void setUpLog(const Options &Line) {
  spdlog::set_default_logger(spdlog::stderr_logger_mt("tamarackd"));
  if (Line.m_logJson)
    spdlog::set_pattern(JsonLogPattern);
}

std::unique_ptr<TableStore> makeTable(const Options &Line,
                                      const Settings &Config,
                                      HttpClient &Client,
                                      MemoryTable &Embedded) {
  if (!Line.m_embedded)
    return std::make_unique<HttpTable>(
        Client, parseEndpoint(Config.m_platformAddress).value(), Config.m_name,
        Config.m_tableTimeout);
  SPDLOG_WARN("embedded table: ALL STATE IS LOST when this process ends");
  return std::make_unique<EmbeddedTable>(Embedded);
}

std::unique_ptr<HostList>
makeHostList(const Options &Line, const Settings &Config, HttpClient &Client) {
  if (Line.m_embedded)
    return std::make_unique<NoHostList>();
  return std::make_unique<HttpHostList>(
      Client, parseEndpoint(Config.m_platformAddress).value(), Config.m_name,
      Config.m_tableTimeout);
}

/// Polls \p Condition; returns whether it held within \p Timeout.
template <typename Predicate> bool await(Predicate Condition, Millis Timeout) {
  const TimePoint Limit = BootClock::now() + Timeout;
  while (!Condition()) {
    if (BootClock::now() >= Limit)
      return false;
    std::this_thread::sleep_for(StopPoll);
  }
  return true;
}

/// Finishes what is in flight, then leaves the group. Returns whether nothing
/// was cut off.
bool stopGracefully(EntryHost &Host, Millis Timeout) {
  const Millis DrainTime = std::max(Millis(0), Timeout - LastAnswerTime);
  Host.beginStop(BootClock::now() + DrainTime);
  const bool IsDrained = await([&] { return Host.isIdle(); }, DrainTime);
  if (!IsDrained) {
    Host.endCalls();
    await([&] { return Host.isIdle(); }, LastAnswerTime);
  }
  Host.beginLeave();
  await([&] { return Host.hasLeft(); }, Timeout);
  return IsDrained;
}

int runDaemon(const Options &Line, const Settings &Config) {
  WorkerContext Workers;
  HttpClient PeerClient(HttpClientLimits{});
  HttpClient ServerClient(
      HttpClientLimits{ConnectionsPerServer, ConnectionsPerServer});
  MemoryTable Embedded;
  const std::unique_ptr<TableStore> Table =
      makeTable(Line, Config, PeerClient, Embedded);
  const std::unique_ptr<HostList> Hosts =
      makeHostList(Line, Config, PeerClient);
  std::optional<EntryHost> Host;
  try {
    Host.emplace(Config, Workers, *Table, *Hosts, PeerClient, ServerClient);
  } catch (const boost::system::system_error &Error) {
    SPDLOG_ERROR("cannot bind: {}", Error.what());
    return ExitBind;
  }
  Host->start();
  asio::io_context SignalContext;
  asio::signal_set Signals(SignalContext, SIGTERM, SIGINT);
  Signals.async_wait([](const boost::system::error_code &, int) {});
  const asio::executor_work_guard<asio::io_context::executor_type> Guard =
      asio::make_work_guard(Workers);
  std::vector<std::jthread> Threads;
  for (unsigned I = 0; I < Config.m_workers; ++I)
    Threads.emplace_back([&] { Workers.run(); });
  SPDLOG_INFO("started name={} zone={} callers={} control={}", Config.m_name,
              Config.m_zone, Config.m_callerAddress, Config.m_controlAddress);
  SignalContext.run();
  SPDLOG_INFO("stopping");
  const bool IsDrained = stopGracefully(*Host, Config.m_stopTimeout);
  Workers.stop();
  Threads.clear();
  Workers.dropPending();
  SPDLOG_INFO("stopped drained={}", IsDrained);
  return IsDrained ? ExitGraceful : ExitCutOff;
}

int run(int Argc, char **Argv) {
  const std::optional<Options> Line = parseOptions(Argc, Argv);
  if (!Line)
    return ExitSettings;
  const std::optional<Settings> Config = loadSettings(*Line);
  if (!Config)
    return ExitSettings;
  if (Line->m_checkOnly) {
    std::cout << "settings are valid\n";
    return ExitGraceful;
  }
  setUpLog(*Line);
  return runDaemon(*Line, *Config);
}

} // namespace
} // namespace tamarackdrum

int main(int Argc, char **Argv) {
  try {
    return tamarackdrum::run(Argc, Argv);
  } catch (const std::exception &Error) {
    std::cerr << Error.what() << '\n';
    return tamarackdrum::ExitSettings;
  }
}

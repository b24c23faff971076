/// \file
/// tamarack-load: sends requests at a fixed rate, whatever the answers take.
/// Latency counts from the time at which a request was due, so that a slow
/// answer does not hide the wait of the requests behind it.
///
/// Exit codes: 0 done, 1 an answer belonged to another request, 2 bad command
/// line or file.

#include "tamarackdrum/http.h"
#include "tamarackdrum/view-json.h"

#include <boost/asio.hpp>
#include <boost/beast/http.hpp>
#include <boost/program_options.hpp>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <random>
#include <sstream>
#include <thread>

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace po = boost::program_options;

namespace tamarackdrum {
namespace {

constexpr int MaxSeconds = 600;
constexpr double MaxRate = 100000;
constexpr Millis RequestTimeout{5000};
constexpr double NanosPerMilli = 1e6;
constexpr double NanosPerSecond = 1e9;

/// What to send.
struct LoadPlan {
  std::vector<Endpoint> m_targets;
  std::string m_workClass;
  double m_rate = 100;
  int m_seconds = 10;
  std::size_t m_keys = 0;
  bool m_hasIds = false;
  std::size_t m_connections = 64;
  std::uint32_t m_seed = 1;
  unsigned m_threads = 1;
};

/// What came back.
struct LoadResult {
  std::vector<double> m_latencies; ///< Milliseconds, whole answers only.
  std::map<std::string, std::uint64_t> m_outcomes;
  std::uint64_t m_foreign = 0; ///< Answers to another request.
  double m_longestGapMs = 0;   ///< Longest time without an answer.
};

/// Runs one plan. Requests in excess of the connections fail at once and are
/// counted as such.
class LoadRun {
public:
  LoadRun(LoadPlan Plan, asio::io_context &Context)
      : m_plan(std::move(Plan)), m_context(Context),
        m_client(HttpClientLimits{m_plan.m_connections, m_plan.m_connections}),
        m_runId(std::random_device{}()) {}

  asio::awaitable<void> run() {
    std::mt19937 Engine(m_plan.m_seed);
    const std::uint64_t Count = static_cast<std::uint64_t>(
        m_plan.m_rate * static_cast<double>(m_plan.m_seconds));
    const TimePoint Start = BootClock::now();
    m_lastAnswer = Start;
    asio::steady_timer Timer(m_context);
    for (std::uint64_t I = 0; I < Count; ++I) {
      const TimePoint Due =
          Start + std::chrono::nanoseconds(static_cast<std::int64_t>(
                      static_cast<double>(I) * NanosPerSecond / m_plan.m_rate));
      const TimePoint Now = BootClock::now();
      if (Due > Now) {
        Timer.expires_after(Due - Now);
        co_await Timer.async_wait(asio::use_awaitable);
      }
      const std::size_t Key = m_plan.m_keys == 0 ? 0 : Engine() % m_plan.m_keys;
      asio::co_spawn(asio::make_strand(m_context), sendOne(I, Key, Due),
                     asio::detached);
    }
  }

  const LoadResult &result() const { return m_result; }

private:
  asio::awaitable<void> sendOne(std::uint64_t Index, std::size_t Key,
                                TimePoint Due) {
    const Endpoint Target = m_plan.m_targets[Index % m_plan.m_targets.size()];
    const std::string Echo =
        std::to_string(m_runId) + "-" + std::to_string(Index);
    std::string Path = "/" + m_plan.m_workClass;
    Path += m_plan.m_keys > 0 ? "/key-" + std::to_string(Key) : "/any";
    HttpRequest Request(http::verb::post, Path, 11);
    Request.set(http::field::host, Target.address().to_string());
    Request.set("X-Echo", Echo);
    if (m_plan.m_hasIds)
      Request.set("Idempotency-Key", Echo);
    const Result<HttpResponse> Reply = co_await m_client.send(
        Target, std::move(Request), BootClock::now() + RequestTimeout);
    record(Reply, Echo, Due);
  }

  void record(const Result<HttpResponse> &Reply, const std::string &Echo,
              TimePoint Due) {
    const std::lock_guard<std::mutex> Lock(m_mutex);
    const TimePoint Now = BootClock::now();
    if (!Reply) {
      ++m_result.m_outcomes["no-reply: " + Reply.error().message()];
      return;
    }
    const HttpResponse &Answer = Reply.value();
    const std::string Outcome(Answer["Tamarack-Outcome"]);
    const std::string Reason(Answer["Tamarack-Reason"]);
    ++m_result.m_outcomes[(Outcome.empty() ? "none" : Outcome) + " " +
                          std::to_string(Answer.result_int()) +
                          (Reason.empty() ? "" : " " + Reason)];
    const std::string Returned(Answer["X-Echo"]);
    if (!Returned.empty() && Returned != Echo)
      ++m_result.m_foreign;
    if (Answer.result() != http::status::ok)
      return;
    m_result.m_latencies.push_back(static_cast<double>((Now - Due).count()) /
                                   NanosPerMilli);
    m_result.m_longestGapMs = std::max(
        m_result.m_longestGapMs,
        static_cast<double>((Now - m_lastAnswer).count()) / NanosPerMilli);
    m_lastAnswer = Now;
  }

  const LoadPlan m_plan;
  asio::io_context &m_context;
  HttpClient m_client;
  const std::uint64_t m_runId;
  std::mutex m_mutex;
  TimePoint m_lastAnswer;
  LoadResult m_result;
};

double percentile(const std::vector<double> &Sorted, double Share) {
  if (Sorted.empty())
    return 0;
  const std::size_t Index =
      static_cast<std::size_t>(Share * static_cast<double>(Sorted.size() - 1));
  return Sorted[Index];
}

Json::Value toJson(const LoadPlan &Plan, LoadResult Outcome, double Seconds) {
  std::sort(Outcome.m_latencies.begin(), Outcome.m_latencies.end());
  Json::Value Out;
  Out["class"] = Plan.m_workClass;
  Out["rate"] = Plan.m_rate;
  Out["seconds"] = Plan.m_seconds;
  Out["keys"] = Json::UInt64(Plan.m_keys);
  Out["seed"] = Plan.m_seed;
  Out["answered"] = Json::UInt64(Outcome.m_latencies.size());
  Out["answered_per_second"] =
      static_cast<double>(Outcome.m_latencies.size()) / Seconds;
  Out["foreign_answers"] = Json::UInt64(Outcome.m_foreign);
  Out["longest_gap_ms"] = Outcome.m_longestGapMs;
  Json::Value &Latency = Out["latency_ms"];
  Latency["p50"] = percentile(Outcome.m_latencies, 0.5);
  Latency["p90"] = percentile(Outcome.m_latencies, 0.9);
  Latency["p99"] = percentile(Outcome.m_latencies, 0.99);
  Latency["p999"] = percentile(Outcome.m_latencies, 0.999);
  Latency["max"] = percentile(Outcome.m_latencies, 1);
  for (const std::pair<const std::string, std::uint64_t> &Entry :
       Outcome.m_outcomes)
    Out["outcomes"][Entry.first] = Json::UInt64(Entry.second);
  return Out;
}

std::optional<Json::Value> readResult(const std::string &Name) {
  std::ifstream File(Name);
  std::ostringstream Text;
  Text << File.rdbuf();
  const Result<Json::Value> Parsed = parseJson(Text.str());
  if (!Parsed || !Parsed.value().isObject()) {
    std::cerr << Name << ": no result of tamarack-load\n";
    return std::nullopt;
  }
  return Parsed.value();
}

/// Prints the measures of two results and the ratio of the second to the
/// first.
int compareResults(const std::string &First, const std::string &Second) {
  const std::optional<Json::Value> Left = readResult(First);
  const std::optional<Json::Value> Right = readResult(Second);
  if (!Left || !Right)
    return 2;
  const auto Print = [](const std::string &Name, double A, double B) {
    std::cout << std::left << std::setw(24) << Name << std::right << std::fixed
              << std::setprecision(3) << std::setw(14) << A << std::setw(14)
              << B << std::setw(10);
    if (A > 0)
      std::cout << B / A << '\n';
    else
      std::cout << "-" << '\n';
  };
  for (const char *Name :
       {"answered", "answered_per_second", "foreign_answers", "longest_gap_ms"})
    Print(Name, (*Left)[Name].asDouble(), (*Right)[Name].asDouble());
  for (const char *Name : {"p50", "p90", "p99", "p999", "max"})
    Print(std::string("latency_ms ") + Name,
          (*Left)["latency_ms"][Name].asDouble(),
          (*Right)["latency_ms"][Name].asDouble());
  return 0;
}

int runLoad(const LoadPlan &Plan, const std::string &Output) {
  asio::io_context Context;
  LoadRun Run(Plan, Context);
  asio::co_spawn(asio::make_strand(Context), Run.run(), asio::detached);
  const TimePoint Start = BootClock::now();
  std::vector<std::jthread> Threads;
  for (unsigned I = 0; I < Plan.m_threads; ++I)
    Threads.emplace_back([&] { Context.run(); });
  Threads.clear();
  const double Seconds =
      static_cast<double>((BootClock::now() - Start).count()) / NanosPerSecond;
  const Json::Value Out = toJson(Plan, Run.result(), Seconds);
  if (Output.empty())
    std::cout << toText(Out) << '\n';
  else
    std::ofstream(Output) << toText(Out) << '\n';
  return Run.result().m_foreign == 0 ? 0 : 1;
}

int run(int Argc, char **Argv) {
  LoadPlan Plan;
  std::vector<std::string> Targets;
  std::string Output;
  if (Argc == 4 && std::string(Argv[1]) == "compare")
    return compareResults(Argv[2], Argv[3]);
  po::options_description Known(
      "Usage: tamarack-load --target IP:PORT... [options]\n"
      "       tamarack-load compare A.json B.json");
  Known.add_options()("help", "print this help")(
      "target", po::value(&Targets)->multitoken(), "caller addresses")(
      "class", po::value(&Plan.m_workClass), "class of work")(
      "rate", po::value(&Plan.m_rate)->default_value(100), "requests a second")(
      "seconds", po::value(&Plan.m_seconds)->default_value(10),
      "duration")("keys", po::value(&Plan.m_keys)->default_value(0),
                  "number of keys; 0 for a class without keys")(
      "id", po::bool_switch(&Plan.m_hasIds), "send request ids")(
      "connections", po::value(&Plan.m_connections)->default_value(64),
      "most connections to a target")(
      "threads", po::value(&Plan.m_threads)->default_value(1), "threads")(
      "seed", po::value(&Plan.m_seed)->default_value(1),
      "seed of the keys")("output", po::value(&Output), "result file (JSON)");
  po::variables_map Values;
  po::store(po::parse_command_line(Argc, Argv, Known), Values);
  po::notify(Values);
  for (const std::string &Target : Targets) {
    const Result<Endpoint> Address = parseEndpoint(Target);
    if (!Address) {
      std::cerr << "bad address " << Target << '\n';
      return 2;
    }
    Plan.m_targets.push_back(Address.value());
  }
  const bool IsBounded = Plan.m_seconds > 0 && Plan.m_seconds <= MaxSeconds &&
                         Plan.m_rate > 0 && Plan.m_rate <= MaxRate &&
                         Plan.m_threads > 0 && Plan.m_connections > 0;
  if (Values.count("help") > 0 || Plan.m_targets.empty() ||
      Plan.m_workClass.empty() || !IsBounded) {
    std::cout << Known;
    return 2;
  }
  return runLoad(Plan, Output);
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

/// \file
/// Bounded load for the demo. Calls classes through the entry hosts, checks
/// that each answer belongs to its call, and compares the outcomes that the
/// callers were told with the servers' own records.
///
/// Exit codes: 0 no wrong, lost or doubled answer and each class answered,
/// 1 otherwise, 2 bad command line.

#include "tamarackdrum/blocking.h"
#include "tamarackdrum/http.h"
#include "tamarackdrum/view-json.h"

#include <boost/beast/http.hpp>
#include <boost/program_options.hpp>
#include <iomanip>
#include <iostream>
#include <thread>
#include <unistd.h>

namespace http = boost::beast::http;
namespace po = boost::program_options;

namespace tamarackdrum {
namespace {

constexpr Millis CallTimeout{5000};
constexpr std::size_t DistinctKeys = 200;

/// Command line of the load tool.
struct Options {
  std::vector<Endpoint> m_hosts;
  std::vector<Endpoint> m_servers;
  std::vector<std::string> m_classes;
  std::string m_onceOnly;
  std::size_t m_callers = 4; ///< Concurrent callers of each class.
  Millis m_duration{10000};
  Millis m_pause{5};
  bool m_countOnly = false;
};

/// What one caller was told about one call.
struct CallRecord {
  std::string m_id;
  std::string m_outcome;
  bool m_isWrong = false; ///< The answer belongs to another call.
  bool m_isAnswer = false;
};

/// Totals of one class.
struct ClassTotals {
  std::size_t m_calls = 0;
  std::size_t m_answered = 0;
  std::size_t m_notRun = 0;
  std::size_t m_unknown = 0;
  std::size_t m_otherStatus = 0; ///< Whole answers that are no success.
  std::size_t m_wrong = 0;
  std::size_t m_lost = 0;    ///< Answered without a run.
  std::size_t m_doubled = 0; ///< Once-only, and run more than once.
  std::size_t m_untrue = 0;  ///< Told "not run", and run.

  bool isFaultless() const {
    return m_wrong + m_lost + m_doubled + m_untrue == 0 && m_answered > 0;
  }
};

CallRecord callOnce(HttpClient &Client, const Endpoint &Host,
                    const std::string &Target, const std::string &Id) {
  HttpRequest Request(http::verb::post, Target, 11);
  Request.set(http::field::host, "demo");
  Request.set("X-Echo", Id);
  Request.set("Idempotency-Key", Id);
  Request.body() = Id;
  CallRecord Out{Id, "unknown"};
  const Result<HttpResponse> Reply =
      runBlocking(Client.send(Host, Request, BootClock::now() + CallTimeout));
  if (!Reply)
    return Out;
  Out.m_outcome = std::string(Reply.value()["Tamarack-Outcome"]);
  if (Reply.value().result() != http::status::ok)
    return Out;
  Out.m_isAnswer = true;
  const Result<Json::Value> Body = parseJson(Reply.value().body());
  Out.m_isWrong = !Body || !Body.value().isObject() ||
                  Body.value()["echo"] != Id || Body.value()["body"] != Id ||
                  Body.value()["target"] != Target;
  return Out;
}

/// Calls one class in a closed loop until the time is over.
std::vector<CallRecord> runCaller(const Options &Line,
                                  const std::string &WorkClass,
                                  std::size_t Caller) {
  HttpClient Client(HttpClientLimits{});
  std::vector<CallRecord> Out;
  const TimePoint End = BootClock::now() + Line.m_duration;
  for (std::size_t I = 0; BootClock::now() < End; ++I) {
    const std::size_t Key = (I * Line.m_callers + Caller) % DistinctKeys;
    const std::string Target = "/" + WorkClass + "/item-" + std::to_string(Key);
    const std::string Id = WorkClass + "-" + std::to_string(::getpid()) + "-" +
                           std::to_string(Caller) + "-" + std::to_string(I);
    const Endpoint &Host = Line.m_hosts[(I + Caller) % Line.m_hosts.size()];
    Out.push_back(callOnce(Client, Host, Target, Id));
    std::this_thread::sleep_for(Line.m_pause);
  }
  return Out;
}

/// Number of runs by request id, over all servers. Nothing if a server's
/// record cannot be read.
std::optional<std::map<std::string, std::size_t>>
readRuns(const std::vector<Endpoint> &Servers) {
  std::map<std::string, std::size_t> Runs;
  HttpClient Client(HttpClientLimits{});
  for (const Endpoint &Server : Servers) {
    HttpRequest Request(http::verb::get, "/records", 11);
    Request.set(http::field::host, "demo");
    const Result<HttpResponse> Reply = runBlocking(
        Client.send(Server, Request, BootClock::now() + CallTimeout));
    if (!Reply)
      return std::nullopt;
    const Result<Json::Value> Records = parseJson(Reply.value().body());
    if (!Records || !Records.value().isArray())
      return std::nullopt;
    for (const Json::Value &Run : Records.value())
      if (!Run["cancelled"].asBool())
        ++Runs[Run["id"].asString()];
  }
  return Runs;
}

void countCall(const CallRecord &Call, std::size_t Runs, bool IsOnceOnly,
               ClassTotals &Totals) {
  ++Totals.m_calls;
  Totals.m_wrong += Call.m_isWrong ? 1 : 0;
  Totals.m_doubled += IsOnceOnly && Runs > 1 ? 1 : 0;
  if (Call.m_isAnswer) {
    ++Totals.m_answered;
    Totals.m_lost += Runs == 0 ? 1 : 0;
  } else if (Call.m_outcome == "not-run") {
    ++Totals.m_notRun;
    Totals.m_untrue += Runs > 0 ? 1 : 0;
  } else if (Call.m_outcome == "answered") {
    ++Totals.m_otherStatus;
  } else {
    ++Totals.m_unknown;
  }
}

void print(const std::string &WorkClass, const ClassTotals &Totals) {
  std::cout << std::left << std::setw(10) << WorkClass << std::right
            << " calls " << std::setw(6) << Totals.m_calls << "  answered "
            << std::setw(6) << Totals.m_answered << "  not-run " << std::setw(4)
            << Totals.m_notRun << "  unknown " << std::setw(3)
            << Totals.m_unknown << "  other-status " << std::setw(3)
            << Totals.m_otherStatus << "  | wrong " << Totals.m_wrong
            << "  lost " << Totals.m_lost << "  doubled " << Totals.m_doubled
            << "  not-run-but-ran " << Totals.m_untrue << '\n';
}

using CallsByClass = std::map<std::string, std::vector<CallRecord>>;

CallsByClass runLoad(const Options &Line) {
  CallsByClass Calls;
  std::mutex Mutex;
  std::vector<std::jthread> Threads;
  for (const std::string &WorkClass : Line.m_classes)
    for (std::size_t Caller = 0; Caller < Line.m_callers; ++Caller)
      Threads.emplace_back([&, Caller] {
        const std::vector<CallRecord> Own = runCaller(Line, WorkClass, Caller);
        const std::lock_guard<std::mutex> Lock(Mutex);
        std::vector<CallRecord> &All = Calls[WorkClass];
        All.insert(All.end(), Own.begin(), Own.end());
      });
  Threads.clear();
  return Calls;
}

int check(const Options &Line, const CallsByClass &Calls) {
  const std::optional<std::map<std::string, std::size_t>> Runs =
      readRuns(Line.m_servers);
  if (!Runs) {
    std::cerr << "cannot read the record of a server\n";
    return 1;
  }
  bool IsFaultless = !Calls.empty();
  for (const CallsByClass::value_type &Entry : Calls) {
    ClassTotals Totals;
    for (const CallRecord &Call : Entry.second) {
      const auto Found = Runs->find(Call.m_id);
      countCall(Call, Found == Runs->end() ? 0 : Found->second,
                Entry.first == Line.m_onceOnly, Totals);
    }
    print(Entry.first, Totals);
    IsFaultless = IsFaultless && Totals.isFaultless();
  }
  return IsFaultless ? 0 : 1;
}

/// Prints the number of runs on the servers.
int printCount(const Options &Line) {
  const std::optional<std::map<std::string, std::size_t>> Runs =
      readRuns(Line.m_servers);
  if (!Runs)
    return 1;
  std::size_t Total = 0;
  for (const std::pair<const std::string, std::size_t> &Entry : *Runs)
    Total += Entry.second;
  std::cout << Total << '\n';
  return 0;
}

std::optional<std::vector<Endpoint>>
parseEndpoints(const std::vector<std::string> &Texts) {
  std::vector<Endpoint> Out;
  for (const std::string &Text : Texts) {
    const Result<Endpoint> Parsed = parseEndpoint(Text);
    if (!Parsed)
      return std::nullopt;
    Out.push_back(Parsed.value());
  }
  return Out;
}

std::optional<Options> parseOptions(int Argc, char **Argv) {
  Options Out;
  std::vector<std::string> Hosts;
  std::vector<std::string> Servers;
  std::int64_t Seconds = Out.m_duration.count() / 1000;
  po::options_description Known("demo-load");
  Known.add_options()("help", "print this help")(
      "host", po::value(&Hosts)->composing(), "caller address of a process")(
      "server", po::value(&Servers)->composing(), "address of a server")(
      "class", po::value(&Out.m_classes)->composing(), "class to call")(
      "once-only", po::value(&Out.m_onceOnly), "the class that is once-only")(
      "callers", po::value(&Out.m_callers), "concurrent callers of a class")(
      "seconds", po::value(&Seconds),
      "duration")("count-runs", po::bool_switch(&Out.m_countOnly),
                  "print the number of runs on the servers and exit");
  po::variables_map Values;
  po::store(po::parse_command_line(Argc, Argv, Known), Values);
  po::notify(Values);
  Out.m_duration = std::chrono::seconds(Seconds);
  const std::optional<std::vector<Endpoint>> Parsed = parseEndpoints(Hosts);
  const std::optional<std::vector<Endpoint>> Backs = parseEndpoints(Servers);
  if (Values.count("help") > 0 || !Parsed || !Backs || Backs->empty() ||
      (!Out.m_countOnly && (Parsed->empty() || Out.m_classes.empty()))) {
    std::cout << Known;
    return std::nullopt;
  }
  Out.m_hosts = *Parsed;
  Out.m_servers = *Backs;
  return Out;
}

int run(int Argc, char **Argv) {
  const std::optional<Options> Line = parseOptions(Argc, Argv);
  if (!Line)
    return 2;
  if (Line->m_countOnly)
    return printCount(*Line);
  return check(*Line, runLoad(*Line));
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

/// \file
/// Stand-in of a back-end server with slots, deadlines, optional fencing and
/// a record of each run. GET /records returns the record; POST /fault changes
/// its behaviour.

#include "standin-options.h"
#include "tamarackdrum/view-json.h"

#include <boost/asio.hpp>
#include <boost/beast/http.hpp>

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace po = boost::program_options;

namespace tamarackdrum {
namespace {

/// Times that a run takes longer while the server is cold.
constexpr int ColdFactor = 4;

/// Behaviour that tests can change while the stand-in runs.
struct Behaviour {
  std::string m_name;
  int m_slots = 2;
  Millis m_work{5};
  bool m_checksEpoch = false;
  Millis m_cold{0};          ///< Time from the start with slower runs.
  Millis m_healthLag{0};     ///< Age that a health report may have.
  bool m_drains = false;     ///< Finishes its runs and takes nothing new.
  bool m_sheds = false;      ///< Refuses everything before it runs.
  bool m_healthLies = false; ///< /health says healthy whatever holds.
  std::string m_crashOn;     ///< Exits on a request with this key.
};

/// One run of a request.
struct RunRecord {
  std::string m_target;
  std::string m_id;
  Epoch m_epoch = 0;
  std::int64_t m_startNs = 0;
  std::int64_t m_endNs = 0; ///< 0 while it runs.
  bool m_cancelled = false; ///< Ended by its deadline, without effect.
};

std::int64_t nowNs() { return BootClock::now().time_since_epoch().count(); }

HttpResponse notRun(unsigned Status, const char *Reason) {
  HttpResponse Response =
      makeResponse(Status, std::string("{\"not_run\":\"") + Reason + "\"}");
  Response.set("X-Not-Run", Reason);
  return Response;
}

std::int64_t headerNumber(const HttpRequest &Request, const char *Name) {
  const std::string Text(Request[Name]);
  return Text.empty() ? 0 : std::strtoll(Text.c_str(), nullptr, 10);
}

/// State and request handling of the stand-in.
class BackendServer {
public:
  explicit BackendServer(Behaviour Initial) : m_behaviour(std::move(Initial)) {}

  asio::awaitable<HttpResponse> handle(const HttpRequest &Request) {
    const std::string Target(Request.target());
    if (Target == "/fault")
      co_return setBehaviour(Request.body());
    if (Target == "/records")
      co_return records();
    if (Target == "/health")
      co_return health();
    co_return co_await work(Request, Target);
  }

private:
  asio::awaitable<HttpResponse> work(const HttpRequest &Request,
                                     const std::string &Target) {
    RunRecord Run{Target, std::string(Request["Idempotency-Key"]),
                  static_cast<Epoch>(headerNumber(Request, "Tamarack-Epoch"))};
    const std::int64_t Deadline = headerNumber(Request, "Tamarack-Deadline");
    std::size_t Index = 0;
    Millis Work;
    {
      const std::lock_guard<std::mutex> Lock(m_mutex);
      if (const char *Refusal = refusalOf(Run, Deadline))
        co_return notRun(503, Refusal);
      if (!m_behaviour.m_crashOn.empty() &&
          Target.find(m_behaviour.m_crashOn) != std::string::npos)
        std::_Exit(70);
      ++m_busy;
      Work = m_behaviour.m_work * (isCold() ? ColdFactor : 1);
      Run.m_startNs = nowNs();
      Index = m_runs.size();
      m_runs.push_back(Run);
    }
    const std::int64_t Left =
        Deadline == 0 ? Work.count() : Deadline - unixMillis();
    asio::steady_timer Timer(co_await asio::this_coro::executor,
                             std::min(Work, Millis(Left)));
    co_await Timer.async_wait(asio::use_awaitable);
    co_return finish(Request, Index, Deadline);
  }

  HttpResponse finish(const HttpRequest &Request, std::size_t Index,
                      std::int64_t Deadline) {
    const std::lock_guard<std::mutex> Lock(m_mutex);
    --m_busy;
    RunRecord &Run = m_runs[Index];
    Run.m_endNs = nowNs();
    const std::int64_t Late = Deadline == 0 ? 0 : unixMillis() - Deadline;
    if (Late >= 0 && Deadline != 0) {
      // A run is cut off at its deadline, also if the process was frozen.
      Run.m_endNs -= Late * 1000000;
      Run.m_cancelled = true;
      return makeResponse(504, "{\"cancelled\":true}");
    }
    Json::Value Out;
    Out["server"] = m_behaviour.m_name;
    Out["target"] = Run.m_target;
    Out["run"] = Json::UInt64(Index);
    Out["state"] = Json::UInt64(++m_state[Run.m_target]);
    Out["echo"] = std::string(Request["X-Echo"]);
    Out["body"] = Request.body();
    return makeResponse(200, toText(Out));
  }

  /// Returns why \p Run is refused before it starts, or null.
  const char *refusalOf(const RunRecord &Run, std::int64_t Deadline) {
    if (m_behaviour.m_drains)
      return "draining";
    if (m_behaviour.m_sheds || m_busy >= m_behaviour.m_slots)
      return "shed";
    if (Deadline != 0 && unixMillis() >= Deadline)
      return "deadline";
    if (!m_behaviour.m_checksEpoch)
      return nullptr;
    Epoch &Newest = m_newestEpoch[Run.m_target];
    if (Run.m_epoch < Newest)
      return "fenced";
    Newest = Run.m_epoch;
    return nullptr;
  }

  HttpResponse setBehaviour(const std::string &Text) {
    const Result<Json::Value> Body = parseJson(Text);
    if (!Body || !Body.value().isObject())
      return makeResponse(400, "{}");
    const Json::Value &Value = Body.value();
    const std::lock_guard<std::mutex> Lock(m_mutex);
    Behaviour &Now = m_behaviour;
    Now.m_slots = Value.get("slots", Now.m_slots).asInt();
    Now.m_work =
        Millis(Value.get("work_ms", Json::Int64(Now.m_work.count())).asInt64());
    Now.m_checksEpoch = Value.get("checks_epoch", Now.m_checksEpoch).asBool();
    Now.m_cold =
        Millis(Value.get("cold_ms", Json::Int64(Now.m_cold.count())).asInt64());
    Now.m_healthLag =
        Millis(Value.get("health_lag_ms", Json::Int64(Now.m_healthLag.count()))
                   .asInt64());
    Now.m_drains = Value.get("drains", Now.m_drains).asBool();
    Now.m_sheds = Value.get("sheds", Now.m_sheds).asBool();
    Now.m_healthLies = Value.get("health_lies", Now.m_healthLies).asBool();
    Now.m_crashOn = Value.get("crash_on", Now.m_crashOn).asString();
    return makeResponse(200, "{}");
  }

  HttpResponse records() {
    const std::lock_guard<std::mutex> Lock(m_mutex);
    Json::Value Out(Json::arrayValue);
    for (const RunRecord &Run : m_runs) {
      Json::Value Item;
      Item["target"] = Run.m_target;
      Item["id"] = Run.m_id;
      Item["epoch"] = Json::UInt64(Run.m_epoch);
      Item["start_ns"] = Json::Int64(Run.m_startNs);
      Item["end_ns"] = Json::Int64(Run.m_endNs);
      Item["cancelled"] = Run.m_cancelled;
      Out.append(Item);
    }
    return makeResponse(200, toText(Out));
  }

  HttpResponse health() {
    const std::lock_guard<std::mutex> Lock(m_mutex);
    const TimePoint Now = BootClock::now();
    if (m_health.isNull() || Now - m_healthAt >= m_behaviour.m_healthLag) {
      m_health["healthy"] = m_behaviour.m_healthLies || !m_behaviour.m_sheds;
      m_health["busy"] = m_busy;
      m_health["slots"] = m_behaviour.m_slots;
      m_healthAt = Now;
    }
    return makeResponse(200, toText(m_health));
  }

  bool isCold() const {
    return BootClock::now() < m_start + m_behaviour.m_cold;
  }

  std::mutex m_mutex;
  Behaviour m_behaviour;
  int m_busy = 0;
  std::vector<RunRecord> m_runs;
  std::map<std::string, Epoch> m_newestEpoch;
  std::map<std::string, std::uint64_t> m_state; ///< Runs of each target.
  Json::Value m_health;                         ///< Last health report.
  TimePoint m_healthAt;
  const TimePoint m_start = BootClock::now();
};

int run(int Argc, char **Argv) {
  std::string Listen;
  Behaviour Initial;
  std::int64_t WorkMs = 0;
  HttpLimits Limits;
  po::options_description Options("standin-server");
  Options.add_options()("help", "print this help")(
      "listen", po::value(&Listen)->default_value("127.0.0.1:0"),
      "IP:PORT")("name", po::value(&Initial.m_name)->required(), "server name")(
      "slots", po::value(&Initial.m_slots)->default_value(2), "slots")(
      "connections", po::value(&Limits.m_maxConnections)->default_value(110),
      "connections at once")("work-ms", po::value(&WorkMs)->default_value(5),
                             "time of one run")(
      "checks-epoch", po::bool_switch(&Initial.m_checksEpoch),
      "refuse older epochs");
  po::variables_map Values;
  po::store(po::parse_command_line(Argc, Argv, Options), Values);
  if (Values.count("help") > 0) {
    std::cout << Options;
    return 0;
  }
  po::notify(Values);
  Initial.m_work = Millis(WorkMs);
  asio::io_context Context;
  BackendServer Stand(Initial);
  return runStandin(
      Listen, 1, Context,
      [&](const HttpRequest &Request) { return Stand.handle(Request); },
      Limits);
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

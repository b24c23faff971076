/// \file
/// Stand-in of the platform: table service, object store and host list, with
/// fault switches per client.
///
/// POST /fault {"client": NAME or "*", "delay_ms": N, "refuse": B,
/// "lose_reply": B} replaces the faults of a client; "hosts_lag_ms": N delays
/// what the host list shows.

#include "standin-options.h"
#include "tamarackdrum/http-table.h"
#include "tamarackdrum/view-json.h"

#include <boost/asio.hpp>
#include <boost/beast/http.hpp>

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace po = boost::program_options;

namespace tamarackdrum {
namespace {

constexpr Millis LostReplyDelay{60000};

/// Faults that a client of the platform sees.
struct PlatformFault {
  Millis m_delay{0};
  bool m_refuse = false;
  bool m_loseReply = false;
};

/// State and request handling of the stand-in.
class Platform {
public:
  asio::awaitable<HttpResponse> handle(const HttpRequest &Request) {
    const std::string Target(Request.target());
    if (Target == "/fault")
      co_return setFault(Request.body());
    if (Target == "/counters")
      co_return counters();
    const PlatformFault Fault = faultOf(std::string(Request["X-Client"]));
    if (Fault.m_refuse)
      co_return makeResponse(503, "{}");
    co_await pause(Fault.m_delay);
    HttpResponse Response = serve(Target, Request);
    if (Fault.m_loseReply)
      co_await pause(LostReplyDelay);
    co_return Response;
  }

private:
  static asio::awaitable<void> pause(Millis Time) {
    if (Time == Millis(0))
      co_return;
    asio::steady_timer Timer(co_await asio::this_coro::executor, Time);
    co_await Timer.async_wait(asio::use_awaitable);
  }

  HttpResponse serve(const std::string &Target, const HttpRequest &Request) {
    if (Target.starts_with("/v1/object/"))
      return serveObject(Target, Request);
    if (Target == "/v1/hosts")
      return serveHosts(Request);
    const Result<Json::Value> Body = parseJson(Request.body());
    if (!Body || !Body.value().isObject())
      return makeResponse(400, "{}");
    if (Target == "/v1/read")
      return serveRead(Body.value());
    if (Target == "/v1/commit")
      return serveCommit(Body.value());
    return makeResponse(404, "{}");
  }

  HttpResponse serveRead(const Json::Value &Body) {
    m_reads.fetch_add(1);
    const Result<TableQuery> Query = queryFromJson(Body);
    if (!Query)
      return makeResponse(400, "{}");
    return makeResponse(200, toText(toJson(m_table.read(Query.value()))));
  }

  HttpResponse serveCommit(const Json::Value &Body) {
    m_commits.fetch_add(1);
    const Result<TableTransaction> Transaction = transactionFromJson(Body);
    if (!Transaction)
      return makeResponse(400, "{}");
    return makeResponse(200,
                        toText(toJson(m_table.commit(Transaction.value()))));
  }

  HttpResponse serveObject(const std::string &Target,
                           const HttpRequest &Request) {
    const std::lock_guard<std::mutex> Lock(m_mutex);
    if (Request.method() == http::verb::put) {
      m_objects[Target] = Request.body();
      return makeResponse(200, "{}");
    }
    const auto Found = m_objects.find(Target);
    if (Found == m_objects.end())
      return makeResponse(404, "{}");
    return makeResponse(200, Found->second, "application/octet-stream");
  }

  HttpResponse serveHosts(const HttpRequest &Request) {
    const std::lock_guard<std::mutex> Lock(m_mutex);
    const TimePoint Now = BootClock::now();
    if (Request.method() == http::verb::put) {
      if (Now >= m_hostsAt + m_hostsLag)
        m_oldHosts = m_hosts;
      m_hosts = Request.body();
      m_hostsAt = Now;
    }
    return makeResponse(200,
                        Now < m_hostsAt + m_hostsLag ? m_oldHosts : m_hosts);
  }

  HttpResponse setFault(const std::string &Text) {
    const Result<Json::Value> Body = parseJson(Text);
    if (!Body || !Body.value().isObject())
      return makeResponse(400, "{}");
    const Json::Value &Value = Body.value();
    PlatformFault Fault;
    Fault.m_delay = Millis(Value.get("delay_ms", 0).asInt64());
    Fault.m_refuse = Value.get("refuse", false).asBool();
    Fault.m_loseReply = Value.get("lose_reply", false).asBool();
    const std::lock_guard<std::mutex> Lock(m_mutex);
    m_hostsLag = Millis(
        Value.get("hosts_lag_ms", Json::Int64(m_hostsLag.count())).asInt64());
    m_faults[Value.get("client", "*").asString()] = Fault;
    return makeResponse(200, "{}");
  }

  HttpResponse counters() const {
    Json::Value Out;
    Out["reads"] = Json::UInt64(m_reads.load());
    Out["commits"] = Json::UInt64(m_commits.load());
    return makeResponse(200, toText(Out));
  }

  PlatformFault faultOf(const std::string &Client) {
    const std::lock_guard<std::mutex> Lock(m_mutex);
    const auto Own = m_faults.find(Client);
    if (Own != m_faults.end())
      return Own->second;
    const auto All = m_faults.find("*");
    return All == m_faults.end() ? PlatformFault{} : All->second;
  }

  MemoryTable m_table;
  std::atomic<std::uint64_t> m_reads{0};
  std::atomic<std::uint64_t> m_commits{0};
  std::mutex m_mutex;
  std::map<std::string, std::string> m_objects;
  std::string m_hosts = "{\"hosts\":[]}";
  std::string m_oldHosts = m_hosts; ///< Shown until the lag has passed.
  TimePoint m_hostsAt;              ///< Time of the last change.
  Millis m_hostsLag{0};
  std::map<std::string, PlatformFault> m_faults;
};

int run(int Argc, char **Argv) {
  std::string Listen;
  po::options_description Options("standin-platform");
  Options.add_options()("help", "print this help")(
      "listen", po::value(&Listen)->default_value("127.0.0.1:0"), "IP:PORT");
  po::variables_map Values;
  po::store(po::parse_command_line(Argc, Argv, Options), Values);
  po::notify(Values);
  if (Values.count("help") > 0) {
    std::cout << Options;
    return 0;
  }
  asio::io_context Context;
  Platform Stand;
  return runStandin(Listen, 2, Context, [&](const HttpRequest &Request) {
    return Stand.handle(Request);
  });
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

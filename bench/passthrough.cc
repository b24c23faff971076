/// \file
/// Processor time of a proxied request against a plain relay over the same
/// HTTP server and client, in the same run.

#include "tamarackdrum/blocking.h"
#include "tamarackdrum/planner.h"
#include "tamarackdrum/request-proxy.h"

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <cstdio>
#include <ctime>
#include <future>
#include <thread>

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace tamarackdrum {
namespace {

constexpr int Rounds = 6;
constexpr int CallsPerRound = 5000;
constexpr std::size_t BodyBytes = 512;
constexpr Millis Timeout{10000};

const Endpoint AnyPort(asio::ip::address_v4::loopback(), 0);

/// An HTTP server with a thread of its own.
class Front {
public:
  explicit Front(HttpHandler Handler)
      : m_server(m_context, AnyPort, HttpLimits{}, std::move(Handler)) {
    m_server.start();
    m_thread = std::thread([this] { m_context.run(); });
  }
  ~Front() {
    m_context.stop();
    m_thread.join();
  }
  Front(const Front &) = delete;
  Front &operator=(const Front &) = delete;

  Endpoint address() const { return m_server.address(); }

  /// Returns the processor time of its thread in microseconds.
  double cpuMicros() {
    std::promise<double> Out;
    asio::post(m_context, [&Out] {
      timespec Time{};
      ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &Time);
      constexpr double MicrosPerSecond = 1e6;
      constexpr double NanosPerMicro = 1e3;
      Out.set_value(static_cast<double>(Time.tv_sec) * MicrosPerSecond +
                    static_cast<double>(Time.tv_nsec) / NanosPerMicro);
    });
    return Out.get_future().get();
  }

private:
  asio::io_context m_context{1};
  HttpServer m_server;
  std::thread m_thread;
};

/// Sends calls one after another over one connection.
void callMany(const Endpoint &Peer) {
  asio::io_context Context;
  beast::tcp_stream Stream(Context);
  Stream.connect(Peer);
  Stream.socket().set_option(asio::ip::tcp::no_delay(true));
  HttpRequest Request(http::verb::post, "/find/page", 11);
  Request.set(http::field::host, "127.0.0.1");
  Request.body() = std::string(BodyBytes, 'x');
  Request.prepare_payload();
  beast::flat_buffer Buffer;
  for (int I = 0; I < CallsPerRound; ++I) {
    http::write(Stream, Request);
    HttpResponse Response;
    http::read(Stream, Buffer, Response);
    if (Response.result_int() != 200)
      std::printf("status %u\n", Response.result_int());
  }
}

double microsPerCall(Front &Through) {
  const double Before = Through.cpuMicros();
  callMany(Through.address());
  return (Through.cpuMicros() - Before) / CallsPerRound;
}

void compare() {
  Front Server([](const HttpRequest &) -> asio::awaitable<HttpResponse> {
    co_return makeResponse(200, std::string(BodyBytes, 'y'));
  });
  HttpClient PlainClient(HttpClientLimits{});
  Front Plain([&](const HttpRequest &Call) -> asio::awaitable<HttpResponse> {
    HttpRequest Outgoing = Call;
    Result<HttpResponse> Reply = co_await PlainClient.send(
        Server.address(), std::move(Outgoing), BootClock::now() + Timeout);
    co_return Reply ? std::move(Reply).value() : makeResponse(502, "");
  });
  View Current;
  Current.m_generation = 1;
  ClassTarget Find;
  Find.m_name = "find";
  Current.m_classes.push_back(Find);
  Current.m_servers.push_back(
      {"find-0", "find",
       "127.0.0.1:" + std::to_string(Server.address().port())});
  Router Routes;
  Routes.install(Current);
  Routes.setLease(BootClock::now() + std::chrono::hours(1), 1);
  ServerHealth Health;
  HttpClient ProxyClient(HttpClientLimits{});
  asio::io_context Unused;
  PoisonGuard Poison(Unused, PoisonPolicy(),
                     PeerAccess{ProxyClient, [] { return ViewPtr(); }, {}, {}});
  RequestProxy Proxy(Routes, ProxyClient, Health, Poison);
  Front Proxied([&](const HttpRequest &Call) { return Proxy.onCall(Call); });
  double PlainSum = 0;
  double ProxiedSum = 0;
  for (int Round = 0; Round < Rounds; ++Round) {
    const double PlainMicros = microsPerCall(Plain);
    const double ProxiedMicros = microsPerCall(Proxied);
    std::printf("round %d: plain %.1f us, proxied %.1f us\n", Round,
                PlainMicros, ProxiedMicros);
    PlainSum += PlainMicros;
    ProxiedSum += ProxiedMicros;
  }
  std::printf("ratio %.2f\n", ProxiedSum / PlainSum);
}

} // namespace
} // namespace tamarackdrum

int main() { tamarackdrum::compare(); }

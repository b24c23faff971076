/// \file
/// Case 2: servers crash while they run requests for a page that many ask for;
/// later the page is asked for at hosts that have not served it yet.

#include "plain-upstream.h"
#include "review-site.h"

#include "tamarackdrum/endpoint.h"
#include "tamarackdrum/sleep.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <iostream>
#include <spdlog/fmt/fmt.h>

namespace tamarackdrum::review {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using namespace gateway;

constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);
constexpr const char *Network = "127.92";
constexpr const char *ServiceName = "catalogue";
constexpr const char *PageTarget = "/offers/index";
constexpr std::size_t HostCount = 3;
constexpr std::size_t ServerCount = 8;
constexpr std::uint16_t ServerPort = 8080;
constexpr unsigned ServerSlots = 2;
constexpr Millis WorkTime{220};
constexpr Millis RouteTimeout{1200};
constexpr Millis ClientTimeout{2500};
constexpr unsigned ClientCount = 12;
constexpr Millis Pause{100}; ///< Between two requests of a client.
constexpr Millis ReadyLimit{20000};
constexpr Millis SettleTime{3000}; ///< After a change of the configuration.
constexpr unsigned CrashCount = 3;
/// A registry entry lapses after three silent heartbeat intervals.
constexpr Millis LapseTime{2610};
constexpr Millis RestartTime{1900}; ///< From then to the next instance.
constexpr Millis CrashPause{500};
constexpr Millis StopTime{6000}; ///< grace_s
constexpr Millis CalmTime{4000}; ///< contact_ms and a second.
constexpr Millis SteadyTime{15000};

/// Requests on the routes of one age while nothing is disturbed.
struct Counts {
  unsigned m_sent = 0;
  unsigned m_served = 0;

  double share() const {
    return m_sent == 0 ? 0 : static_cast<double>(m_served) / m_sent;
  }
};

struct Seen {
  bool m_isSteady = false;
  Counts m_first; ///< On the route of the first configuration.
  Counts m_added; ///< On the route that was added later.
  /// Hosts that the platform sends new connections to.
  std::vector<std::string> m_hosts;
};

/// A client that keeps its connection until it is closed.
Ticks runClient(unsigned Number, Seen &Shared, Record &Notes, TimePoint End) {
  std::unique_ptr<boost::beast::tcp_stream> Stream;
  boost::beast::flat_buffer Buffer;
  for (unsigned Sent = 0; BootClock::now() < End; ++Sent) {
    co_await sleepFor(Pause);
    const std::string Ip = Shared.m_hosts[Number % Shared.m_hosts.size()];
    if (Stream == nullptr) {
      Stream = std::make_unique<boost::beast::tcp_stream>(
          co_await asio::this_coro::executor);
      Buffer.clear();
      Stream->expires_after(Millis(1000));
      const auto [Error] = co_await Stream->async_connect(
          Endpoint(asio::ip::make_address(Ip), ClientPort), UseTuple);
      if (Error) {
        Stream = nullptr;
        continue;
      }
    }
    const bool IsPage = Sent % 2 == 0;
    const std::string Id = fmt::format("c{}-{}", Number, Sent);
    http::request<http::empty_body> Ask(
        http::verb::get,
        IsPage ? std::string(PageTarget) : fmt::format("/paper/{}", Id), 11);
    Ask.set(http::field::host, HostName);
    Ask.set("X-Request-Id", Id);
    Ask.set("X-Deadline-Ms", std::to_string(ClientTimeout.count()));
    const bool IsCounted = Shared.m_isSteady;
    Counts &Own = IsPage ? Shared.m_added : Shared.m_first;
    Own.m_sent += IsCounted ? 1 : 0;
    Notes.add(fmt::format("sent {} {}", Id, std::string(Ask.target())));
    Stream->expires_after(ClientTimeout);
    co_await http::async_write(*Stream, Ask, UseTuple);
    http::response<http::string_body> Answer;
    const auto [Error, Read] =
        co_await http::async_read(*Stream, Buffer, Answer, UseTuple);
    if (Error) {
      Notes.add(fmt::format("ended {}: {}", Id, Error.message()));
      Stream = nullptr;
      continue;
    }
    const bool IsServed = Answer.result_int() == 200;
    Own.m_served += IsCounted && IsServed ? 1 : 0;
    Notes.add(fmt::format("answered {} {} {}", Id, Answer.result_int(),
                          IsServed ? "" : Answer.body()));
    if (!Answer.keep_alive())
      Stream = nullptr;
  }
}

Configuration makeConfiguration(std::uint64_t Version, bool HasOffers) {
  Configuration Out;
  Out.m_version = Version;
  Out.m_routes = {
      makeRoute("/paper/", ServiceName, RequestKind::Safe, RouteTimeout)};
  if (HasOffers)
    Out.m_routes.push_back(
        makeRoute("/offers/", ServiceName, RequestKind::Safe, RouteTimeout));
  Out.m_services[ServiceName] = {ServiceName, 110, false, {}};
  return Out;
}

/// The servers of the site, one at each address.
class Servers {
public:
  Servers(asio::io_context &Context, ReviewSite &Site, Record &Notes)
      : m_context(Context), m_site(Site), m_record(Notes),
        m_servers(ServerCount) {
    for (std::size_t I = 0; I < ServerCount; ++I)
      start(I);
  }

  /// Lets one server crash that runs a request for \p Target, and starts
  /// another one at its address later.
  Ticks crashOneThatRuns(std::string Target) {
    std::size_t Index = ServerCount;
    while (Index == ServerCount) {
      co_await sleepFor(Millis(5));
      for (std::size_t I = 0; I < ServerCount; ++I)
        if (m_servers[I]->isRunning(Target))
          Index = I;
    }
    const std::string Id = m_servers[Index]->entry().m_id;
    m_servers[Index]->crash();
    m_site.stopReports(Id);
    co_await sleepFor(LapseTime);
    m_site.removeServer(Id);
    co_await sleepFor(RestartTime);
    start(Index);
  }

private:
  void start(std::size_t Index) {
    ServerEntry Entry;
    Entry.m_id = fmt::format("i-{}-{}", Index, ++m_startCount);
    Entry.m_service = ServiceName;
    Entry.m_address =
        fmt::format("{}:{}", m_site.address(9, Index + 1), ServerPort);
    Entry.m_zone = fmt::format("zone-{}", Index % 3);
    Entry.m_slots = ServerSlots;
    Entry.m_startMs = unixMillis();
    m_servers[Index] = std::make_unique<PlainUpstream>(
        m_context, PlainUpstreamOptions{Entry, WorkTime}, m_record);
    m_site.addServer(Entry);
  }

  asio::io_context &m_context;
  ReviewSite &m_site;
  Record &m_record;
  unsigned m_startCount = 0;
  std::vector<std::unique_ptr<PlainUpstream>> m_servers;
};

asio::awaitable<Verdict> play(asio::io_context &Context, CaseOptions Options) {
  Record Notes(Options.m_record);
  ReviewSite Site(Context, Options, Network, HostCount, Notes);
  Servers All(Context, Site, Notes);
  Site.writeConfiguration(makeConfiguration(3, false));
  for (std::size_t I = 0; I < HostCount; ++I)
    Site.startHost(I);
  const bool IsReady = co_await Site.awaitReady(ReadyLimit);
  if (!IsReady)
    co_return Verdict::NotRun;
  Site.writeConfiguration(makeConfiguration(6, true));
  co_await sleepFor(SettleTime);
  Seen Shared;
  Shared.m_hosts = {Site.hostAddress(0)};
  const Millis CrashTime =
      CrashCount * (LapseTime + RestartTime + CrashPause + ClientTimeout);
  const TimePoint End =
      BootClock::now() + CrashTime + StopTime + CalmTime + SteadyTime;
  for (unsigned I = 0; I < ClientCount; ++I)
    asio::co_spawn(Context, runClient(I, Shared, Notes, End), asio::detached);
  for (unsigned I = 0; I < CrashCount; ++I) {
    co_await sleepFor(CrashPause);
    if (Options.m_hasTrouble)
      co_await All.crashOneThatRuns(PageTarget);
    else
      co_await sleepFor(LapseTime + RestartTime);
  }
  // The platform takes a host out after two missed readiness checks.
  Notes.add("platform: SIGTERM to host 0, which leaves");
  Site.process(0).signal(SIGTERM);
  co_await sleepFor(Millis(2000));
  Shared.m_hosts = {Site.hostAddress(1), Site.hostAddress(2)};
  co_await sleepFor(StopTime + CalmTime - Millis(2000));
  Shared.m_isSteady = true;
  Notes.add("steady state begins");
  co_await sleepFor(SteadyTime);
  Shared.m_isSteady = false;
  Notes.add("steady state ends");
  co_await sleepFor(ClientTimeout);
  Site.stop();
  const std::string Result =
      fmt::format("first route: {} of {} served; added route: {} of {} served",
                  Shared.m_first.m_served, Shared.m_first.m_sent,
                  Shared.m_added.m_served, Shared.m_added.m_sent);
  Notes.add(Result);
  std::cout << Result << '\n';
  constexpr unsigned LeastSent = 20; // As the rule says.
  if (Shared.m_added.m_sent < LeastSent || Shared.m_first.m_served == 0)
    co_return Verdict::NotRun;
  co_return Shared.m_added.share() < Shared.m_first.share() / 4
      ? Verdict::Broken
      : Verdict::Held;
}

} // namespace
} // namespace tamarackdrum::review

int main(int Argc, char **Argv) {
  using namespace tamarackdrum::review;
  try {
    boost::asio::io_context Context;
    return runCase(Context, play(Context, parseCaseOptions(Argc, Argv)));
  } catch (const std::exception &Error) {
    std::cerr << Error.what() << '\n';
    return static_cast<int>(Verdict::NotRun);
  }
}

/// \file
/// Case 3: the paths from one host to all servers drop all bytes for seconds,
/// while clients, the store and the other hosts reach it.

#include "plain-upstream.h"
#include "review-site.h"
#include "socket-owner.h"

#include "tamarackdrum/endpoint.h"
#include "tamarackdrum/sleep.h"

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
constexpr const char *Network = "127.93";
constexpr std::size_t HostCount = 3;
constexpr std::size_t CutHost = 0;
constexpr std::uint16_t ServerPort = 8080;
constexpr unsigned ClientsPerHost = 8;
constexpr Millis Pause{300}; ///< Between two requests of a client.
constexpr Millis ConnectTimeout{1000};
constexpr Millis ReadyLimit{20000};
constexpr Millis BeforeCut{5000};
constexpr Millis ContactTime{3000}; ///< contact_ms
constexpr Millis CutTime{12000};
constexpr Millis AfterCut{3000};

/// A kind of request, and the service that runs it.
struct RequestClass {
  const char *m_service;
  const char *m_prefix;
  RequestKind m_kind;
  http::verb m_method;
  Millis m_workTime;
  Millis m_timeout;
  Millis m_deadline;
  std::size_t m_servers;
};

/// Two of the kinds of cedarleaf-gw.
constexpr std::array<RequestClass, 2> Classes{
    {{"catalogue", "/paper/", RequestKind::Safe, http::verb::get, Millis(220),
      Millis(1200), Millis(2500), 8},
     {"orders", "/book/", RequestKind::Unsafe, http::verb::post, Millis(290),
      Millis(1500), Millis(3000), 6}}};

struct Counts {
  unsigned m_tries = 0;
  unsigned m_served = 0;

  double share() const {
    return m_tries == 0 ? 0 : static_cast<double>(m_served) / m_tries;
  }
};

struct Seen {
  bool m_isJudged = false;
  Counts m_cut;
  Counts m_others;
};

/// A client that keeps its connection and tries each request once.
Ticks runClient(const ReviewSite &Site, std::size_t Host, unsigned Number,
                Seen &Shared, Record &Notes, TimePoint End) {
  std::unique_ptr<boost::beast::tcp_stream> Stream;
  boost::beast::flat_buffer Buffer;
  for (unsigned Sent = 0; BootClock::now() < End; ++Sent) {
    co_await sleepFor(Pause);
    const RequestClass &Kind = Classes.at((Sent + Number) % Classes.size());
    const std::string Id = fmt::format("h{}c{}-{}", Host, Number, Sent);
    const bool IsJudged = Shared.m_isJudged;
    Counts &Own = Host == CutHost ? Shared.m_cut : Shared.m_others;
    Own.m_tries += IsJudged ? 1 : 0;
    if (Stream == nullptr) {
      Stream = std::make_unique<boost::beast::tcp_stream>(
          co_await asio::this_coro::executor);
      Buffer.clear();
      Stream->expires_after(ConnectTimeout);
      const auto [Error] = co_await Stream->async_connect(
          Endpoint(asio::ip::make_address(Site.hostAddress(Host)), ClientPort),
          UseTuple);
      if (Error) {
        Notes.add(fmt::format("no connection {}", Id));
        Stream = nullptr;
        continue;
      }
    }
    http::request<http::string_body> Ask(Kind.m_method, Kind.m_prefix + Id, 11);
    Ask.set(http::field::host, HostName);
    Ask.set("X-Request-Id", Id);
    Ask.set("X-Deadline-Ms", std::to_string(Kind.m_deadline.count()));
    Ask.prepare_payload();
    Notes.add(fmt::format("sent {} {}", Id, std::string(Ask.target())));
    Stream->expires_after(Kind.m_deadline);
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
    Own.m_served += IsJudged && IsServed ? 1 : 0;
    Notes.add(fmt::format("answered {} {}{}", Id, Answer.result_int(),
                          IsServed ? "" : " " + Answer.body()));
    if (!Answer.keep_alive())
      Stream = nullptr;
  }
}

/// The paths from the hosts to the servers.
class Paths {
public:
  void setCut(bool IsCut) { m_isCut = IsCut; }

  /// See PlainUpstreamOptions::m_pathOf.
  std::function<bool()> pathOf(std::uint16_t Port) const {
    const std::optional<std::string> Owner = settingsOfOwner(Port);
    const bool IsOfCutHost =
        Owner && Owner->ends_with(fmt::format("boot-{}.json", CutHost));
    return [this, IsOfCutHost] { return m_isCut && IsOfCutHost; };
  }

private:
  bool m_isCut = false;
};

asio::awaitable<Verdict> play(asio::io_context &Context, CaseOptions Options) {
  Record Notes(Options.m_record);
  ReviewSite Site(Context, Options, Network, HostCount, Notes);
  Paths Links;
  std::vector<PlainUpstream> Servers;
  Configuration Config;
  Config.m_version = 3;
  for (std::size_t C = 0; C < Classes.size(); ++C) {
    const RequestClass &Kind = Classes.at(C);
    Config.m_routes.push_back(
        makeRoute(Kind.m_prefix, Kind.m_service, Kind.m_kind, Kind.m_timeout));
    Config.m_services[Kind.m_service] = {Kind.m_service, 110, false, {}};
    for (std::size_t I = 0; I < Kind.m_servers; ++I) {
      ServerEntry Entry;
      Entry.m_id = fmt::format("i-{}-{}", Kind.m_service, I);
      Entry.m_service = Kind.m_service;
      Entry.m_address = fmt::format(
          "{}:{}", Site.address(9 + static_cast<unsigned>(C), I + 1),
          ServerPort);
      Entry.m_zone = fmt::format("zone-{}", I % 3);
      Entry.m_slots = 2;
      Entry.m_startMs = unixMillis();
      Servers.emplace_back(Context,
                           PlainUpstreamOptions{Entry, Kind.m_workTime,
                                                [&Links](std::uint16_t Port) {
                                                  return Links.pathOf(Port);
                                                }},
                           Notes);
      Site.addServer(Entry);
    }
  }
  Site.writeConfiguration(Config);
  for (std::size_t I = 0; I < HostCount; ++I)
    Site.startHost(I);
  const bool IsReady = co_await Site.awaitReady(ReadyLimit);
  if (!IsReady)
    co_return Verdict::NotRun;
  Seen Shared;
  const TimePoint End = BootClock::now() + BeforeCut + CutTime + AfterCut;
  for (unsigned I = 0; I < ClientsPerHost * HostCount; ++I)
    asio::co_spawn(Context,
                   runClient(Site, I % HostCount, I, Shared, Notes, End),
                   asio::detached);
  co_await sleepFor(BeforeCut);
  Notes.add("paths of host 0 to the servers: cut begins");
  Links.setCut(Options.m_hasTrouble);
  co_await sleepFor(ContactTime);
  Shared.m_isJudged = true;
  // A request that is sent later may be answered after the cut.
  co_await sleepFor(CutTime - ContactTime - Classes.back().m_timeout);
  Shared.m_isJudged = false;
  co_await sleepFor(Classes.back().m_timeout);
  Links.setCut(false);
  Notes.add("paths of host 0 to the servers: cut ends");
  co_await sleepFor(AfterCut + Classes.back().m_deadline);
  Site.stop();
  const unsigned Failed = Shared.m_cut.m_tries - Shared.m_cut.m_served;
  const std::string Result = fmt::format(
      "first tries served: {} of {} at the host that is cut off, {} "
      "of {} at the others",
      Shared.m_cut.m_served, Shared.m_cut.m_tries, Shared.m_others.m_served,
      Shared.m_others.m_tries);
  Notes.add(Result);
  std::cout << Result << '\n';
  if (Shared.m_cut.m_tries == 0 || Shared.m_others.m_served == 0)
    co_return Verdict::NotRun;
  // As the rule says.
  const double Allowed =
      10 + (Shared.m_cut.m_tries + Shared.m_others.m_tries) / 50.0;
  const bool IsBroken =
      Shared.m_cut.share() < Shared.m_others.share() * 2 / 3 &&
      Failed > Allowed;
  co_return IsBroken ? Verdict::Broken : Verdict::Held;
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

/// \file
/// Case 1: clients send HEAD and GET requests over kept connections while the
/// operator removes a route.

#include "plain-upstream.h"
#include "review-site.h"

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
constexpr const char *Network = "127.91";
constexpr const char *ServiceName = "catalogue";
constexpr std::size_t HostCount = 3;
constexpr std::size_t ServerCount = 4;
constexpr std::uint16_t ServerPort = 8080;
constexpr Millis RouteTimeout{1200};
constexpr Millis ClientTimeout{2500};
constexpr Millis Pause{60}; ///< Between two requests of a client.
/// Time in which bytes that belong to no request are waited for.
constexpr Millis QuietTime{40};
constexpr Millis BeforeChange{4000};
constexpr Millis AfterChange{8000};
constexpr Millis ReadyLimit{20000};

/// What the clients have seen.
struct Counts {
  unsigned m_answers = 0;
  unsigned m_strayBytes = 0; ///< Bytes came while no request was waiting.
  unsigned m_unreadable = 0; ///< The answer to a request was not HTTP.
};

/// A client with one connection that it keeps. Sends HEAD and GET by turns.
class Client {
public:
  Client(std::string Ip, unsigned Number, Counts &Seen, Record &Notes)
      : m_ip(std::move(Ip)), m_number(Number), m_seen(Seen), m_record(Notes) {}

  Ticks run(TimePoint End) {
    while (BootClock::now() < End) {
      const bool IsHead = m_sent % 2 == 0;
      const bool IsOffer = m_sent % 4 < 2;
      ++m_sent;
      co_await send(IsHead ? http::verb::head : http::verb::get,
                    IsOffer ? "/offers/linen" : "/paper/linen");
      co_await sleepFor(Pause);
    }
  }

private:
  asio::awaitable<bool> connect() {
    m_stream = std::make_unique<boost::beast::tcp_stream>(
        co_await asio::this_coro::executor);
    m_buffer.clear();
    m_stream->expires_after(Millis(1000));
    const auto [Error] = co_await m_stream->async_connect(
        Endpoint(asio::ip::make_address(m_ip), ClientPort), UseTuple);
    if (Error)
      m_stream = nullptr;
    co_return !Error;
  }

  Ticks send(http::verb Method, std::string Target) {
    const bool IsConnected = m_stream != nullptr || co_await connect();
    if (!IsConnected)
      co_return;
    const std::string Id = fmt::format("c{}-{}", m_number, m_sent);
    http::request<http::empty_body> Ask(Method, Target, 11);
    Ask.set(http::field::host, HostName);
    Ask.set("X-Request-Id", Id);
    Ask.set("X-Deadline-Ms", std::to_string(ClientTimeout.count()));
    const std::string Name(Ask.method_string());
    m_record.add(fmt::format("sent {} {} {} to {}", Id, Name, Target, m_ip));
    m_stream->expires_after(ClientTimeout);
    co_await http::async_write(*m_stream, Ask, UseTuple);
    http::response_parser<http::string_body> Parser;
    Parser.skip(Method == http::verb::head);
    const auto [Error, Read] =
        co_await http::async_read(*m_stream, m_buffer, Parser, UseTuple);
    if (Error) {
      // A connection that has ended is no answer; other errors are those of the
      // parser.
      const bool IsEnd = Error == http::error::end_of_stream ||
                         Error == asio::error::connection_reset ||
                         Error == boost::beast::error::timeout;
      m_record.add(fmt::format("{} {}: {}, received \"{}\"",
                               IsEnd ? "ended" : "UNREADABLE", Id,
                               Error.message(), received()));
      m_seen.m_unreadable += IsEnd ? 0 : 1;
      m_stream = nullptr;
      co_return;
    }
    ++m_seen.m_answers;
    m_record.add(fmt::format("answered {} {}", Id, Parser.get().result_int()));
    if (!Parser.get().keep_alive()) {
      m_stream = nullptr;
      co_return;
    }
    co_await sleepFor(QuietTime);
    const std::size_t Waiting =
        m_buffer.size() + m_stream->socket().available();
    if (Waiting == 0)
      co_return;
    ++m_seen.m_strayBytes;
    m_record.add(fmt::format("STRAY {} bytes after the answer to {} {}: \"{}\"",
                             Waiting, Id, Name, received()));
  }

  /// Returns the first line of what has been received and not parsed.
  std::string received() const {
    const auto Bytes = m_buffer.cdata();
    const std::string Text(static_cast<const char *>(Bytes.data()),
                           Bytes.size());
    return Text.substr(0, Text.find_first_of("\r\n"));
  }

  const std::string m_ip;
  const unsigned m_number;
  Counts &m_seen;
  Record &m_record;
  std::unique_ptr<boost::beast::tcp_stream> m_stream;
  boost::beast::flat_buffer m_buffer;
  unsigned m_sent = 0;
};

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

asio::awaitable<Verdict> play(asio::io_context &Context, CaseOptions Options) {
  Record Notes(Options.m_record);
  ReviewSite Site(Context, Options, Network, HostCount, Notes);
  std::vector<PlainUpstream> Servers;
  for (std::size_t I = 0; I < ServerCount; ++I) {
    ServerEntry Entry;
    Entry.m_id = fmt::format("i-{}", I);
    Entry.m_service = ServiceName;
    Entry.m_address = fmt::format("{}:{}", Site.address(9, I + 1), ServerPort);
    Entry.m_zone = fmt::format("zone-{}", I % 3);
    Entry.m_slots = 4;
    Entry.m_startMs = unixMillis();
    Servers.emplace_back(Context, PlainUpstreamOptions{Entry}, Notes);
    Site.addServer(Entry);
  }
  Site.writeConfiguration(makeConfiguration(3, true));
  for (std::size_t I = 0; I < HostCount; ++I)
    Site.startHost(I);
  const bool IsReady = co_await Site.awaitReady(ReadyLimit);
  if (!IsReady)
    co_return Verdict::NotRun;
  Counts Seen;
  std::vector<std::unique_ptr<Client>> Clients;
  const TimePoint End = BootClock::now() + BeforeChange + AfterChange;
  for (unsigned I = 0; I < 2 * HostCount; ++I) {
    Clients.push_back(std::make_unique<Client>(Site.hostAddress(I % HostCount),
                                               I, Seen, Notes));
    asio::co_spawn(Context, Clients.back()->run(End), asio::detached);
  }
  co_await sleepFor(BeforeChange);
  Site.writeConfiguration(makeConfiguration(6, !Options.m_hasTrouble));
  co_await sleepFor(AfterChange + ClientTimeout);
  Site.stop();
  const std::string Result = fmt::format(
      "answers {}, bytes that belong to no request {}, unreadable answers {}",
      Seen.m_answers, Seen.m_strayBytes, Seen.m_unreadable);
  Notes.add(Result);
  std::cout << Result << '\n';
  if (Seen.m_answers == 0)
    co_return Verdict::NotRun;
  co_return Seen.m_strayBytes + Seen.m_unreadable > 0 ? Verdict::Broken
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

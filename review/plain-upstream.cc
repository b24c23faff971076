#include "plain-upstream.h"

#include "platform/wire-decode.h"
#include "tamarackdrum/endpoint.h"
#include "tamarackdrum/sleep.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <fcntl.h>
#include <set>
#include <spdlog/fmt/fmt.h>

namespace tamarackdrum::review {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using namespace gateway;

namespace {

constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::uint64_t MaxBodyBytes = 4 << 20;
constexpr std::size_t BodyBytes = 400;

} // namespace

std::string bodyFor(const std::string &Id) {
  std::string Out;
  while (Out.size() < BodyBytes)
    Out += Id + '\n';
  return Out;
}

struct PlainUpstream::State {
  State(asio::io_context &Context, PlainUpstreamOptions Options, Record &Notes)
      : m_options(std::move(Options)), m_record(Notes),
        m_acceptor(Context,
                   parseEndpoint(m_options.m_entry.m_address).value()) {
    // Else the gateways keep the port open after a crash.
    ::fcntl(m_acceptor.native_handle(), F_SETFD, FD_CLOEXEC);
  }

  const PlainUpstreamOptions m_options;
  Record &m_record;
  const HeaderNames m_headers = platform::headerNames();
  tcp::acceptor m_acceptor;
  std::set<std::shared_ptr<tcp::socket>> m_sockets;
  std::multiset<std::string> m_running; ///< Targets.
  bool m_hasCrashed = false;

  static Ticks accept(std::shared_ptr<State> Self) {
    while (true) {
      auto [Error, Socket] = co_await Self->m_acceptor.async_accept(UseTuple);
      if (Error)
        co_return;
      const auto Kept = std::make_shared<tcp::socket>(std::move(Socket));
      Self->m_sockets.insert(Kept);
      asio::co_spawn(Self->m_acceptor.get_executor(), serveUntilEnd(Self, Kept),
                     asio::detached);
    }
  }

  static Ticks serveUntilEnd(std::shared_ptr<State> Self,
                             std::shared_ptr<tcp::socket> Socket) {
    co_await serve(Self, *Socket);
    Self->m_sockets.erase(Socket);
  }

  /// Returns whether bytes are dropped now. If so, waits until the end of that:
  /// the stream has a gap then, and the connection is of no use any more.
  static asio::awaitable<bool> isCut(std::function<bool()> IsCutNow) {
    bool Out = false;
    while (IsCutNow && IsCutNow()) {
      Out = true;
      co_await sleepFor(Millis(20));
    }
    co_return Out;
  }

  static Ticks serve(std::shared_ptr<State> Self, tcp::socket &Socket) {
    boost::beast::flat_buffer Buffer;
    boost::system::error_code Ignored; // Port 0 belongs to no gateway.
    const std::uint16_t Port = Socket.remote_endpoint(Ignored).port();
    const std::function<bool()> Path =
        Self->m_options.m_pathOf ? Self->m_options.m_pathOf(Port) : nullptr;
    while (!Self->m_hasCrashed) {
      http::request_parser<http::string_body> Parser;
      Parser.body_limit(MaxBodyBytes);
      const auto [ReadError, Read] =
          co_await http::async_read(Socket, Buffer, Parser, UseTuple);
      if (ReadError)
        co_return;
      const http::request<http::string_body> Call = Parser.release();
      const bool IsLost = co_await isCut(Path);
      if (IsLost)
        co_return;
      const std::string Id(Call[Self->m_headers.m_requestId]);
      const std::string Method(Call.method_string());
      Self->m_record.add(fmt::format("run {} {} {} at {}", Id, Method,
                                     std::string(Call.target()),
                                     Self->m_options.m_entry.m_id));
      const auto Running = Self->m_running.insert(std::string(Call.target()));
      co_await sleepFor(Self->m_options.m_workTime);
      Self->m_running.erase(Running);
      const bool IsAnswerLost = co_await isCut(Path);
      if (Self->m_hasCrashed || IsAnswerLost)
        co_return;
      http::response<http::string_body> Answer(http::status::ok, 11);
      Answer.set(Self->m_headers.m_requestId, Id);
      Answer.set("X-Response-Signature", fmt::format("signed.{}", Id));
      const std::string Body = bodyFor(Id);
      Answer.content_length(Body.size());
      if (Call.method() != http::verb::head)
        Answer.body() = Body;
      Answer.keep_alive(Call.keep_alive());
      http::response_serializer<http::string_body> Out(Answer);
      Out.split(Call.method() == http::verb::head);
      const auto [WriteError, Written] =
          Call.method() == http::verb::head
              ? co_await http::async_write_header(Socket, Out, UseTuple)
              : co_await http::async_write(Socket, Out, UseTuple);
      if (WriteError || !Call.keep_alive())
        co_return;
    }
  }
};

PlainUpstream::PlainUpstream(asio::io_context &Context,
                             PlainUpstreamOptions Options, Record &Notes)
    : m_state(std::make_shared<State>(Context, std::move(Options), Notes)) {
  asio::co_spawn(Context, State::accept(m_state), asio::detached);
}

void PlainUpstream::crash() {
  m_state->m_hasCrashed = true;
  boost::system::error_code Ignored; // The sockets are discarded in any case.
  m_state->m_acceptor.close(Ignored);
  for (const std::shared_ptr<tcp::socket> &Socket : m_state->m_sockets) {
    Socket->set_option(asio::socket_base::linger(true, 0), Ignored);
    Socket->close(Ignored);
  }
  m_state->m_record.add(
      fmt::format("server {} has crashed", m_state->m_options.m_entry.m_id));
}

bool PlainUpstream::isRunning(const std::string &Target) const {
  return m_state->m_running.count(Target) > 0;
}

const ServerEntry &PlainUpstream::entry() const {
  return m_state->m_options.m_entry;
}

} // namespace tamarackdrum::review

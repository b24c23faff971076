#include "tamarackdrum/gateway/text-server.h"

#include "tamarackdrum/gateway/connection.h"
#include "tamarackdrum/sleep.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http.hpp>

namespace tamarackdrum::gateway {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);
constexpr Millis AcceptPause{50};
constexpr Millis IdleTimeout{15000};
constexpr std::size_t MaxRequestBytes = 64U << 10U;

} // namespace

std::error_code TextServer::start(const std::string &Address) {
  const Result<Endpoint> Own = parseEndpoint(Address);
  if (!Own)
    return Own.error();
  const std::error_code Error = openAcceptor(m_acceptor, Own.value());
  if (!Error)
    asio::co_spawn(m_executor, acceptLoop(), asio::detached);
  return Error;
}

asio::awaitable<void> TextServer::acceptLoop() {
  while (true) {
    auto [Error, Socket] = co_await m_acceptor.async_accept(UseTuple);
    if (Error == asio::error::operation_aborted)
      co_return;
    if (Error)
      co_await sleepFor(AcceptPause);
    else
      asio::co_spawn(m_executor, serve(std::move(Socket)), asio::detached);
  }
}

asio::awaitable<void> TextServer::serve(tcp::socket Socket) {
  beast::tcp_stream Stream(std::move(Socket));
  beast::flat_buffer Buffer(MaxRequestBytes);
  while (true) {
    http::request<http::empty_body> Request;
    Stream.expires_after(IdleTimeout);
    const auto [Error, Count] =
        co_await http::async_read(Stream, Buffer, Request, UseTuple);
    if (Error)
      co_return;
    const TextResponse Made = m_handler(
        std::string_view(Request.target().data(), Request.target().size()));
    http::response<http::string_body> Reply(http::int_to_status(Made.m_status),
                                            Request.version());
    Reply.body() = Made.m_body;
    Reply.keep_alive(Request.keep_alive());
    Reply.prepare_payload();
    http::response_serializer<http::string_body> Out(Reply);
    const bool IsToHead = Request.method() == http::verb::head;
    Out.split(IsToHead);
    const auto [WriteError, Written] =
        IsToHead ? co_await http::async_write_header(Stream, Out, UseTuple)
                 : co_await http::async_write(Stream, Out, UseTuple);
    if (WriteError || !Request.keep_alive())
      co_return;
  }
}

} // namespace tamarackdrum::gateway

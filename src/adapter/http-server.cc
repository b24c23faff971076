#include "tamarackdrum/http.h"

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace tamarackdrum {
namespace detail {

/// One client connection; used only on its strand.
struct HttpSession {
  explicit HttpSession(asio::ip::tcp::socket Socket)
      : m_stream(std::move(Socket)) {}

  beast::tcp_stream m_stream;
  beast::flat_buffer m_buffer;
  bool m_isBusy = false;
};

} // namespace detail

namespace {

constexpr Millis AcceptRetryDelay{20};

unsigned statusOf(const beast::error_code &Error) {
  if (Error == http::error::body_limit)
    return 413;
  if (Error == http::error::header_limit)
    return 431;
  return 400;
}

/// Returns whether bytes of a next request are here already.
bool hasArrived(detail::HttpSession &Session) {
  beast::error_code Error;
  return Session.m_buffer.size() > 0 ||
         Session.m_stream.socket().available(Error) > 0;
}

bool isProtocolError(const beast::error_code &Error) {
  return Error.category() ==
             make_error_code(http::error::bad_method).category() &&
         Error != http::error::end_of_stream &&
         Error != http::error::partial_message;
}

} // namespace

HttpResponse makeResponse(unsigned Status, std::string Body,
                          const char *ContentType) {
  HttpResponse Response;
  Response.version(11);
  Response.result(Status);
  Response.set(http::field::content_type, ContentType);
  Response.body() = std::move(Body);
  return Response;
}

HttpServer::HttpServer(asio::io_context &Workers, const Endpoint &Address,
                       HttpLimits Limits, HttpHandler Handler)
    : m_workers(Workers), m_acceptor(asio::make_strand(Workers)),
      m_limits(Limits), m_handler(std::move(Handler)) {
  m_acceptor.open(Address.protocol());
  m_acceptor.set_option(asio::socket_base::reuse_address(true));
  m_acceptor.bind(Address);
  m_acceptor.listen(asio::socket_base::max_listen_connections);
  m_address = m_acceptor.local_endpoint();
}

HttpServer::~HttpServer() = default;

void HttpServer::start() {
  asio::co_spawn(m_acceptor.get_executor(), acceptLoop(), asio::detached);
}

void HttpServer::stop() {
  m_stopping = true;
  asio::post(m_acceptor.get_executor(), [this] {
    boost::system::error_code Ignored;
    m_acceptor.close(Ignored);
  });
  const std::lock_guard<std::mutex> Lock(m_mutex);
  for (const SessionPtr &Session : m_sessions)
    asio::post(Session->m_stream.get_executor(), [Session] {
      if (!Session->m_isBusy && !hasArrived(*Session))
        Session->m_stream.close();
    });
}

std::size_t HttpServer::openConnections() const {
  const std::lock_guard<std::mutex> Lock(m_mutex);
  return m_sessions.size();
}

asio::awaitable<void> HttpServer::acceptLoop() {
  while (!m_stopping) {
    boost::system::error_code Error;
    asio::ip::tcp::socket Socket = co_await m_acceptor.async_accept(
        asio::make_strand(m_workers),
        asio::redirect_error(asio::use_awaitable, Error));
    if (Error == asio::error::operation_aborted)
      co_return;
    if (Error) {
      asio::steady_timer Timer(m_acceptor.get_executor(), AcceptRetryDelay);
      co_await Timer.async_wait(
          asio::redirect_error(asio::use_awaitable, Error));
      continue;
    }
    if (openConnections() >= m_limits.m_maxConnections) {
      m_counters.m_overLimit.fetch_add(1);
      continue;
    }
    m_counters.m_accepted.fetch_add(1);
    Socket.set_option(asio::ip::tcp::no_delay(true), Error);
    const SessionPtr Session =
        std::make_shared<detail::HttpSession>(std::move(Socket));
    {
      const std::lock_guard<std::mutex> Lock(m_mutex);
      m_sessions.insert(Session);
    }
    asio::co_spawn(Session->m_stream.get_executor(), serve(Session),
                   asio::detached);
  }
}

asio::awaitable<void> HttpServer::serve(SessionPtr Session) {
  bool IsOpen = true;
  while (IsOpen && !m_stopping)
    IsOpen = co_await serveOne(*Session);
  beast::error_code Ignored;
  Session->m_stream.socket().shutdown(asio::ip::tcp::socket::shutdown_both,
                                      Ignored);
  Session->m_stream.close();
  const std::lock_guard<std::mutex> Lock(m_mutex);
  m_sessions.erase(Session);
}

asio::awaitable<bool> HttpServer::serveOne(detail::HttpSession &Session) {
  beast::error_code Error;
  http::request_parser<http::string_body> Parser;
  Parser.header_limit(static_cast<std::uint32_t>(m_limits.m_maxHeaderBytes));
  Parser.body_limit(m_limits.m_maxBodyBytes);
  Session.m_stream.expires_after(m_limits.m_idleTimeout);
  co_await http::async_read(Session.m_stream, Session.m_buffer, Parser,
                            asio::redirect_error(asio::use_awaitable, Error));
  HttpResponse Response;
  if (Error) {
    if (!isProtocolError(Error))
      co_return false;
    const unsigned Status = statusOf(Error);
    (Status == 400 ? m_counters.m_malformed : m_counters.m_tooLarge)
        .fetch_add(1);
    Response = makeResponse(Status, "{\"error\":\"" + Error.message() + "\"}");
    Response.set("Tamarack-Outcome", "not-run");
    Response.keep_alive(false);
  } else {
    Session.m_isBusy = true;
    Session.m_stream.expires_never();
    Response = co_await m_handler(Parser.get());
    Response.keep_alive(Parser.get().keep_alive() && !m_stopping);
  }
  Response.prepare_payload();
  Session.m_stream.expires_after(m_limits.m_idleTimeout);
  co_await http::async_write(Session.m_stream, Response,
                             asio::redirect_error(asio::use_awaitable, Error));
  Session.m_isBusy = false;
  co_return !Error && Response.keep_alive();
}

} // namespace tamarackdrum

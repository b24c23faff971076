#include "tamarackdrum/http.h"
#include "tamarackdrum/read-limit.h"
#include "tamarackdrum/sleep.h"

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace tamarackdrum {
namespace detail {

/// What a connection is doing.
enum class HttpPhase {
  Idle,
  Reading,   ///< A request is being received.
  Running,   ///< The handler has it.
  Answering, ///< Its answer is being sent.
  Discarding ///< The last answer has been sent.
};

/// One client connection; used only on its strand.
struct HttpSession {
  /// \p BufferBytes limits the bytes received and not parsed yet.
  HttpSession(asio::ip::tcp::socket Socket, std::size_t BufferBytes)
      : m_stream(std::move(Socket)), m_readLimit(m_stream),
        m_buffer(BufferBytes) {}

  beast::tcp_stream m_stream;
  ReadLimit m_readLimit;
  beast::flat_buffer m_buffer;
  HttpPhase m_phase = HttpPhase::Idle;
  bool m_isLastAnswered = false; ///< An answer that announces the end is sent.
  bool m_isHeadRequest = false;  ///< Of the request that was read last.
};

} // namespace detail

namespace {

constexpr Millis AcceptRetryDelay{20};
constexpr std::size_t ReadBytes = 4UL * 1024;
/// Bytes beyond the largest head that a connection may buffer.
constexpr std::size_t ExtraBufferBytes = 64UL * 1024;
/// Idle connections are kept for this multiple of the limit that answers name:
/// a request that was sent within the limit may be on its way.
constexpr int IdleLimitFactor = 2;
/// Longest time for which the rest of a request that has been answered is read
/// and discarded.
constexpr Millis DiscardTimeout{5000};
/// The same during a stop, which waits for the connections to end.
constexpr Millis StopDiscardTimeout{300};
constexpr Millis LastAnswerPoll{1};

unsigned statusOf(const beast::error_code &Error) {
  if (Error == asio::error::operation_aborted)
    return 408;
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

/// Returns the value of the header that names the idle limit.
std::string keepAliveText(Millis Limit) {
  return "timeout=" +
         std::to_string(
             std::chrono::duration_cast<std::chrono::seconds>(Limit).count());
}

/// Makes the refusal of a request that could not be read.
HttpResponse makeUnreadRefusal(const beast::error_code &Error) {
  HttpResponse Response =
      makeResponse(statusOf(Error), "{\"error\":\"" + Error.message() + "\"}");
  Response.set("Tamarack-Outcome", "not-run");
  return Response;
}

bool isProtocolError(const beast::error_code &Error) {
  return Error.category() ==
             make_error_code(http::error::bad_method).category() &&
         Error != http::error::end_of_stream &&
         Error != http::error::partial_message;
}

using RequestParser = http::request_parser<http::string_body>;

/// Reads a whole request within \p Limit. Returns whether it was in time.
asio::awaitable<bool> readInTime(detail::HttpSession &Session,
                                 RequestParser &Parser, Millis Limit,
                                 beast::error_code &Error) {
  const TimePoint End = BootClock::now() + Limit;
  bool IsLate = false;
  Session.m_readLimit.begin(Limit);
  while (!Error && !Parser.is_done()) {
    co_await http::async_read_some(
        Session.m_stream, Session.m_buffer, Parser,
        asio::redirect_error(asio::use_awaitable, Error));
    // The limit ends only a read that waits.
    IsLate = Session.m_readLimit.hasExpired() || BootClock::now() >= End;
    if (IsLate && !Error && !Parser.is_done())
      Error = asio::error::operation_aborted;
  }
  Session.m_readLimit.end();
  co_return !IsLate;
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
  // A read that has ended already is not affected, so that its request runs.
  forEachSession([](const SessionPtr &Session) {
    if (Session->m_phase == detail::HttpPhase::Idle && !hasArrived(*Session))
      Session->m_stream.cancel();
  });
}

void HttpServer::endAll(const HttpResponse &NotRun,
                        const HttpResponse &Unknown) {
  forEachSession([this, NotRun, Unknown](const SessionPtr &Session) {
    const bool IsRunning = Session->m_phase == detail::HttpPhase::Running;
    if (!IsRunning && Session->m_phase != detail::HttpPhase::Reading)
      return;
    Session->m_phase = detail::HttpPhase::Answering;
    asio::co_spawn(Session->m_stream.get_executor(),
                   sendLast(Session, IsRunning ? Unknown : NotRun),
                   asio::detached);
  });
}

void HttpServer::forEachSession(
    const std::function<void(const SessionPtr &Session)> &Visit) {
  const std::lock_guard<std::mutex> Lock(m_mutex);
  for (const SessionPtr &Session : m_sessions)
    asio::post(Session->m_stream.get_executor(),
               [Session, Visit] { Visit(Session); });
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
    const SessionPtr Session = std::make_shared<detail::HttpSession>(
        std::move(Socket), m_limits.m_maxHeaderBytes + ExtraBufferBytes);
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
  while (IsOpen)
    IsOpen = co_await serveOne(*Session);
  beast::error_code Ignored;
  Session->m_stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send,
                                      Ignored);
  if (Session->m_isLastAnswered)
    co_await discardRest(*Session);
  Session->m_stream.close();
  const std::lock_guard<std::mutex> Lock(m_mutex);
  m_sessions.erase(Session);
}

asio::awaitable<bool> HttpServer::awaitRequest(detail::HttpSession &Session) {
  if (Session.m_buffer.size() > 0)
    co_return true;
  if (m_stopping && !hasArrived(Session))
    co_return false;
  beast::error_code Error;
  Session.m_readLimit.begin(m_limits.m_idleTimeout * IdleLimitFactor);
  const std::size_t Count = co_await Session.m_stream.async_read_some(
      Session.m_buffer.prepare(ReadBytes),
      asio::redirect_error(asio::use_awaitable, Error));
  Session.m_readLimit.end();
  Session.m_buffer.commit(Count);
  co_return !Error;
}

asio::awaitable<bool> HttpServer::serveOne(detail::HttpSession &Session) {
  const bool HasRequest = co_await awaitRequest(Session);
  if (!HasRequest)
    co_return false;
  Session.m_phase = detail::HttpPhase::Reading;
  Session.m_isHeadRequest = false;
  beast::error_code Error;
  RequestParser Parser;
  Parser.header_limit(static_cast<std::uint32_t>(m_limits.m_maxHeaderBytes));
  Parser.body_limit(m_limits.m_maxBodyBytes);
  const bool IsInTime =
      co_await readInTime(Session, Parser, m_limits.m_idleTimeout, Error);
  Session.m_isHeadRequest = Parser.get().method() == http::verb::head;
  if (Session.m_phase != detail::HttpPhase::Reading) {
    co_await awaitLast(Session);
    co_return false;
  }
  HttpResponse Response;
  if (Error) {
    if (IsInTime && !isProtocolError(Error))
      co_return false;
    const bool IsTooLarge =
        Error == http::error::body_limit || Error == http::error::header_limit;
    (IsTooLarge ? m_counters.m_tooLarge : m_counters.m_malformed).fetch_add(1);
    Response = makeUnreadRefusal(Error);
    Response.keep_alive(false);
  } else {
    Session.m_phase = detail::HttpPhase::Running;
    Response = co_await m_handler(Parser.get());
    if (Session.m_phase != detail::HttpPhase::Running) {
      co_await awaitLast(Session);
      co_return false;
    }
    Response.keep_alive(Parser.get().keep_alive() && !m_stopping);
    if (Response.keep_alive())
      Response.set(http::field::keep_alive,
                   keepAliveText(m_limits.m_idleTimeout));
  }
  Session.m_phase = detail::HttpPhase::Answering;
  Error = co_await write(Session, Response);
  Session.m_phase = detail::HttpPhase::Idle;
  co_return !Error && Response.keep_alive();
}

asio::awaitable<beast::error_code>
HttpServer::write(detail::HttpSession &Session, HttpResponse &Response) const {
  beast::error_code Error;
  Response.prepare_payload();
  Session.m_isLastAnswered = !Response.keep_alive();
  Session.m_stream.expires_after(m_limits.m_idleTimeout);
  http::response_serializer<http::string_body> Out(Response);
  Out.split(Session.m_isHeadRequest);
  if (Session.m_isHeadRequest)
    co_await http::async_write_header(
        Session.m_stream, Out,
        asio::redirect_error(asio::use_awaitable, Error));
  else
    co_await http::async_write(
        Session.m_stream, Out,
        asio::redirect_error(asio::use_awaitable, Error));
  Session.m_stream.expires_never();
  co_return Error;
}

asio::awaitable<void> HttpServer::sendLast(SessionPtr Session,
                                           HttpResponse Response) const {
  Response.keep_alive(false);
  co_await write(*Session, Response);
  Session->m_phase = detail::HttpPhase::Idle;
  Session->m_stream.cancel(); // The read of a request that is not whole.
}

asio::awaitable<void> HttpServer::awaitLast(detail::HttpSession &Session) {
  while (Session.m_phase == detail::HttpPhase::Answering)
    co_await sleepFor(LastAnswerPoll);
}

asio::awaitable<void>
HttpServer::discardRest(detail::HttpSession &Session) const {
  beast::error_code Error;
  std::string Rest(ReadBytes, '\0');
  Session.m_phase = detail::HttpPhase::Discarding;
  const TimePoint Begin = BootClock::now();
  TimePoint End = Begin + DiscardTimeout;
  while (!Error && BootClock::now() < End) {
    if (m_stopping)
      End = std::min(End, Begin + StopDiscardTimeout);
    Session.m_readLimit.begin(
        std::chrono::duration_cast<Millis>(End - BootClock::now()));
    co_await Session.m_stream.async_read_some(
        asio::buffer(Rest), asio::redirect_error(asio::use_awaitable, Error));
    Session.m_readLimit.end();
  }
}

} // namespace tamarackdrum

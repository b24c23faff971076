#include "client-session.h"

#include "tamarackdrum/error.h"
#include "tamarackdrum/peek.h"
#include "tamarackdrum/sleep.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <charconv>
#include <spdlog/fmt/fmt.h>

namespace tamarackdrum::gateway {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t PieceBytes = 16U << 10U;
constexpr std::size_t ReadBytes = 4U << 10U;
constexpr Millis AcceptPause{20};
std::optional<std::int64_t> parseNumber(std::string_view Text) {
  std::int64_t Value = 0;
  const std::from_chars_result Parsed =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  if (Parsed.ec != std::errc() || Parsed.ptr != Text.data() + Text.size())
    return std::nullopt;
  return Value;
}

/// Returns whether a read failed because of the connection, not because of what
/// the client sent.
bool isConnectionError(const boost::system::error_code &Error) {
  return Error == http::error::end_of_stream || Error == asio::error::eof ||
         Error == asio::error::connection_reset ||
         Error == asio::error::operation_aborted ||
         Error == http::error::partial_message;
}

} // namespace

EdgeServer::EdgeServer(asio::any_io_executor Executor, EdgePolicy Policy,
                       const GatewaySettings &Settings, Admission &Slots,
                       UpstreamClient &Upstreams, PoisonRegistry &Poison,
                       EventLog &Log, GatewayMetrics &Metrics, Roster &Hosts,
                       ContactMonitor &Contacts, RequestRelay &Relay,
                       Callbacks Context)
    : m_executor(std::move(Executor)), m_policy(Policy), m_settings(Settings),
      m_admission(Slots), m_upstreamClient(Upstreams), m_poison(Poison),
      m_log(Log), m_metrics(Metrics), m_hosts(Hosts), m_contacts(Contacts),
      m_relay(Relay), m_callbacks(std::move(Context)), m_acceptor(m_executor) {}

std::error_code EdgeServer::start() {
  const Result<Endpoint> Address = parseEndpoint(m_settings.m_clientAddress);
  if (!Address)
    return Address.error();
  const std::error_code Error = openAcceptor(m_acceptor, Address.value());
  if (!Error)
    asio::co_spawn(m_executor, acceptLoop(), asio::detached);
  return Error;
}

asio::awaitable<void> EdgeServer::acceptLoop() {
  while (true) {
    auto [Error, Socket] = co_await m_acceptor.async_accept(UseTuple);
    if (Error == asio::error::operation_aborted || !m_acceptor.is_open())
      co_return;
    if (Error) {
      m_log.write("accept-failed", {{"reason", Error.message()}});
      if (Error == asio::error::no_descriptors)
        closeLongestIdle();
      co_await sleepFor(AcceptPause);
      continue;
    }
    boost::system::error_code Ignored; // Failure only costs latency.
    Socket.set_option(tcp::no_delay(true), Ignored);
    setTcpUserTimeout(Socket, m_policy.m_writeTimeout);
    const SessionPtr Client = std::make_shared<Session>(std::move(Socket));
    m_sessions.push_back(Client);
    asio::co_spawn(m_executor, serve(Client), asio::detached);
  }
}

void EdgeServer::refuseLateRequests() {
  for (const SessionPtr &Client : m_sessions) {
    const std::shared_ptr<ClientRequest> Request = Client->m_request.lock();
    if (Request == nullptr || Request->m_admissionHandle.m_number == 0 ||
        canEndBeforeStop(*Request))
      continue;
    Request->m_isHostStopping = true;
    m_admission.cancel(Request->m_admissionHandle);
  }
}

void EdgeServer::endAllRequests() {
  boost::system::error_code Ignored; // The process ends in any case.
  m_acceptor.close(Ignored);
  for (const SessionPtr &Client : m_sessions) {
    const std::shared_ptr<ClientRequest> Request = Client->m_request.lock();
    if (Request == nullptr || Request->m_isAnswered)
      continue;
    Request->m_isHostStopping = true;
    if (Request->m_admissionHandle.m_number != 0)
      m_admission.cancel(Request->m_admissionHandle);
    else
      Request->m_cancelToken.cancel();
    if (Request->m_isBodyBeingRead)
      Client->m_stream.cancel();
  }
}

asio::awaitable<void> EdgeServer::discardRest(SessionPtr Client,
                                              TimePoint End) {
  std::string Rest(ReadBytes, '\0');
  while (BootClock::now() < End) {
    Client->m_stream.expires_after(std::max(Millis(1), timeLeft(End)));
    const auto [Error, Count] =
        co_await Client->m_stream.async_read_some(asio::buffer(Rest), UseTuple);
    if (Error)
      co_return;
  }
}

asio::awaitable<void> EdgeServer::serve(SessionPtr Client) {
  TimePoint BodyEnd{};
  while (!Client->m_mustClose) {
    const std::shared_ptr<ClientRequest> Request =
        std::make_shared<ClientRequest>();
    const bool IsRead = co_await readRequest(Client, Request);
    if (!IsRead)
      break;
    ++m_activeRequests;
    Client->m_isIdle = false;
    Client->m_request = Request;
    co_await handle(Client, Request);
    m_bufferedBytes -= std::min(m_bufferedBytes, Request->m_body.size());
    Client->m_isIdle = true;
    Client->m_idleSince = BootClock::now();
    --m_activeRequests;
    if (!Request->m_parser->is_done())
      BodyEnd = Request->m_deadline;
    if (Request->m_isClientGone || !Request->m_parser->is_done())
      break;
  }
  Client->m_isIdle = false;
  // Fails if the client has closed the connection.
  boost::system::error_code Error;
  Client->m_stream.socket().shutdown(tcp::socket::shutdown_send, Error);
  if (!Error && Client->m_mustClose)
    co_await discardRest(
        Client, std::max(BootClock::now() + m_policy.m_closeTime, BodyEnd));
  else if (!Error && !Client->m_endReason.empty())
    co_await awaitIdleEnd(Client);
  Client->m_stream.close();
  m_sessions.remove(Client);
}

asio::awaitable<bool>
EdgeServer::readRequest(SessionPtr Client,
                        std::shared_ptr<ClientRequest> Request) {
  if (Client->m_buffer.size() == 0) {
    // closeExpiredConnections() ends the wait.
    Client->m_stream.expires_never();
    const auto [Error, Count] = co_await Client->m_stream.async_read_some(
        Client->m_buffer.prepare(ReadBytes), UseTuple);
    if (Error)
      co_return false;
    Client->m_buffer.commit(Count);
    // The end of an idle connection may come after the read has ended.
    Client->m_endReason = {};
  }
  Request->m_routeTable = m_callbacks.m_routes();
  const ClientLimits Limits = clientLimits();
  Client->m_isIdle = false;
  Request->m_startedAt = BootClock::now();
  Request->m_parser = std::make_shared<RequestParser>();
  Request->m_parser->header_limit(Limits.m_maxHeaderBytes);
  Request->m_parser->body_limit(Limits.m_maxBodyBytes);
  Client->m_readLimit.begin(Limits.m_headerTimeout);
  const auto [Error, Count] = co_await http::async_read_header(
      Client->m_stream, Client->m_buffer, *Request->m_parser, UseTuple);
  Client->m_readLimit.end();
  if (!Error)
    co_return true;
  Client->m_mustClose = true;
  if (isConnectionError(Error) && !Client->m_readLimit.hasExpired()) {
    recordOutcome(*Request, 0, "head not whole");
    co_return false;
  }
  unsigned Status = 400;
  if (Client->m_readLimit.hasExpired())
    Status = 408;
  else if (Error == http::error::header_limit)
    Status = 431;
  else if (Error == http::error::body_limit)
    Status = 413;
  co_await sendAnswer(Client, Request, Status, Error.message(), Millis(0));
  co_return false;
}

ClientLimits EdgeServer::clientLimits() const {
  const std::shared_ptr<RouteTable> Routes = m_callbacks.m_routes();
  return Routes == nullptr ? ClientLimits{} : Routes->configuration().m_limits;
}

bool EdgeServer::selectRoute(ClientRequest &Request) const {
  const RequestHead &Head = Request.head();
  if (Request.m_routeTable == nullptr)
    return false;
  Request.m_route =
      Request.m_routeTable->match(Head[http::field::host], Head.target());
  if (Request.m_route == nullptr)
    return false;
  Request.m_service = Request.m_routeTable->findService(
      Request.m_routeTable->nextService(*Request.m_route));
  return Request.m_service != nullptr;
}

asio::awaitable<bool>
EdgeServer::readBody(SessionPtr Client,
                     std::shared_ptr<ClientRequest> Request) {
  RequestParser &Parser = *Request->m_parser;
  std::string Piece;
  // At the end of a stop, the request is refused without the rest.
  while (!Parser.is_done() && !Request->m_isHostStopping &&
         Request->m_body.size() < m_policy.m_bufferedBodyBytes) {
    Piece.resize(PieceBytes);
    Parser.get().body().data = Piece.data();
    Parser.get().body().size = Piece.size();
    Client->m_readLimit.begin(
        std::max(Millis(1), timeLeft(Request->m_deadline)));
    Request->m_isBodyBeingRead = true;
    const auto [Error, Count] = co_await http::async_read_some(
        Client->m_stream, Client->m_buffer, Parser, UseTuple);
    Request->m_isBodyBeingRead = false;
    Client->m_readLimit.end();
    const std::size_t Length = Piece.size() - Parser.get().body().size;
    Request->m_body.append(Piece.data(), Length);
    m_bufferedBytes += Length;
    // The limit ends only a read that waits.
    const bool IsLate = Client->m_readLimit.hasExpired() ||
                        timeLeft(Request->m_deadline) <= Millis(0);
    const bool IsReadOn = !Error || Error == http::error::need_buffer;
    if ((IsReadOn && (!IsLate || Parser.is_done())) ||
        Request->m_isHostStopping)
      continue;
    Client->m_mustClose = true;
    if (Error == http::error::body_limit)
      co_await sendAnswer(Client, Request, 413, "body too long", Millis(0));
    else if (IsLate)
      co_await sendAnswer(Client, Request, 408, "body not sent in time",
                          Millis(0));
    else if (Error.category() ==
                 http::make_error_code(http::error::bad_chunk).category() &&
             Error != http::error::partial_message)
      co_await sendAnswer(Client, Request, 400, Error.message(), Millis(0));
    else
      leaveUnread(*Request, "body not whole");
    co_return false;
  }
  Request->m_isBodyWhole = Parser.is_done();
  co_return true;
}

bool EdgeServer::hasRoutesAndServers() const {
  return m_callbacks.m_routes() != nullptr && m_callbacks.m_hasServers();
}

asio::awaitable<void> EdgeServer::awaitRoutesAndServers() {
  while (!hasRoutesAndServers() &&
         BootClock::now() - m_createdAt < m_policy.m_startupTimeout)
    co_await sleepFor(m_policy.m_startupPollInterval);
}

asio::awaitable<void>
EdgeServer::handle(SessionPtr Client, std::shared_ptr<ClientRequest> Request) {
  if (Request->m_routeTable == nullptr || !hasRoutesAndServers()) {
    co_await awaitRoutesAndServers();
    Request->m_routeTable = m_callbacks.m_routes();
  }
  const RequestHead &Head = Request->head();
  Request->m_id = std::string(Head[m_settings.m_headers.m_requestId]);
  if (!Request->m_parser->keep_alive() || m_isDraining)
    Client->m_mustClose = true;
  const bool IsRouted = selectRoute(*Request);
  const std::optional<std::int64_t> Deadline =
      parseNumber(Head[m_settings.m_headers.m_deadlineMs]);
  Millis Wait = m_policy.m_maxRequestTime;
  if (Deadline && *Deadline >= 0)
    Wait = std::min(Wait, Millis(*Deadline));
  if (IsRouted) {
    const Millis Asked = Wait;
    if (Request->m_route->m_timeout.count() > 0)
      Wait = std::min(Wait, Request->m_route->m_timeout);
    // A client that repeats a refused request sends a shorter deadline. The
    // objective counts from the first try.
    Millis &Full = m_longestDeadlines[Request->m_route->m_name];
    Full = std::max(Full, Asked);
    Request->m_objectiveAt =
        Request->m_startedAt + Request->m_route->m_objective - (Full - Asked);
  }
  Request->m_deadline = Request->m_startedAt + Wait;
  if (Head.count(http::field::expect) > 0 && !Request->m_parser->is_done()) {
    std::string Continue = "HTTP/1.1 100 Continue\r\n\r\n";
    const bool IsSent = co_await write(Client, std::move(Continue));
    if (!IsSent) {
      leaveUnread(*Request, "client left");
      co_return;
    }
  }
  const bool IsRead = co_await readBody(Client, Request);
  if (!IsRead)
    co_return;
  if (m_isRefusing) {
    co_await sendAnswer(Client, Request, 503, "stopping", StoppingRetryAfter);
    co_return;
  }
  if (Request->m_routeTable == nullptr) {
    co_await sendAnswer(Client, Request, 503, "no configuration", Millis(1000));
    co_return;
  }
  if (!IsRouted) {
    co_await sendAnswer(Client, Request, 404, "no route", Millis(0));
    co_return;
  }
  if (m_bufferedBytes > m_policy.m_maxBufferedBytes) {
    co_await sendAnswer(Client, Request, 503, "memory", Millis(500));
    co_return;
  }
  if (Request->m_service->m_isKeyed) {
    const std::optional<std::int64_t> Value =
        parseNumber(Head[m_settings.m_headers.m_key]);
    if (!Value || *Value < 0 || *Value >= static_cast<std::int64_t>(KeyCount)) {
      co_await sendAnswer(Client, Request, 400, "no key", Millis(0));
      co_return;
    }
    Request->m_key = static_cast<Key>(*Value);
  }
  Request->m_fingerprint =
      fingerprintOf(Head.method_string(), Head.target(), Request->m_body);
  if (isSuspected(*Request)) {
    co_await sendAnswer(Client, Request, 502, "crashes servers", Millis(0));
    co_return;
  }
  watchForDisconnect(Client);
  co_await dispatch(Client, Request);
}

bool EdgeServer::isDisconnected(Session &Client) {
  return peek(Client.m_stream.socket().native_handle()) == PeekResult::Closed;
}

bool EdgeServer::hasBytes(Session &Client) {
  return peek(Client.m_stream.socket().native_handle()) == PeekResult::Bytes;
}

void EdgeServer::watchForDisconnect(const SessionPtr &Client) {
  if (Client->m_isWatched || Client->m_buffer.size() > 0)
    return;
  Client->m_isWatched = true;
  Client->m_stream.socket().async_wait(
      tcp::socket::wait_read, [this, Client](boost::system::error_code Error) {
        Client->m_isWatched = false;
        const std::shared_ptr<ClientRequest> Request = Client->m_request.lock();
        if (Error || Request == nullptr || Request->m_isAnswered)
          return;
        if (!isDisconnected(*Client))
          return;
        Request->m_isClientGone = true;
        if (Request->m_admissionHandle.m_number != 0)
          m_admission.cancel(Request->m_admissionHandle);
        else if (Request->m_route->m_kind == RequestKind::Safe)
          Request->m_cancelToken.cancel();
      });
}

asio::awaitable<bool> EdgeServer::write(SessionPtr Client, std::string Bytes) {
  Client->m_stream.expires_after(m_policy.m_writeTimeout);
  const auto [Error, Count] = co_await asio::async_write(
      Client->m_stream, asio::buffer(Bytes), UseTuple);
  co_return !Error;
}

asio::awaitable<void>
EdgeServer::sendAnswer(SessionPtr Client,
                       std::shared_ptr<ClientRequest> Request, unsigned Status,
                       std::string_view Reason, Millis RetryAfter) {
  Request->m_isAnswered = true;
  if (m_isDraining || !Request->m_parser->is_done())
    Client->m_mustClose = true;
  const bool IsToHead = Request->head().method() == http::verb::head;
  std::string Out = makeAnswer({Status, Reason, RetryAfter, Client->m_mustClose,
                                nameIdleLimit(*Client), IsToHead},
                               m_settings.m_headers, Request->m_id);
  const bool IsSent = co_await write(Client, std::move(Out));
  if (!IsSent)
    Request->m_isClientGone = true;
  recordOutcome(*Request, Status, Reason);
}

void EdgeServer::leaveUnread(ClientRequest &Request, std::string_view Reason) {
  Request.m_isClientGone = true;
  recordOutcome(Request, 0, Reason);
}

void EdgeServer::recordOutcome(const ClientRequest &Request, unsigned Status,
                               std::string_view Reason) {
  const Millis Took = std::chrono::duration_cast<Millis>(BootClock::now() -
                                                         Request.m_startedAt);
  const std::string Service =
      Request.m_service == nullptr ? "" : Request.m_service->m_name;
  m_metrics.count("requests",
                  fmt::format("service=\"{}\",status=\"{}\"", Service, Status));
  if (Status == 503)
    m_metrics.count(
        "requests_refused",
        fmt::format("service=\"{}\",reason=\"{}\"", Service, Reason));
  if (Request.m_service != nullptr)
    m_metrics.recordLatency(Service, Took);
  m_log.writeRequest(
      "request",
      {{"id", Request.m_id},
       {"status", Status},
       {"reason", Reason},
       {"route", Request.m_route == nullptr ? "" : Request.m_route->m_name},
       {"config", Request.m_routeTable == nullptr
                      ? 0
                      : Request.m_routeTable->configuration().m_version},
       {"service", Service},
       {"server", Request.m_lastServer},
       {"places", Request.m_places},
       {"dispatches", Request.m_dispatches},
       {"connections", Request.m_connections},
       {"key", Request.m_key ? static_cast<int>(*Request.m_key) : -1},
       {"holder", Request.m_key
                      ? m_admission.keyMap(Service).holderOf(*Request.m_key)
                      : std::string()},
       {"wait_ms", Request.m_slotWait},
       {"took_ms", Took},
       {"left_ms", timeLeft(Request.m_deadline)}});
}

} // namespace tamarackdrum::gateway

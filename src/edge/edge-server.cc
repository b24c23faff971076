#include "tamarackdrum/gateway/edge-server.h"

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
/// Bytes of a client that are received and not parsed yet, at most. Source:
/// several times the largest head that configurations allow.
constexpr std::size_t ClientBufferBytes = 512U << 10U;
constexpr Millis AcceptPause{20};
/// Retry-After where a server has refused or could not be reached: others have
/// room within the time of a request.
constexpr Millis ServerRetryAfter{200};
/// Retry-After of a host that stops: another host takes the request at once.
constexpr Millis StoppingRetryAfter{50};
/// Least time that is worth another dispatch.
constexpr Millis LeastTime{20};
/// The server ends work by itself at the deadline that it is told; this host
/// waits that much longer for its answer.
constexpr Millis TimeoutGrace{60};

Millis left(TimePoint Until) {
  return std::chrono::duration_cast<Millis>(Until - BootClock::now());
}

std::optional<std::int64_t> parseNumber(std::string_view Text) {
  std::int64_t Value = 0;
  const std::from_chars_result Parsed =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  if (Parsed.ec != std::errc() || Parsed.ptr != Text.data() + Text.size())
    return std::nullopt;
  return Value;
}

/// Returns whether the server has said that it did not run the request.
bool isRefusal(DispatchResult Value) {
  return Value == DispatchResult::Refused || Value == DispatchResult::NotHeld;
}

/// Returns how the client learns where the body of \p Reply ends.
Framing replyFraming(const UpstreamReply &Reply, bool IsToHead) {
  const unsigned Status = Reply.m_head->get().result_int();
  const boost::optional<std::uint64_t> Length = Reply.m_head->content_length();
  if (Reply.m_isTooLong)
    return Length ? Framing{false, *Length} : Framing{true, {}};
  if (IsToHead)
    return Length ? Framing{false, *Length} : Framing{};
  const bool HasNoBody = Status == 204 || Status == 304;
  return HasNoBody ? Framing{} : Framing{false, Reply.m_body.size()};
}

} // namespace

bool mayDispatchAgain(RequestKind Kind, DispatchResult Result, bool WasRun,
                      unsigned Dispatches, unsigned Attempts) {
  if (Result == DispatchResult::Unreachable)
    return !WasRun || Kind == RequestKind::Safe;
  if (Dispatches >= Attempts)
    return false;
  if (isRefusal(Result))
    return !WasRun || Kind == RequestKind::Safe;
  return Kind == RequestKind::Safe &&
         (Result == DispatchResult::Failed || Result == DispatchResult::Broken);
}

using RequestParser = http::request_parser<http::buffer_body>;

struct EdgeServer::Session {
  explicit Session(tcp::socket Socket) : m_stream(std::move(Socket)) {}

  beast::tcp_stream m_stream;
  beast::flat_buffer m_buffer{ClientBufferBytes};
  bool m_isIdle = true;
  bool m_isWatched = false;
  bool m_mustClose = false;
  std::weak_ptr<Exchange> m_current;
};

struct EdgeServer::Exchange {
  std::shared_ptr<RequestParser> m_parser;
  std::string m_body;
  bool m_isBodyWhole = true;
  bool m_isStreaming = false; ///< Part of the body has been taken for good.
  std::shared_ptr<RouteTable> m_table;
  const Route *m_route = nullptr;
  const Service *m_service = nullptr;
  std::string m_id;
  std::optional<Key> m_key;
  TimePoint m_startedAt = BootClock::now();
  TimePoint m_objectiveAt{};
  TimePoint m_endsAt{};
  std::uint64_t m_fingerprint = 0;
  ExchangeControl m_control;
  AdmissionWait m_wait;
  bool m_isClientGone = false;
  bool m_isStopped = false; ///< Refused since this host stops.
  // What has happened so far:
  unsigned m_dispatches = 0;
  unsigned m_unreachable = 0;
  bool m_wasRun = false; ///< A server may have begun to run it.
  bool m_isAnswered = false;
  std::vector<std::string> m_tried;
  std::string m_lastServer;
  Millis m_waited{0};
  DispatchResult m_lastResult = DispatchResult::Unreachable;
  DispatchDecision m_refusal;
  std::string m_places;
  UpstreamReply m_reply; ///< Last answer of a server; m_head may be null.

  const RequestHead &head() const { return m_parser->get(); }
};

Framing EdgeServer::requestFraming(const Exchange &Item) {
  const boost::optional<std::uint64_t> Length = Item.m_parser->content_length();
  if (!Item.m_isBodyWhole)
    return Length ? Framing{false, *Length} : Framing{true, {}};
  const bool HasBody =
      !Item.m_body.empty() || Item.m_parser->chunked() || Length;
  return HasBody ? Framing{false, Item.m_body.size()} : Framing{};
}

EdgeServer::EdgeServer(asio::any_io_executor Executor, EdgePolicy Policy,
                       const GatewaySettings &Settings, Admission &Slots,
                       UpstreamExchange &Upstreams, PoisonRegistry &Poison,
                       EventLog &Log, GatewayMetrics &Metrics, Roster &Hosts,
                       View Context)
    : m_executor(std::move(Executor)), m_policy(Policy), m_settings(Settings),
      m_slots(Slots), m_upstreams(Upstreams), m_poison(Poison), m_log(Log),
      m_metrics(Metrics), m_hosts(Hosts), m_view(std::move(Context)),
      m_acceptor(m_executor) {}

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
      co_await sleepFor(AcceptPause);
      continue;
    }
    boost::system::error_code Ignored; // Only costs latency if it fails.
    Socket.set_option(tcp::no_delay(true), Ignored);
    limitSilence(Socket, m_policy.m_writeTimeout);
    const SessionPtr Client = std::make_shared<Session>(std::move(Socket));
    m_sessions.push_back(Client);
    asio::co_spawn(m_executor, serve(Client), asio::detached);
  }
}

void EdgeServer::closeIdle() {
  boost::system::error_code Ignored; // It is closed in any case.
  m_acceptor.close(Ignored);
  for (const SessionPtr &Client : m_sessions)
    if (Client->m_isIdle)
      Client->m_stream.cancel();
}

void EdgeServer::refuseWaiting() {
  for (const SessionPtr &Client : m_sessions) {
    const std::shared_ptr<Exchange> Item = Client->m_current.lock();
    if (Item == nullptr || Item->m_wait.m_number == 0)
      continue;
    Item->m_isStopped = true;
    m_slots.cancel(Item->m_wait);
  }
}

asio::awaitable<void> EdgeServer::serve(SessionPtr Client) {
  while (!Client->m_mustClose) {
    const std::shared_ptr<Exchange> Item = std::make_shared<Exchange>();
    const bool IsRead = co_await readRequest(Client, Item);
    if (!IsRead)
      break;
    ++m_active;
    Client->m_isIdle = false;
    Client->m_current = Item;
    co_await handle(Client, Item);
    m_heldBytes -= std::min(m_heldBytes, Item->m_body.size());
    Client->m_isIdle = true;
    --m_active;
    if (Item->m_isClientGone || !Item->m_parser->is_done())
      break;
  }
  boost::system::error_code Ignored; // The client may have closed it.
  Client->m_stream.socket().shutdown(tcp::socket::shutdown_send, Ignored);
  if (Client->m_mustClose && !Ignored) {
    // Unread bytes would reset the connection and with it the answer.
    std::string Rest(ReadBytes, '\0');
    Client->m_stream.expires_after(Millis(300));
    while (true) {
      const auto [Error, Count] = co_await Client->m_stream.async_read_some(
          asio::buffer(Rest), UseTuple);
      if (Error)
        break;
    }
  }
  Client->m_stream.close();
  m_sessions.remove(Client);
}

asio::awaitable<bool> EdgeServer::readRequest(SessionPtr Client,
                                              std::shared_ptr<Exchange> Item) {
  Item->m_table = m_view.m_routes();
  const ClientLimits Limits = Item->m_table == nullptr
                                  ? ClientLimits{}
                                  : Item->m_table->configuration().m_limits;
  if (Client->m_buffer.size() == 0) {
    Client->m_stream.expires_after(Limits.m_idleTimeout);
    const auto [Error, Count] = co_await Client->m_stream.async_read_some(
        Client->m_buffer.prepare(ReadBytes), UseTuple);
    if (Error)
      co_return false;
    Client->m_buffer.commit(Count);
    Item->m_table = m_view.m_routes();
  }
  Client->m_isIdle = false;
  Item->m_startedAt = BootClock::now();
  Item->m_parser = std::make_shared<RequestParser>();
  Item->m_parser->header_limit(Limits.m_headerBytes);
  Item->m_parser->body_limit(Limits.m_bodyBytes);
  Client->m_stream.expires_after(Limits.m_headerTimeout);
  const auto [Error, Count] = co_await http::async_read_header(
      Client->m_stream, Client->m_buffer, *Item->m_parser, UseTuple);
  if (!Error)
    co_return true;
  Client->m_mustClose = true;
  if (Error == http::error::end_of_stream || Error == asio::error::eof ||
      Error == asio::error::connection_reset ||
      Error == asio::error::operation_aborted ||
      Error == http::error::partial_message)
    co_return false;
  unsigned Status = 400;
  if (Error == beast::error::timeout)
    Status = 408;
  else if (Error == http::error::header_limit)
    Status = 431;
  else if (Error == http::error::body_limit)
    Status = 413;
  co_await answer(Client, Item, Status, Error.message(), Millis(0));
  co_return false;
}

bool EdgeServer::route(Exchange &Item) const {
  const RequestHead &Head = Item.head();
  if (Item.m_table == nullptr)
    return false;
  Item.m_route = Item.m_table->match(Head[http::field::host], Head.target());
  if (Item.m_route == nullptr)
    return false;
  Item.m_service =
      Item.m_table->findService(Item.m_table->nextService(*Item.m_route));
  return Item.m_service != nullptr;
}

asio::awaitable<bool> EdgeServer::readBody(SessionPtr Client,
                                           std::shared_ptr<Exchange> Item) {
  RequestParser &Parser = *Item->m_parser;
  std::string Piece;
  while (!Parser.is_done() && Item->m_body.size() < m_policy.m_heldBodyBytes) {
    Piece.resize(PieceBytes);
    Parser.get().body().data = Piece.data();
    Parser.get().body().size = Piece.size();
    Client->m_stream.expires_after(std::max(Millis(1), left(Item->m_endsAt)));
    const auto [Error, Count] = co_await http::async_read_some(
        Client->m_stream, Client->m_buffer, Parser, UseTuple);
    const std::size_t Length = Piece.size() - Parser.get().body().size;
    Item->m_body.append(Piece.data(), Length);
    m_heldBytes += Length;
    if (!Error || Error == http::error::need_buffer)
      continue;
    Client->m_mustClose = true;
    if (Error == http::error::body_limit)
      co_await answer(Client, Item, 413, "body too long", Millis(0));
    else if (Error == beast::error::timeout)
      co_await answer(Client, Item, 408, "body not sent in time", Millis(0));
    else if (Error.category() ==
                 http::make_error_code(http::error::bad_chunk).category() &&
             Error != http::error::partial_message)
      co_await answer(Client, Item, 400, Error.message(), Millis(0));
    else
      Item->m_isClientGone = true;
    co_return false;
  }
  Item->m_isBodyWhole = Parser.is_done();
  co_return true;
}

bool EdgeServer::hasStarted() const {
  return m_view.m_routes() != nullptr && m_view.m_hasServers();
}

asio::awaitable<void> EdgeServer::awaitStart() {
  while (!hasStarted() && BootClock::now() - m_createdAt < m_policy.m_startTime)
    co_await sleepFor(m_policy.m_startPoll);
}

asio::awaitable<void> EdgeServer::handle(SessionPtr Client,
                                         std::shared_ptr<Exchange> Item) {
  if (Item->m_table == nullptr || !hasStarted()) {
    co_await awaitStart();
    Item->m_table = m_view.m_routes();
  }
  const RequestHead &Head = Item->head();
  Item->m_id = std::string(Head[m_settings.m_headers.m_requestId]);
  if (!Item->m_parser->keep_alive() || m_isDraining)
    Client->m_mustClose = true;
  const bool IsRouted = route(*Item);
  const std::optional<std::int64_t> Deadline =
      parseNumber(Head[m_settings.m_headers.m_deadlineMs]);
  Millis Wait = m_policy.m_defaultDeadline;
  if (Deadline && *Deadline >= 0)
    Wait = std::min(Wait, Millis(*Deadline));
  if (IsRouted) {
    const Millis Asked = Wait;
    if (Item->m_route->m_timeout.count() > 0)
      Wait = std::min(Wait, Item->m_route->m_timeout);
    // A client that has been refused comes back with less time: its objective
    // counts from its first try.
    Millis &Full = m_fullDeadlines[Item->m_route->m_name];
    Full = std::max(Full, Asked);
    Item->m_objectiveAt =
        Item->m_startedAt + Item->m_route->m_objective - (Full - Asked);
  }
  Item->m_endsAt = Item->m_startedAt + Wait;
  if (Head.count(http::field::expect) > 0 && !Item->m_parser->is_done()) {
    std::string Continue = "HTTP/1.1 100 Continue\r\n\r\n";
    const bool IsSent = co_await write(Client, std::move(Continue));
    if (!IsSent)
      co_return;
  }
  const bool IsRead = co_await readBody(Client, Item);
  if (!IsRead)
    co_return;
  if (m_isRefusing) {
    co_await answer(Client, Item, 503, "stopping", StoppingRetryAfter);
    co_return;
  }
  if (Item->m_table == nullptr) {
    co_await answer(Client, Item, 503, "no configuration", Millis(1000));
    co_return;
  }
  if (!IsRouted) {
    co_await answer(Client, Item, 404, "no route", Millis(0));
    co_return;
  }
  if (m_heldBytes > m_policy.m_bodyMemory) {
    co_await answer(Client, Item, 503, "memory", Millis(500));
    co_return;
  }
  if (Item->m_service->m_isKeyed) {
    const std::optional<std::int64_t> Value =
        parseNumber(Head[m_settings.m_headers.m_key]);
    if (!Value || *Value < 0 || *Value >= static_cast<std::int64_t>(KeyCount)) {
      co_await answer(Client, Item, 400, "no key", Millis(0));
      co_return;
    }
    Item->m_key = static_cast<Key>(*Value);
  }
  Item->m_fingerprint =
      fingerprintOf(Head.method_string(), Head.target(), Item->m_body);
  if (m_poison.isPoisoned(Item->m_fingerprint, bootMillis())) {
    co_await answer(Client, Item, 502, "crashes servers", Millis(0));
    co_return;
  }
  watchClient(Client);
  co_await dispatch(Client, Item);
}

bool EdgeServer::hasLeft(Session &Client) {
  return peek(Client.m_stream.socket().native_handle()) == PeekResult::Closed;
}

void EdgeServer::watchClient(const SessionPtr &Client) {
  if (Client->m_isWatched || Client->m_buffer.size() > 0)
    return;
  Client->m_isWatched = true;
  Client->m_stream.socket().async_wait(
      tcp::socket::wait_read, [this, Client](boost::system::error_code Error) {
        Client->m_isWatched = false;
        const std::shared_ptr<Exchange> Item = Client->m_current.lock();
        if (Error || Item == nullptr || Item->m_isAnswered)
          return;
        if (!hasLeft(*Client))
          return;
        Item->m_isClientGone = true;
        if (Item->m_wait.m_number != 0)
          m_slots.cancel(Item->m_wait);
        else if (Item->m_route->m_kind == RequestKind::Safe)
          Item->m_control.cancel();
      });
}

asio::awaitable<void> EdgeServer::dispatch(SessionPtr Client,
                                           std::shared_ptr<Exchange> Item) {
  bool GoesOn = true;
  while (GoesOn)
    GoesOn = co_await tryOnce(Client, Item);
  if (!Item->m_isAnswered)
    co_await settle(Client, Item);
}

/// One slot and one server. Returns whether to go on with another.
asio::awaitable<bool> EdgeServer::tryOnce(SessionPtr Client,
                                          std::shared_ptr<Exchange> Item) {
  DispatchAsk Ask;
  Ask.m_route = Item->m_route->m_name;
  Ask.m_key = Item->m_key;
  Ask.m_priority = Item->m_route->m_priority;
  Ask.m_isRepeat = Item->m_dispatches > 0;
  Ask.m_objectiveLeft = std::max(Millis(0), left(Item->m_objectiveAt));
  Ask.m_timeLeft = left(Item->m_endsAt);
  Ask.m_tried = Item->m_tried;
  if (Ask.m_timeLeft < LeastTime)
    co_return false;
  const TimePoint AskedAt = BootClock::now();
  const Admitted Taken = co_await m_slots.acquire(Item->m_service->m_name,
                                                  std::move(Ask), Item->m_wait);
  const Millis Waited =
      std::chrono::duration_cast<Millis>(BootClock::now() - AskedAt);
  Item->m_waited += Waited;
  m_metrics.recordWait(Item->m_service->m_name, Waited);
  Item->m_places.append(Item->m_places.empty() ? "" : ",")
      .append(toText(Taken.m_place));
  if (Taken.m_decision.m_server.empty()) {
    Item->m_refusal = Taken.m_decision;
    co_return false;
  }
  // A host with too little processor time learns late that a client has left.
  Item->m_isClientGone = Item->m_isClientGone || hasLeft(*Client);
  const ServerEntry *Server = m_view.m_findServer(Taken.m_decision.m_server);
  if (Item->m_isClientGone || Server == nullptr || Server->m_isDraining) {
    m_slots.finish(Item->m_service->m_name, Taken, DispatchResult::Withdrawn,
                   Millis(0));
    if (Server == nullptr)
      Item->m_tried.push_back(Taken.m_decision.m_server);
    Item->m_refusal.m_reason = RefusalReason::NoServer;
    Item->m_refusal.m_retryAfter = Millis(500);
    co_return !Item->m_isClientGone &&
        ++Item->m_unreachable < m_policy.m_unreachableTries;
  }
  const ServerEntry Chosen = *Server;
  Item->m_lastServer = Chosen.m_id;
  UpstreamRequest Request = makeRequest(Client, Item, Chosen);
  Request.m_onHead = [this, Service = Item->m_service->m_name,
                      Taken](DispatchResult Result, Millis ServiceTime) {
    m_slots.finish(Service, Taken, Result, ServiceTime);
  };
  const std::size_t SentBytes = Request.m_head.size() + Request.m_body.size();
  UpstreamReply Reply =
      co_await m_upstreams.run(std::move(Request), Item->m_control);
  m_metrics.countServerBytes(Item->m_service->m_name,
                             Chosen.m_zone != m_hosts.self().m_zone,
                             SentBytes + Reply.m_body.size());
  m_slots.finish(Item->m_service->m_name, Taken, Reply.m_result, Reply.m_time);
  Item->m_lastResult = Reply.m_result;
  if (Reply.m_isSent)
    ++Item->m_dispatches;
  const bool MayHaveRun = Reply.m_isSent && !isRefusal(Reply.m_result);
  Item->m_wasRun = Item->m_wasRun || MayHaveRun;
  m_metrics.count("dispatches", fmt::format("service=\"{}\",result=\"{}\"",
                                            Item->m_service->m_name,
                                            static_cast<int>(Reply.m_result)));
  if (Reply.m_result == DispatchResult::Broken)
    asio::co_spawn(m_executor, checkCrash(Item->m_fingerprint, Chosen),
                   asio::detached);
  if (Reply.m_result == DispatchResult::Served) {
    m_poison.noteAnswered(Item->m_fingerprint, bootMillis());
    co_await relay(Client, Item, Reply);
    co_return false;
  }
  if (Reply.m_result == DispatchResult::NotHeld && Item->m_key) {
    m_view.m_onNotHeld(Item->m_service->m_name, *Item->m_key);
    co_await sleepFor(m_policy.m_notHeldPause);
  }
  Item->m_tried.push_back(Chosen.m_id);
  if (Reply.m_result == DispatchResult::Failed && !Reply.m_isTooLong)
    Item->m_reply = std::move(Reply);
  else
    Item->m_reply = UpstreamReply{};
  if (Item->m_isClientGone || Item->m_isStreaming)
    co_return false;
  if (Item->m_lastResult == DispatchResult::Unreachable &&
      ++Item->m_unreachable >= m_policy.m_unreachableTries)
    co_return false;
  co_return mayDispatchAgain(Item->m_route->m_kind, Item->m_lastResult,
                             Item->m_wasRun, Item->m_dispatches,
                             Item->m_route->m_attempts);
}

/// Answers a request that no server has served.
asio::awaitable<void> EdgeServer::settle(SessionPtr Client,
                                         std::shared_ptr<Exchange> Item) {
  if (Item->m_isClientGone) {
    account(*Item, 0, "client left");
    co_return;
  }
  if (Item->m_reply.m_head != nullptr) {
    co_await relay(Client, Item, Item->m_reply);
    co_return;
  }
  if (Item->m_wasRun) {
    const bool IsLate = Item->m_lastResult == DispatchResult::TimedOut;
    const unsigned Status = IsLate ? 504 : 502;
    const std::string_view Reason =
        IsLate ? "no answer in time" : "connection broke";
    co_await answer(Client, Item, Status, Reason, Millis(0));
    co_return;
  }
  if (!Item->m_isStopped && Item->m_refusal.m_reason != RefusalReason::None) {
    co_await answer(Client, Item, 503, toText(Item->m_refusal.m_reason),
                    Item->m_refusal.m_retryAfter);
    co_return;
  }
  if (Item->m_isStopped) {
    co_await answer(Client, Item, 503, "stopping", StoppingRetryAfter);
    co_return;
  }
  const bool IsRefused = isRefusal(Item->m_lastResult);
  const std::string_view Reason =
      IsRefused ? "server refused" : "server unreachable";
  co_await answer(Client, Item, 503, Reason, ServerRetryAfter);
}

BodySource EdgeServer::makeSource(SessionPtr Client,
                                  std::shared_ptr<Exchange> Item) const {
  const bool IsChunked = !Item->m_parser->content_length();
  const std::shared_ptr<bool> IsEnded = std::make_shared<bool>(false);
  return [Client, Item, IsChunked,
          IsEnded]() -> asio::awaitable<Result<std::string>> {
    RequestParser &Parser = *Item->m_parser;
    Item->m_isStreaming = true;
    std::string Piece(PieceBytes, '\0');
    std::size_t Length = 0;
    while (!Parser.is_done() && Length == 0) {
      Parser.get().body().data = Piece.data();
      Parser.get().body().size = Piece.size();
      const auto [Error, Count] = co_await http::async_read_some(
          Client->m_stream, Client->m_buffer, Parser, UseTuple);
      Length = Piece.size() - Parser.get().body().size;
      if (Error && Error != http::error::need_buffer)
        co_return HttpErrc::SendFailed;
    }
    Piece.resize(Length);
    if (!IsChunked)
      co_return Piece;
    if (Length > 0)
      co_return makeChunk(Piece);
    if (*IsEnded)
      co_return std::string();
    *IsEnded = true;
    co_return std::string("0\r\n\r\n");
  };
}

UpstreamRequest EdgeServer::makeRequest(SessionPtr Client,
                                        std::shared_ptr<Exchange> Item,
                                        const ServerEntry &Server) const {
  UpstreamRequest Out;
  Out.m_server = Server;
  const Framing Body = requestFraming(*Item);
  Out.m_head = makeRequestHead(Item->head(), Body, m_settings.m_headers, Server,
                               left(Item->m_endsAt));
  Out.m_body = Body.m_isChunked ? makeChunk(Item->m_body) : Item->m_body;
  if (!Item->m_isBodyWhole)
    Out.m_more = makeSource(std::move(Client), Item);
  Out.m_requestId = Item->m_id;
  Out.m_isHead = Item->head().method() == http::verb::head;
  Out.m_isSafe = Item->m_route->m_kind == RequestKind::Safe;
  Out.m_endsAt = Item->m_endsAt + TimeoutGrace;
  // All hosts share the connections of a server; half are left for use.
  const std::size_t Hosts = m_hosts.knownCount();
  Out.m_maxIdle =
      std::max<std::size_t>(1, Item->m_service->m_maxConnections / (2 * Hosts));
  return Out;
}

asio::awaitable<void> EdgeServer::checkCrash(std::uint64_t Fingerprint,
                                             ServerEntry Server) {
  const bool IsDown = co_await m_upstreams.isDown(Server.m_address);
  m_log.writeRequest("server-broke-off",
                     {{"server", Server.m_id},
                      {"address", Server.m_address},
                      {"is_down", IsDown},
                      {"fingerprint", std::to_string(Fingerprint)}});
  if (IsDown)
    m_view.m_onCrash(Fingerprint, Server);
}

asio::awaitable<bool> EdgeServer::write(SessionPtr Client, std::string Bytes) {
  Client->m_stream.expires_after(m_policy.m_writeTimeout);
  const auto [Error, Count] = co_await asio::async_write(
      Client->m_stream, asio::buffer(Bytes), UseTuple);
  co_return !Error;
}

asio::awaitable<void> EdgeServer::relay(SessionPtr Client,
                                        std::shared_ptr<Exchange> Item,
                                        UpstreamReply &Reply) {
  Item->m_isAnswered = true;
  const ReplyHead &Head = Reply.m_head->get();
  unsigned Status = Head.result_int();
  // These promise that the request has not run; the server has not said so.
  if (Reply.m_result == DispatchResult::Failed && Status == 503) {
    co_await answer(Client, Item, 502, "server failed with 503", Millis(0));
    co_return;
  }
  if (m_isDraining)
    Client->m_mustClose = true;
  const Framing Body =
      replyFraming(Reply, Item->head().method() == http::verb::head);
  std::string Out = makeReplyHead(Head, Body, Client->m_mustClose);
  Out.append(Body.m_isChunked ? makeChunk(Reply.m_body) : Reply.m_body);
  bool IsSent = co_await write(Client, std::move(Out));
  while (IsSent && Reply.m_isTooLong) {
    Result<std::string> Piece = co_await m_upstreams.readMore(Reply);
    if (!Piece) {
      // The answer must be seen to be torn: no end of it is sent.
      account(*Item, Status, "torn answer");
      Client->m_mustClose = true;
      Client->m_stream.close();
      co_return;
    }
    const bool IsLast = Piece.value().empty();
    if (IsLast && Body.m_isChunked) {
      std::string End = "0\r\n\r\n";
      IsSent = co_await write(Client, std::move(End));
    }
    if (IsLast)
      break;
    std::string Bytes =
        Body.m_isChunked ? makeChunk(Piece.value()) : Piece.value();
    IsSent = co_await write(Client, std::move(Bytes));
  }
  if (!IsSent)
    Item->m_isClientGone = true;
  account(*Item, Status, "");
}

asio::awaitable<void> EdgeServer::answer(SessionPtr Client,
                                         std::shared_ptr<Exchange> Item,
                                         unsigned Status,
                                         std::string_view Reason,
                                         Millis RetryAfter) {
  Item->m_isAnswered = true;
  if (m_isDraining || !Item->m_parser->is_done())
    Client->m_mustClose = true;
  std::string Out =
      makeAnswer({Status, Reason, RetryAfter, Client->m_mustClose},
                 m_settings.m_headers, Item->m_id);
  const bool IsSent = co_await write(Client, std::move(Out));
  if (!IsSent)
    Item->m_isClientGone = true;
  account(*Item, Status, Reason);
}

void EdgeServer::account(const Exchange &Item, unsigned Status,
                         std::string_view Reason) {
  const Millis Took =
      std::chrono::duration_cast<Millis>(BootClock::now() - Item.m_startedAt);
  const std::string Service =
      Item.m_service == nullptr ? "" : Item.m_service->m_name;
  m_metrics.count("requests",
                  fmt::format("service=\"{}\",status=\"{}\"", Service, Status));
  if (Item.m_service != nullptr)
    m_metrics.recordLatency(Service, Took);
  m_log.writeRequest(
      "request",
      {{"id", Item.m_id},
       {"status", Status},
       {"reason", Reason},
       {"route", Item.m_route == nullptr ? "" : Item.m_route->m_name},
       {"config",
        Item.m_table == nullptr ? 0 : Item.m_table->configuration().m_version},
       {"service", Service},
       {"server", Item.m_lastServer},
       {"places", Item.m_places},
       {"dispatches", Item.m_dispatches},
       {"key", Item.m_key ? static_cast<int>(*Item.m_key) : -1},
       {"wait_ms", Item.m_waited},
       {"took_ms", Took},
       {"left_ms", left(Item.m_endsAt)}});
}

} // namespace tamarackdrum::gateway

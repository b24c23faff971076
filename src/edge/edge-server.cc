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

} // namespace

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
  Item->m_parser->header_limit(Limits.m_maxHeaderBytes);
  Item->m_parser->body_limit(Limits.m_maxBodyBytes);
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

asio::awaitable<bool> EdgeServer::write(SessionPtr Client, std::string Bytes) {
  Client->m_stream.expires_after(m_policy.m_writeTimeout);
  const auto [Error, Count] = co_await asio::async_write(
      Client->m_stream, asio::buffer(Bytes), UseTuple);
  co_return !Error;
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

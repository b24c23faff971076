#include "tamarackdrum/answer-reader.h"
#include "tamarackdrum/error.h"
#include "tamarackdrum/http.h"

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <optional>
#include <unistd.h>

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace tamarackdrum {
namespace {

constexpr unsigned FirstFinalStatus = 200;
constexpr const char *ExchangeHeader = "Tamarack-Exchange";
/// Limit for bytes received and not parsed yet.
constexpr std::size_t BufferBytes = 128UL * 1024;

/// Returns whether \p Reply is final and does not name another exchange.
bool isReplyTo(const std::string &Number, const HttpResponse &Reply) {
  if (Reply.result_int() < FirstFinalStatus)
    return false;
  const auto Found = Reply.find(ExchangeHeader);
  return Found == Reply.end() || Found->value() == Number;
}

} // namespace

namespace detail {

IdleConnection::~IdleConnection() {
  if (m_handle >= 0)
    ::close(m_handle);
}

} // namespace detail

/// Counts the bytes of one reply among those of all replies that are read.
class HttpClient::ReplyBytes {
public:
  explicit ReplyBytes(HttpClient &Client) : m_client(Client) {}
  ReplyBytes(const ReplyBytes &) = delete;
  ReplyBytes &operator=(const ReplyBytes &) = delete;
  ~ReplyBytes() { m_client.m_replyBytes -= m_count; }

  /// Returns whether all replies are within the limit.
  bool set(std::size_t Count) {
    m_client.m_replyBytes += Count - m_count;
    m_count = Count;
    return m_client.m_replyBytes <= m_client.m_limits.m_maxReplyBytesInAll;
  }

private:
  HttpClient &m_client;
  std::size_t m_count = 0;
};

/// The right to one of the peer's connections.
class HttpClient::Lease {
public:
  Lease(HttpClient &Client, const Endpoint &Peer)
      : m_client(Client), m_peer(Peer) {}
  Lease(const Lease &) = delete;
  Lease &operator=(const Lease &) = delete;

  ~Lease() {
    const std::lock_guard<std::mutex> Lock(m_client.m_mutex);
    PeerPool &Pool = m_client.m_pools[m_peer];
    if (m_isTaken)
      --Pool.m_open;
  }

  /// Returns whether a connection may be used; \p Idle gets a pooled one.
  bool take(std::optional<detail::IdleConnection> &Idle) {
    const std::lock_guard<std::mutex> Lock(m_client.m_mutex);
    PeerPool &Pool = m_client.m_pools[m_peer];
    if (Pool.m_open >= m_client.m_limits.m_maxOpenPerPeer)
      return false;
    ++Pool.m_open;
    m_isTaken = true;
    while (!Pool.m_idle.empty() && !Idle) {
      const PeekResult State = Pool.m_idle.back().state();
      if (State == PeekResult::Silent)
        Idle.emplace(std::move(Pool.m_idle.back()));
      Pool.m_idle.pop_back();
      if (State == PeekResult::Bytes)
        stopReuse(Pool);
    }
    return true;
  }

  /// Notes that the peer sent bytes that belong to no request.
  void noteExcess() {
    const std::lock_guard<std::mutex> Lock(m_client.m_mutex);
    stopReuse(m_client.m_pools[m_peer]);
  }

  void giveBack(asio::ip::tcp::socket Socket) {
    boost::system::error_code Error;
    detail::IdleConnection Idle(Socket.release(Error));
    if (Error)
      return;
    const std::lock_guard<std::mutex> Lock(m_client.m_mutex);
    PeerPool &Pool = m_client.m_pools[m_peer];
    if (!Pool.m_sendsExcess &&
        Pool.m_idle.size() < m_client.m_limits.m_maxIdlePerPeer)
      Pool.m_idle.push_back(std::move(Idle));
  }

private:
  static void stopReuse(PeerPool &Pool) {
    Pool.m_sendsExcess = true;
    Pool.m_idle.clear();
  }

  HttpClient &m_client;
  const Endpoint m_peer;
  bool m_isTaken = false;
};

asio::awaitable<Result<HttpResponse>>
HttpClient::send(Endpoint Peer, HttpRequest Request, TimePoint Deadline) {
  Lease Connection(*this, Peer);
  std::optional<detail::IdleConnection> Idle;
  if (!Connection.take(Idle))
    co_return std::error_code(HttpErrc::PoolExhausted);
  const asio::any_io_executor Executor = co_await asio::this_coro::executor;
  beast::tcp_stream Stream(Executor);
  Stream.expires_after(Deadline - BootClock::now());
  beast::error_code Error;
  if (Idle)
    Stream.socket().assign(Peer.protocol(), Idle->release(), Error);
  if (!Stream.socket().is_open()) {
    co_await Stream.async_connect(
        Peer, asio::redirect_error(asio::use_awaitable, Error));
    if (Error)
      co_return std::error_code(Error == beast::error::timeout
                                    ? HttpErrc::ConnectTimedOut
                                    : HttpErrc::ConnectFailed);
    Stream.socket().set_option(asio::ip::tcp::no_delay(true), Error);
  }
  const bool IsHead = Request.method() == http::verb::head;
  const std::string Number = std::to_string(m_exchanges.fetch_add(1));
  Request.set(ExchangeHeader, Number);
  Request.prepare_payload();
  co_await http::async_write(Stream, Request,
                             asio::redirect_error(asio::use_awaitable, Error));
  if (Error)
    co_return std::error_code(HttpErrc::SendFailed);
  beast::flat_buffer Buffer(BufferBytes);
  http::response_parser<http::string_body> Parser;
  Parser.body_limit(m_limits.m_maxReplyBytes);
  Parser.skip(IsHead);
  // The timer of the stream ends only a read that waits, so that the deadline
  // is checked between reads as well.
  Parser.eager(false);
  ReplyBytes Read(*this);
  while (!Error && !Parser.is_done()) {
    if (BootClock::now() >= Deadline)
      co_return std::error_code(HttpErrc::TimedOut);
    Error = co_await readSome(Stream, Buffer, Parser);
    if (!Read.set(Parser.get().body().size()))
      co_return std::error_code(HttpErrc::ReplyTorn);
  }
  if (Error == beast::error::timeout)
    co_return std::error_code(HttpErrc::TimedOut);
  if (Buffer.size() > 0)
    Connection.noteExcess();
  if (Error || !isReplyTo(Number, Parser.get()))
    co_return std::error_code(HttpErrc::ReplyTorn);
  HttpResponse Response = Parser.release();
  if (Response.keep_alive() && Buffer.size() == 0) {
    Stream.expires_never();
    Connection.giveBack(Stream.release_socket());
  }
  co_return Response;
}

} // namespace tamarackdrum

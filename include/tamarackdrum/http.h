/// \file
/// HTTP/1.1 server and client over Boost.Beast.

#ifndef TAMARACKDRUM_HTTP_H
#define TAMARACKDRUM_HTTP_H

#include "tamarackdrum/endpoint.h"
#include "tamarackdrum/peek.h"

#include <atomic>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <utility>
#include <vector>

namespace tamarackdrum {

using HttpRequest =
    boost::beast::http::request<boost::beast::http::string_body>;
using HttpResponse =
    boost::beast::http::response<boost::beast::http::string_body>;

/// Makes a response with a body and a content type.
HttpResponse makeResponse(unsigned Status, std::string Body,
                          const char *ContentType = "application/json");

/// Bounds that protect a server from its clients.
struct HttpLimits {
  std::size_t m_maxHeaderBytes = 16UL * 1024;
  std::size_t m_maxBodyBytes = 1024UL * 1024;
  /// Time for which a connection without a request is kept, and within which a
  /// request or an answer has to be sent.
  Millis m_idleTimeout{60000};
  std::size_t m_maxConnections = 20000;

  bool operator==(const HttpLimits &) const = default;
};

/// Answers one request. The address is that of the client.
using HttpHandler = std::function<boost::asio::awaitable<HttpResponse>(
    const HttpRequest &Request)>;

/// Counters of an HttpServer.
struct HttpServerCounters {
  std::atomic<std::uint64_t> m_accepted{0};
  std::atomic<std::uint64_t> m_malformed{0};
  std::atomic<std::uint64_t> m_tooLarge{0};
  std::atomic<std::uint64_t> m_overLimit{0};
};

namespace detail {

struct HttpSession;

/// An open connection that belongs to no executor, so that any coroutine can
/// take it over and it may outlive every io_context.
class IdleConnection {
public:
  explicit IdleConnection(int Handle) noexcept : m_handle(Handle) {}
  IdleConnection(IdleConnection &&Other) noexcept
      : m_handle(std::exchange(Other.m_handle, -1)) {}
  IdleConnection &operator=(IdleConnection &&Other) noexcept {
    std::swap(m_handle, Other.m_handle);
    return *this;
  }
  IdleConnection(const IdleConnection &) = delete;
  IdleConnection &operator=(const IdleConnection &) = delete;
  ~IdleConnection();

  /// A silent one can be used again; bytes belong to no request.
  PeekResult state() const noexcept { return peek(m_handle); }

  /// Gives up the file descriptor.
  int release() noexcept { return std::exchange(m_handle, -1); }

private:
  int m_handle;
};

} // namespace detail

/// Accepts connections and answers requests with a handler.
///
/// \code
/// HttpServer Server(Workers, Address, HttpLimits{}, Handler);
/// Server.start();
/// \endcode
class HttpServer {
public:
  /// Binds at once; throws boost::system::system_error if it cannot.
  HttpServer(boost::asio::io_context &Workers, const Endpoint &Address,
             HttpLimits Limits, HttpHandler Handler);
  ~HttpServer();

  void start();

  /// Stops accepting, closes idle connections and lets requests in flight
  /// finish. Returns at once; poll openConnections().
  void stop();

  /// Answers the requests that are still in flight: with \p NotRun those that
  /// are not whole, with \p Unknown those that the handler has. Returns at
  /// once.
  void endAll(const HttpResponse &NotRun, const HttpResponse &Unknown);

  std::size_t openConnections() const;
  Endpoint address() const { return m_address; }
  const HttpServerCounters &counters() const { return m_counters; }

private:
  using SessionPtr = std::shared_ptr<detail::HttpSession>;

  boost::asio::awaitable<void> acceptLoop();
  boost::asio::awaitable<void> serve(SessionPtr Session);
  /// Waits for the first bytes of a request. Returns false if there is none.
  boost::asio::awaitable<bool> awaitRequest(detail::HttpSession &Session);
  boost::asio::awaitable<bool> serveOne(detail::HttpSession &Session);
  boost::asio::awaitable<boost::beast::error_code>
  write(detail::HttpSession &Session, HttpResponse &Response) const;
  /// Sends an answer in place of the handler.
  boost::asio::awaitable<void> sendLast(SessionPtr Session,
                                        HttpResponse Response) const;
  /// Waits until sendLast() has sent its answer.
  static boost::asio::awaitable<void> awaitLast(detail::HttpSession &Session);
  /// Reads and discards what the client still sends: closing a socket with
  /// unread bytes resets the connection, and the client may lose the answer.
  boost::asio::awaitable<void> discardRest(detail::HttpSession &Session) const;
  /// Calls \p Visit for each session on its strand.
  void
  forEachSession(const std::function<void(const SessionPtr &Session)> &Visit);

  boost::asio::io_context &m_workers;
  boost::asio::ip::tcp::acceptor m_acceptor;
  Endpoint m_address;
  const HttpLimits m_limits;
  const HttpHandler m_handler;
  std::atomic<bool> m_stopping{false};
  HttpServerCounters m_counters;
  mutable std::mutex m_mutex;
  std::set<SessionPtr> m_sessions;
};

/// Bounds of an HttpClient.
struct HttpClientLimits {
  std::size_t m_maxIdlePerPeer = 16;
  std::size_t m_maxOpenPerPeer = 64;
  std::size_t m_maxReplyBytes = 8UL * 1024 * 1024;
  /// Limit for the bodies of all replies that are being read.
  std::size_t m_maxReplyBytesInAll = 64UL * 1024 * 1024;

  bool operator==(const HttpClientLimits &) const = default;
};

/// Sends requests over pooled connections. A connection is reused only after
/// a whole reply and only if no further byte has arrived on it. A peer that
/// once sent bytes that belong to no request gets a new connection for each
/// request from then on. Each request carries a `Tamarack-Exchange` number; a
/// reply with another number is no reply to it.
class HttpClient {
public:
  explicit HttpClient(HttpClientLimits Limits) : m_limits(Limits) {}

  /// Sends \p Request and reads the whole reply before \p Deadline. Errors
  /// are of HttpErrc; after ConnectFailed and PoolExhausted nothing was sent.
  boost::asio::awaitable<Result<HttpResponse>>
  send(Endpoint Peer, HttpRequest Request, TimePoint Deadline);

private:
  struct PeerPool {
    std::vector<detail::IdleConnection> m_idle;
    std::size_t m_open = 0;
    bool m_sendsExcess = false; ///< Its connections are not reused.
  };
  class Lease;
  class ReplyBytes;

  const HttpClientLimits m_limits;
  std::mutex m_mutex;
  std::map<Endpoint, PeerPool> m_pools;
  std::atomic<std::uint64_t> m_exchanges{0};
  std::atomic<std::size_t> m_replyBytes{0}; ///< Of unfinished replies.
};

} // namespace tamarackdrum

#endif // TAMARACKDRUM_HTTP_H

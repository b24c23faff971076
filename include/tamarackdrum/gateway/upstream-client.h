/// \file
/// HTTP client for requests to backend servers.

#ifndef TAMARACKDRUM_GATEWAY_UPSTREAM_CLIENT_H
#define TAMARACKDRUM_GATEWAY_UPSTREAM_CLIENT_H

#include "tamarackdrum/gateway/connection.h"
#include "tamarackdrum/gateway/dispatcher.h"
#include "tamarackdrum/gateway/ports.h"

#include <boost/beast/http.hpp>
#include <functional>

namespace tamarackdrum::gateway {

/// Reads the next piece of a request body that is streamed. An empty piece ends
/// the body. Errors: HttpErrc.
using BodySource = std::function<boost::asio::awaitable<Result<std::string>>()>;

/// A request to a backend server.
struct UpstreamRequest {
  ServerEntry m_server;
  std::string m_head;      ///< Request line, headers and the empty line.
  std::string m_body;      ///< Framed as m_head declares.
  BodySource m_bodySource; ///< Rest of the body; null if m_body is whole.
  std::string m_requestId;
  bool m_isHeadRequest = false; ///< HEAD: the answer has no body.
  bool m_isSafe = true;
  TimePoint m_deadline; ///< End of the wait for the answer.
  /// Called when the head of the answer arrives: the server has finished its
  /// work and the slot is free, even if the body takes long to transfer.
  std::function<void(DispatchResult Result, Millis ServiceTime,
                     const AnswerReport &Report)>
      m_onHead;
  /// Limit for idle connections to this server.
  std::size_t m_maxIdleConnections = 1;
};

using ResponseParser =
    boost::beast::http::response_parser<boost::beast::http::buffer_body>;

/// The answer of a backend server, or the reason why there is none.
struct UpstreamReply {
  DispatchResult m_result = DispatchResult::Unreachable;
  bool m_isSent = false; ///< The request may have reached the server.
  /// Connection::m_number of the connection on which it was sent; 0: none of
  /// this process.
  std::uint64_t m_connectionNumber = 0;
  bool m_isRelayed = false;  ///< Sent by a peer.
  bool m_isPeerLost = false; ///< A peer that was to send it has ended.
  bool m_hasMore = false;    ///< m_body is not whole; see readMore().
  Millis m_serviceTime{0};
  bool m_isLeaving = false; ///< The server announced that it leaves.
  Millis m_restTime{0};     ///< Time without requests that the server asks for.
  /// Text of a rate limit that cannot be read; empty if there is none.
  std::string m_unreadableLimit;
  /// Text of a reported load that cannot be read; empty if there is none.
  std::string m_unreadableLoad;
  AnswerReport m_report; ///< What the answer says about its server.
  /// Status and headers; null if none have arrived.
  std::shared_ptr<ResponseParser> m_parser;
  std::string m_body;
  ConnectionPool::ConnectionPtr m_connection; ///< Only if m_hasMore is set.
};

/// Cancels an execute() that is under way.
class CancelToken {
public:
  void cancel() {
    m_isCancelled = true;
    interrupt();
    if (m_onCancel)
      m_onCancel();
  }
  /// Ends a wait for an answer as if the connection had broken.
  void interrupt() {
    if (m_stream != nullptr)
      m_stream->cancel();
  }
  bool isCancelled() const { return m_isCancelled; }

  boost::beast::tcp_stream *m_stream = nullptr;
  std::function<void()> m_onCancel; ///< Set while a peer sends the request.

private:
  bool m_isCancelled = false;
};

/// How a probe of a server has ended.
enum class ProbeResult {
  Answered,    ///< The server has answered, whatever it says of its health.
  Unreachable, ///< No connection.
  Silent,      ///< A connection, and no byte in time.
  BrokenOff    ///< The connection has ended without a byte.
};

/// Sends requests to backend servers over pooled connections.
class UpstreamClient {
public:
  UpstreamClient(ConnectionPool &Pool, HeaderNames Headers)
      : m_pool(Pool), m_headers(std::move(Headers)) {}

  /// Sends the request and reads the answer. The body of a long answer is read
  /// in part; readMore() returns the rest.
  boost::asio::awaitable<UpstreamReply> execute(UpstreamRequest Request,
                                                CancelToken &Token);

  /// Returns the next piece of a long answer; empty at its end. Errors:
  /// HttpErrc::ReplyTorn, HttpErrc::TimedOut.
  boost::asio::awaitable<Result<std::string>> readMore(UpstreamReply &Reply);

  /// Returns whether \p Address refuses or does not answer a new connection,
  /// which means that its server has ended. A connection does not show that its
  /// server is reached; see probe().
  boost::asio::awaitable<bool> isDown(std::string Address);

  /// Sends a health check for \p HealthPath to the server at \p Address. With
  /// an empty path, a connection counts as an answer.
  boost::asio::awaitable<ProbeResult> probe(std::string Address,
                                            std::string HealthPath);

private:
  struct WriteState;

  boost::asio::awaitable<void> writeRequest(std::shared_ptr<WriteState> State);
  /// Ends the writer of a request that was answered before its end, and closes
  /// the connection unless \p IsReadOn: the rest of the answer is read from it.
  static void endWriter(WriteState &State, ConnectionPool::ConnectionPtr &Used,
                        bool IsReadOn);
  boost::asio::awaitable<bool> readHead(Connection &Used,
                                        const UpstreamRequest &Request,
                                        UpstreamReply &Reply);
  boost::asio::awaitable<bool> readBody(Connection &Used, UpstreamReply &Reply);
  /// Records what the head of an answer says about its server, and passes it to
  /// UpstreamRequest::m_onHead.
  void handleHead(const UpstreamRequest &Request, UpstreamReply &Reply) const;
  /// Returns the result that the status and headers of an answer stand for.
  DispatchResult resultOf(const UpstreamReply &Reply) const;
  /// Returns what the head of an answer says about its server.
  AnswerReport reportOf(const UpstreamReply &Reply) const;
  /// Returns what an answer says about the rate limit of its server; nothing if
  /// it says nothing that can be read.
  std::optional<NamedLimit> limitOf(const UpstreamReply &Reply) const;

  ConnectionPool &m_pool;
  const HeaderNames m_headers;
};

} // namespace tamarackdrum::gateway

#endif // TAMARACKDRUM_GATEWAY_UPSTREAM_CLIENT_H

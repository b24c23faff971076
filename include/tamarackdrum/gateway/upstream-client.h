/// \file
/// One request to one backend server.

#ifndef TAMARACKDRUM_GATEWAY_UPSTREAM_CLIENT_H
#define TAMARACKDRUM_GATEWAY_UPSTREAM_CLIENT_H

#include "tamarackdrum/gateway/connection.h"
#include "tamarackdrum/gateway/dispatcher.h"
#include "tamarackdrum/gateway/ports.h"

#include <boost/beast/http.hpp>
#include <functional>

namespace tamarackdrum::gateway {

/// Reads further pieces of a request body that was not whole at the start. An
/// empty piece ends the body; errors are of HttpErrc.
using BodySource = std::function<boost::asio::awaitable<Result<std::string>>()>;

struct UpstreamRequest {
  ServerEntry m_server;
  std::string m_head; ///< Request line and headers with the final empty line.
  std::string m_body; ///< Framed as the head says.
  BodySource m_bodySource; ///< Null if m_body is whole.
  std::string m_requestId;
  bool m_isHeadRequest = false; ///< A HEAD request: the answer has no body.
  bool m_isSafe = true;
  TimePoint m_deadline; ///< No answer is waited for after it.
  /// Called when the server begins to answer: its work is done and its slot is
  /// free, however long the answer is under way.
  std::function<void(DispatchResult Result, Millis ServiceTime)> m_onHead;
  std::size_t m_maxIdleConnections = 1; ///< Connections to keep to this server.
};

using ResponseParser =
    boost::beast::http::response_parser<boost::beast::http::buffer_body>;

struct UpstreamReply {
  DispatchResult m_result = DispatchResult::Unreachable;
  bool m_isSent = false;  ///< The request may have reached the server.
  bool m_hasMore = false; ///< m_body is not whole: read on with readMore().
  Millis m_serviceTime{0};
  bool m_isLeaving = false; ///< The server has said that it leaves.
  Millis m_restTime{0};     ///< It wants nothing from this host for so long.
  std::shared_ptr<ResponseParser>
      m_parser; ///< Status and headers; may be null.
  std::string m_body;
  ConnectionPool::ConnectionPtr m_connection; ///< Only if m_isTooLong.
};

/// Lets a third party end an exchange.
class CancelToken {
public:
  void cancel() {
    m_isCancelled = true;
    if (m_stream != nullptr)
      m_stream->cancel();
  }
  bool isCancelled() const { return m_isCancelled; }

  boost::beast::tcp_stream *m_stream = nullptr;

private:
  bool m_isCancelled = false;
};

class UpstreamClient {
public:
  UpstreamClient(ConnectionPool &Pool, HeaderNames Headers)
      : m_pool(Pool), m_headers(std::move(Headers)) {}

  /// Sends the request and reads the answer, whole if it is short.
  boost::asio::awaitable<UpstreamReply> execute(UpstreamRequest Request,
                                                CancelToken &Control);

  /// Returns the next piece of a long answer; empty at its end. Errors:
  /// HttpErrc::ReplyTorn, HttpErrc::TimedOut.
  boost::asio::awaitable<Result<std::string>> readMore(UpstreamReply &Reply);

  /// Returns whether a new connection to \p Address is refused or not
  /// answered: the server there has ended.
  boost::asio::awaitable<bool> isDown(std::string Address);

private:
  struct WriteState;

  boost::asio::awaitable<void> writeRequest(std::shared_ptr<WriteState> Work);
  boost::asio::awaitable<bool> readHead(Connection &Used,
                                        const UpstreamRequest &Request,
                                        UpstreamReply &Reply);
  boost::asio::awaitable<bool> readBody(Connection &Used, UpstreamReply &Reply);
  /// Returns what the head of a whole answer says.
  DispatchResult resultOf(const UpstreamReply &Reply) const;

  ConnectionPool &m_pool;
  const HeaderNames m_headers;
};

} // namespace tamarackdrum::gateway

#endif // TAMARACKDRUM_GATEWAY_UPSTREAM_CLIENT_H

/// \file
/// A small HTTP server for text answers, such as readiness and metrics.

#ifndef TAMARACKDRUM_GATEWAY_TEXT_SERVER_H
#define TAMARACKDRUM_GATEWAY_TEXT_SERVER_H

#include "tamarackdrum/core.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>

namespace tamarackdrum::gateway {

/// Status and body of an answer.
struct TextResponse {
  unsigned m_status = 200;
  std::string m_body;

  bool operator==(const TextResponse &) const = default;
};

/// Answers HTTP requests by calling a handler.
class TextServer {
public:
  /// Returns the answer to a request for \p Path.
  using Handler = std::function<TextResponse(std::string_view Path)>;

  TextServer(boost::asio::any_io_executor Executor, Handler Callback)
      : m_executor(Executor), m_acceptor(Executor),
        m_handler(std::move(Callback)) {}

  /// Listens at \p Address. Errors: those of parseEndpoint() and of the system.
  std::error_code start(const std::string &Address);

private:
  boost::asio::awaitable<void> acceptLoop();
  boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket Socket);

  boost::asio::any_io_executor m_executor;
  boost::asio::ip::tcp::acceptor m_acceptor;
  const Handler m_handler;
};

} // namespace tamarackdrum::gateway

#endif // TAMARACKDRUM_GATEWAY_TEXT_SERVER_H

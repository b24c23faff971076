/// \file
/// Outgoing HTTP/1.1 connections that are kept between requests.

#ifndef TAMARACKDRUM_GATEWAY_CONNECTION_H
#define TAMARACKDRUM_GATEWAY_CONNECTION_H

#include "tamarackdrum/endpoint.h"

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace tamarackdrum::gateway {

/// Opens a listening socket that a restarted process can open again at once.
/// Errors: those of the system.
std::error_code openAcceptor(boost::asio::ip::tcp::acceptor &Acceptor,
                             const Endpoint &Address);

/// Lets the kernel end a connection whose data is not acknowledged in time:
/// a host that has no power never answers.
void setTcpUserTimeout(boost::asio::ip::tcp::socket &Socket, Millis Time);

/// A connection that carries one request at a time.
struct Connection {
  explicit Connection(boost::asio::any_io_executor Executor)
      : m_stream(std::move(Executor)) {}

  /// Sets the end of all operations from now on.
  void setDeadline(TimePoint End) {
    m_deadline = End;
    m_stream.expires_after(End - BootClock::now());
  }

  /// The timer of the stream ends an operation that waits. A peer that sends
  /// without a pause never lets one wait.
  bool isPastDeadline() const { return BootClock::now() >= m_deadline; }

  /// Bytes that are received and not parsed yet, at most. Source: the largest
  /// head, and a piece of a body.
  static constexpr std::size_t BufferBytes = 128U << 10U;

  boost::beast::tcp_stream m_stream;
  boost::beast::flat_buffer m_buffer{BufferBytes};
  TimePoint m_deadline{};
  TimePoint m_idleSince{};
  Millis m_keepAliveTimeout{0}; ///< How long the peer keeps it when idle.
  bool m_isReused = false;
};

struct PoolPolicy {
  Millis m_connectTimeout{400};
  /// Idle time after which a connection is not used again, unless the peer
  /// names a shorter one. Source: servers close idle connections after 10 s.
  Millis m_maxIdleTime{8000};
  /// Taken off the idle time that a peer names, for the way of a request.
  Millis m_idleMargin{1000};
  /// The kernel gives up on unacknowledged data after this time.
  Millis m_tcpUserTimeout{3000};

  bool operator==(const PoolPolicy &) const = default;
};

/// Kept connections to many peers.
class ConnectionPool {
public:
  using ConnectionPtr = std::unique_ptr<Connection>;

  explicit ConnectionPool(PoolPolicy Policy) : m_policy(Policy) {}

  /// Returns a kept connection of \p Peer that has been idle for at most
  /// \p MaxIdle, or null.
  ConnectionPtr takeIdle(const std::string &Peer, Millis MaxIdle);

  /// Opens a connection. Errors: HttpErrc::ConnectFailed, ConnectTimedOut.
  boost::asio::awaitable<Result<ConnectionPtr>> open(std::string Address,
                                                     Millis Timeout);

  /// Keeps a connection that is between two requests; closes the one that has
  /// been idle longest if \p Peer has \p MaxIdle already.
  void putIdle(const std::string &Peer, ConnectionPtr Kept,
               std::size_t MaxIdle);

  /// Closes the kept connections of all peers but \p Known.
  void retainPeers(const std::vector<std::string> &Known);
  /// Closes connections that have been idle for too long.
  void closeExpired(TimePoint Now);

  std::uint64_t openedCount() const { return m_openedCount; }
  const PoolPolicy &policy() const { return m_policy; }

private:
  Millis idleLimit(const Connection &Item) const;

  const PoolPolicy m_policy;
  std::map<std::string, std::vector<ConnectionPtr>> m_idle;
  std::uint64_t m_openedCount = 0;
};

} // namespace tamarackdrum::gateway

#endif // TAMARACKDRUM_GATEWAY_CONNECTION_H

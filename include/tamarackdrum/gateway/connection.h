/// \file
/// Outgoing HTTP/1.1 connections and their pool.

#ifndef TAMARACKDRUM_GATEWAY_CONNECTION_H
#define TAMARACKDRUM_GATEWAY_CONNECTION_H

#include "tamarackdrum/answer-reader.h"
#include "tamarackdrum/endpoint.h"

#include <algorithm>
#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/string_body.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace tamarackdrum::gateway {

/// Opens a listening socket with SO_REUSEADDR, so that a restarted process can
/// bind it again at once. Errors: those of the system.
std::error_code openAcceptor(boost::asio::ip::tcp::acceptor &Acceptor,
                             const Endpoint &Address);

/// Sets TCP_USER_TIMEOUT: the kernel closes a connection whose data stays
/// unacknowledged for \p Time, e.g. because the peer has lost power.
void setTcpUserTimeout(boost::asio::ip::tcp::socket &Socket, Millis Time);

/// Sets whether closing \p Socket resets the connection, which discards the
/// data that the peer has not received, or delivers that data first.
///
/// Must be set before the first write: a stream whose timer ends closes its
/// socket itself. It bypasses set_option(), because Asio delivers the data when
/// a socket with the option SO_LINGER is destroyed.
void setAbortiveClose(boost::asio::ip::tcp::socket &Socket, bool IsAbortive);

/// State of the writes that run beside the reads of their connection.
struct WriteStatus {
  bool m_isPending = false;
  bool m_isAbandoned = false;        ///< No further write begins.
  boost::system::error_code m_error; ///< Of the last write.
};

/// An HTTP/1.1 connection that carries one request at a time. Closing it during
/// a request resets it, so that no part of a request that is given up can
/// arrive later.
struct Connection {
  explicit Connection(boost::asio::any_io_executor Executor)
      : m_stream(std::move(Executor)) {}

  /// Sets the deadline of all operations from now on.
  void setDeadline(TimePoint End) {
    m_deadline = End;
    m_stream.expires_after(End - BootClock::now());
  }

  /// Must be checked between reads: the timer of the stream ends only an
  /// operation that waits, and none waits if the peer sends continuously.
  bool isPastDeadline() const { return BootClock::now() >= m_deadline; }

  /// Records that \p RequestId was answered here and may be sent again. A
  /// second copy of the answer can arrive at any later time and bears the same
  /// id, so that it would pass for the answer to another attempt.
  void noteRepeatable(const std::string &RequestId) {
    m_repeatableRequests.push_back(std::hash<std::string>()(RequestId));
  }

  /// Returns whether a copy of an earlier answer to \p RequestId may arrive.
  /// Ids with equal hashes are not told apart.
  bool mayRepeatAnswerTo(const std::string &RequestId) const {
    return std::find(m_repeatableRequests.begin(), m_repeatableRequests.end(),
                     std::hash<std::string>()(RequestId)) !=
           m_repeatableRequests.end();
  }

  /// Limit for repeatable requests of a connection: one that has reached it
  /// takes no further request.
  static constexpr std::size_t MaxRepeatableRequests = 512;

  /// Limit for bytes received and not parsed yet: the largest head and a piece
  /// of a body.
  static constexpr std::size_t BufferBytes = 128U << 10U;

  boost::beast::tcp_stream m_stream;
  boost::beast::flat_buffer m_buffer{BufferBytes};
  std::uint64_t m_number = 0; ///< Of those that its pool has opened, from 1.
  TimePoint m_deadline{};
  TimePoint m_openedAt{};
  TimePoint m_idleSince{};
  /// Idle timeout that the peer announced; 0: none.
  Millis m_keepAliveTimeout{0};
  /// Shared with the writer, which may end after the connection.
  std::shared_ptr<WriteStatus> m_writes = std::make_shared<WriteStatus>();
  bool m_isReused = false;
  /// Hashes of the ids that noteRepeatable() was called with.
  std::vector<std::size_t> m_repeatableRequests;
};

using AnswerParser =
    boost::beast::http::response_parser<boost::beast::http::string_body>;

/// Ends the writes of \p From and returns whether one of them got the report of
/// a reset. The system reports a reset once, and reads end as after an orderly
/// close from then on.
boost::asio::awaitable<bool> endWrites(Connection &From);

/// Reads the next part of an answer from \p From; see readSome() above. An
/// answer without a length that a reset ends is an error.
template <typename Body>
boost::asio::awaitable<boost::system::error_code>
readSome(Connection &From, boost::beast::http::response_parser<Body> &Answer) {
  const boost::system::error_code Error =
      co_await tamarackdrum::readSome(From.m_stream, From.m_buffer, Answer);
  if (Error || !Answer.is_done() || !Answer.need_eof())
    co_return Error;
  const bool IsReset = co_await endWrites(From);
  if (IsReset)
    co_return boost::asio::error::connection_reset;
  co_return Error;
}

/// Reads a whole answer into \p Answer, at most until the deadline of \p From,
/// also if the peer sends continuously. Errors: beast::error::timeout, those of
/// the parser and of the system.
boost::asio::awaitable<boost::system::error_code>
readWhole(Connection &From, AnswerParser &Answer);

/// Timeouts of pooled connections.
struct PoolPolicy {
  Millis m_connectTimeout{400};
  /// Idle time after which a connection is not used again, unless the peer
  /// announces a shorter one. Servers close idle connections after 10 s.
  Millis m_maxIdleTime{8000};
  /// Subtracted from the idle timeout that a peer announces, because a request
  /// takes time to arrive.
  Millis m_idleMargin{1000};
  /// Time after which the kernel closes a connection with unacknowledged data.
  Millis m_tcpUserTimeout{3000};

  bool operator==(const PoolPolicy &) const = default;
};

/// Pool of idle connections, by peer.
class ConnectionPool {
public:
  using ConnectionPtr = std::unique_ptr<Connection>;

  /// Returns the address at which this process reaches a server.
  using AddressMap = std::function<std::string(const std::string &Address)>;

  explicit ConnectionPool(PoolPolicy Policy) : m_policy(Policy) {}

  /// Maps the addresses of new connections, e.g. to those of proxies in tests.
  void setAddressMap(AddressMap Map) { m_addressMap = std::move(Map); }

  /// Removes and returns an open connection to \p Peer that has been idle for
  /// at most \p MaxIdle, or returns null. Leaves out connections on which a
  /// copy of an earlier answer to \p RequestId may arrive, and those opened
  /// after \p OpenedBy.
  ConnectionPtr takeIdle(const std::string &Peer, Millis MaxIdle,
                         const std::string &RequestId = {},
                         TimePoint OpenedBy = TimePoint::max());

  /// Opens a connection. Errors: HttpErrc::ConnectFailed,
  /// HttpErrc::ConnectTimedOut.
  boost::asio::awaitable<Result<ConnectionPtr>> open(std::string Address,
                                                     Millis Timeout);

  /// Adds a connection without a request to the pool, unless it has reached
  /// its limit for repeatable requests. Closes the connection of \p Peer that
  /// has been idle longest if there are \p MaxIdle already. It and
  /// all idle connections are closed without a reset: a server may still be
  /// writing or may report a reset as a failure.
  void putIdle(const std::string &Peer, ConnectionPtr Kept,
               std::size_t MaxIdle);

  /// Closes the idle connections of all peers but \p Known.
  void retainPeers(const std::vector<std::string> &Known);
  /// Closes the connections that have exceeded their idle time.
  void closeExpired(TimePoint Now);

  /// Returns how many connections open() has tried to open.
  std::uint64_t openedCount() const { return m_openedCount; }
  const PoolPolicy &policy() const { return m_policy; }

private:
  Millis idleLimit(const Connection &Item) const;

  const PoolPolicy m_policy;
  AddressMap m_addressMap; ///< Null: addresses are used as they are.
  std::map<std::string, std::vector<ConnectionPtr>> m_idle;
  std::uint64_t m_openedCount = 0;
};

} // namespace tamarackdrum::gateway

#endif // TAMARACKDRUM_GATEWAY_CONNECTION_H

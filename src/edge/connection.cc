#include "tamarackdrum/gateway/connection.h"

#include "tamarackdrum/error.h"
#include "tamarackdrum/peek.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace tamarackdrum::gateway {
namespace {

constexpr unsigned FirstFinalStatus = 200;

} // namespace

std::error_code openAcceptor(boost::asio::ip::tcp::acceptor &Acceptor,
                             const Endpoint &Address) {
  boost::system::error_code Error;
  Acceptor.open(Address.protocol(), Error);
  if (!Error)
    Acceptor.set_option(boost::asio::socket_base::reuse_address(true), Error);
  if (!Error)
    Acceptor.bind(Address, Error);
  if (!Error)
    Acceptor.listen(boost::asio::socket_base::max_listen_connections, Error);
  return Error;
}

void setTcpUserTimeout(boost::asio::ip::tcp::socket &Socket, Millis Time) {
  const unsigned Value = static_cast<unsigned>(Time.count());
  ::setsockopt(Socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &Value,
               sizeof(Value));
}

void setAbortiveClose(boost::asio::ip::tcp::socket &Socket, bool IsAbortive) {
  const linger Value{IsAbortive ? 1 : 0, 0};
  ::setsockopt(Socket.native_handle(), SOL_SOCKET, SO_LINGER, &Value,
               sizeof(Value));
}

boost::asio::awaitable<bool> endWrites(Connection &From) {
  const std::shared_ptr<WriteStatus> Writes = From.m_writes;
  Writes->m_isAbandoned = true;
  boost::system::error_code Ignored; // The writes end in any case.
  From.m_stream.socket().cancel(Ignored);
  // The result of a write may be delivered after that of a later read.
  while (Writes->m_isPending)
    co_await boost::asio::post(From.m_stream.get_executor(),
                               boost::asio::use_awaitable);
  const boost::system::error_code &Error = Writes->m_error;
  const bool IsOwn = Error == boost::asio::error::operation_aborted;
  // The peer had ended its side in order before it reset the other.
  const bool IsAfterEnd = Error == boost::asio::error::broken_pipe;
  co_return Error && !IsOwn && !IsAfterEnd;
}

boost::asio::awaitable<boost::system::error_code>
readWhole(Connection &From, AnswerParser &Answer) {
  Answer.eager(false);
  while (!Answer.is_done()) {
    if (From.isPastDeadline())
      co_return boost::beast::error::timeout;
    const boost::system::error_code Error = co_await readSome(From, Answer);
    if (Error)
      co_return Error;
  }
  // The callers ask for no interim answer.
  if (Answer.get().result_int() < FirstFinalStatus)
    co_return boost::beast::http::error::bad_status;
  co_return boost::system::error_code();
}

Millis ConnectionPool::idleLimit(const Connection &Item) const {
  if (Item.m_keepAliveTimeout.count() == 0)
    return m_policy.m_maxIdleTime;
  return std::min(m_policy.m_maxIdleTime,
                  std::max(Item.m_keepAliveTimeout - m_policy.m_idleMargin,
                           Item.m_keepAliveTimeout / 2));
}

ConnectionPool::ConnectionPtr
ConnectionPool::takeIdle(const std::string &Peer, Millis MaxIdle,
                         const std::string &RequestId, TimePoint OpenedBy) {
  const auto Found = m_idle.find(Peer);
  if (Found == m_idle.end())
    return nullptr;
  std::vector<ConnectionPtr> &Idle = Found->second;
  const TimePoint Now = BootClock::now();
  for (auto Item = Idle.end(); Item != Idle.begin();) {
    --Item;
    if (Now - (*Item)->m_idleSince > MaxIdle)
      return nullptr;
    if ((*Item)->mayRepeatAnswerTo(RequestId) || (*Item)->m_openedAt > OpenedBy)
      continue;
    ConnectionPtr Taken = std::move(*Item);
    Item = Idle.erase(Item);
    if (Now - Taken->m_idleSince < idleLimit(*Taken) &&
        peek(Taken->m_stream.socket().native_handle()) == PeekResult::Silent) {
      Taken->m_isReused = true;
      setAbortiveClose(Taken->m_stream.socket(), true);
      return Taken;
    }
  }
  return nullptr;
}

boost::asio::awaitable<Result<ConnectionPool::ConnectionPtr>>
ConnectionPool::open(std::string Address, Millis Timeout) {
  if (m_addressMap)
    Address = m_addressMap(Address);
  const Result<Endpoint> Peer = parseEndpoint(Address);
  if (!Peer)
    co_return HttpErrc::ConnectFailed;
  const boost::asio::any_io_executor Executor =
      co_await boost::asio::this_coro::executor;
  ConnectionPtr Opened = std::make_unique<Connection>(Executor);
  Opened->m_number = ++m_openedCount;
  Opened->m_stream.expires_after(Timeout);
  const auto [Error] = co_await Opened->m_stream.async_connect(
      Peer.value(), boost::asio::as_tuple(boost::asio::use_awaitable));
  if (Error == boost::beast::error::timeout)
    co_return HttpErrc::ConnectTimedOut;
  if (Error)
    co_return HttpErrc::ConnectFailed;
  boost::system::error_code Ignored; // Failure only costs latency.
  Opened->m_stream.socket().set_option(boost::asio::ip::tcp::no_delay(true),
                                       Ignored);
  setTcpUserTimeout(Opened->m_stream.socket(), m_policy.m_tcpUserTimeout);
  setAbortiveClose(Opened->m_stream.socket(), true);
  Opened->m_openedAt = BootClock::now();
  co_return Opened;
}

void ConnectionPool::putIdle(const std::string &Peer, ConnectionPtr Kept,
                             std::size_t MaxIdle) {
  setAbortiveClose(Kept->m_stream.socket(), false);
  if (Kept->m_buffer.size() > 0 || MaxIdle == 0 ||
      Kept->m_repeatableRequests.size() >= Connection::MaxRepeatableRequests)
    return;
  Kept->m_idleSince = BootClock::now();
  std::vector<ConnectionPtr> &Idle = m_idle[Peer];
  if (Idle.size() >= MaxIdle)
    Idle.erase(Idle.begin());
  Idle.push_back(std::move(Kept));
}

void ConnectionPool::retainPeers(const std::vector<std::string> &Known) {
  for (auto Item = m_idle.begin(); Item != m_idle.end();) {
    const bool IsKnown =
        std::find(Known.begin(), Known.end(), Item->first) != Known.end();
    Item = IsKnown ? std::next(Item) : m_idle.erase(Item);
  }
}

void ConnectionPool::closeExpired(TimePoint Now) {
  for (auto &[Peer, Idle] : m_idle)
    Idle.erase(std::remove_if(Idle.begin(), Idle.end(),
                              [&](const ConnectionPtr &Item) {
                                return Now - Item->m_idleSince >
                                       idleLimit(*Item);
                              }),
               Idle.end());
}

} // namespace tamarackdrum::gateway

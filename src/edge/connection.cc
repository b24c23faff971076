#include "tamarackdrum/gateway/connection.h"

#include "tamarackdrum/error.h"
#include "tamarackdrum/peek.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace tamarackdrum::gateway {
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

Millis ConnectionPool::idleLimit(const Connection &Item) const {
  if (Item.m_keepAliveTimeout.count() == 0)
    return m_policy.m_maxIdleTime;
  return std::min(m_policy.m_maxIdleTime,
                  std::max(Item.m_keepAliveTimeout - m_policy.m_idleMargin,
                           Item.m_keepAliveTimeout / 2));
}

ConnectionPool::ConnectionPtr ConnectionPool::takeIdle(const std::string &Peer,
                                                       Millis MaxIdle) {
  const auto Found = m_idle.find(Peer);
  if (Found == m_idle.end())
    return nullptr;
  std::vector<ConnectionPtr> &Idle = Found->second;
  const TimePoint Now = BootClock::now();
  while (!Idle.empty()) {
    if (Now - Idle.back()->m_idleSince > MaxIdle)
      return nullptr;
    ConnectionPtr Taken = std::move(Idle.back());
    Idle.pop_back();
    if (reuse(*Taken, Now))
      return Taken;
  }
  return nullptr;
}

bool ConnectionPool::reuse(Connection &Item, TimePoint Now) const {
  if (Now - Item.m_idleSince >= idleLimit(Item) ||
      peek(Item.m_stream.socket().native_handle()) != PeekResult::Silent)
    return false;
  Item.m_isReused = true;
  setAbortiveClose(Item.m_stream.socket(), true);
  return true;
}

ConnectionPool::ConnectionPtr
ConnectionPool::takeOpenedBy(const std::string &Peer, TimePoint OpenedBy) {
  const auto Found = m_idle.find(Peer);
  if (Found == m_idle.end())
    return nullptr;
  std::vector<ConnectionPtr> &Idle = Found->second; // Idle longest first.
  const TimePoint Now = BootClock::now();
  while (true) {
    auto Best = Idle.end();
    for (auto Item = Idle.begin(); Item != Idle.end(); ++Item) {
      if ((*Item)->m_openedAt > OpenedBy)
        continue;
      const bool IsFirst = Best == Idle.end();
      if (IsFirst || (*Item)->m_openedAt > (*Best)->m_openedAt)
        Best = Item;
      if (IsFirst && Now - (*Item)->m_idleSince > RotationTime)
        break;
    }
    if (Best == Idle.end())
      return nullptr;
    ConnectionPtr Taken = std::move(*Best);
    Idle.erase(Best);
    if (reuse(*Taken, Now))
      return Taken;
  }
}

std::size_t ConnectionPool::idleCount(const std::string &Peer) const {
  const auto Found = m_idle.find(Peer);
  return Found == m_idle.end() ? 0 : Found->second.size();
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
  ++m_openedCount;
  Opened->m_stream.expires_after(Timeout);
  const auto [Error] = co_await Opened->m_stream.async_connect(
      Peer.value(), boost::asio::as_tuple(boost::asio::use_awaitable));
  if (Error == boost::beast::error::timeout)
    co_return HttpErrc::ConnectTimedOut;
  if (Error)
    co_return HttpErrc::ConnectFailed;
  Opened->m_openedAt = BootClock::now();
  boost::system::error_code Ignored; // Failure only costs latency.
  Opened->m_stream.socket().set_option(boost::asio::ip::tcp::no_delay(true),
                                       Ignored);
  setTcpUserTimeout(Opened->m_stream.socket(), m_policy.m_tcpUserTimeout);
  setAbortiveClose(Opened->m_stream.socket(), true);
  co_return Opened;
}

void ConnectionPool::putIdle(const std::string &Peer, ConnectionPtr Kept,
                             std::size_t MaxIdle) {
  setAbortiveClose(Kept->m_stream.socket(), false);
  if (Kept->m_buffer.size() > 0 || MaxIdle == 0)
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

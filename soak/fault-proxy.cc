#include "fault-proxy.h"

#include "tamarackdrum/sleep.h"

#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>
#include <poll.h>
#include <set>

namespace tamarackdrum::soak {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t BufferBytes = 16384;
/// Interval at which held bytes are looked at again.
constexpr Millis HeldPollInterval{2};

void resetSocket(tcp::socket &Socket) {
  // Errors are ignored: the socket is discarded in any case.
  boost::system::error_code Ignored;
  Socket.set_option(asio::socket_base::linger(true, 0), Ignored);
  Socket.close(Ignored);
}

/// Returns whether the peer of \p Socket has reset the connection. Unread bytes
/// before the reset do not hide it.
bool isReset(tcp::socket &Socket) {
  pollfd Wanted{Socket.native_handle(), 0, 0};
  return ::poll(&Wanted, 1, 0) > 0 && (Wanted.revents & POLLERR) != 0;
}

} // namespace

struct FaultProxy::State {
  /// A client's connection and the one to the target.
  struct Connection {
    tcp::socket m_clientSocket;
    tcp::socket m_targetSocket;
    bool m_hasLostBytes = false;
  };

  State(asio::io_context &Context, const Endpoint &Listen,
        const Endpoint &Target)
      : m_context(Context), m_acceptor(Context, Listen), m_target(Target) {}

  asio::io_context &m_context;
  tcp::acceptor m_acceptor;
  Endpoint m_target;
  LinkFault m_fault = LinkFault::None;
  Millis m_delay{0};
  std::set<std::shared_ptr<Connection>> m_connections;

  bool dropsBytes(bool IsToTarget) const {
    return m_fault == LinkFault::Silent ||
           m_fault == (IsToTarget ? LinkFault::DropToTarget
                                  : LinkFault::DropFromTarget);
  }

  static void resetConnection(const std::shared_ptr<State> &Self,
                              const std::shared_ptr<Connection> &Pair) {
    resetSocket(Pair->m_clientSocket);
    resetSocket(Pair->m_targetSocket);
    Self->m_connections.erase(Pair);
  }

  /// Waits until the bytes read from \p From may go on. Returns false if they
  /// are lost, because \p From has been reset or closed meanwhile.
  static asio::awaitable<bool> waitWhileHeld(std::shared_ptr<State> Self,
                                             tcp::socket &From) {
    while (Self->m_fault == LinkFault::Held) {
      co_await sleepFor(HeldPollInterval);
      if (!From.is_open() || isReset(From))
        co_return false;
    }
    co_return true;
  }

  static asio::awaitable<void> forwardBytes(std::shared_ptr<State> Self,
                                            std::shared_ptr<Connection> Pair,
                                            bool IsToTarget) {
    tcp::socket &From =
        IsToTarget ? Pair->m_clientSocket : Pair->m_targetSocket;
    tcp::socket &To = IsToTarget ? Pair->m_targetSocket : Pair->m_clientSocket;
    std::array<char, BufferBytes> Buffer{};
    while (true) {
      const auto [ReadError, Count] =
          co_await From.async_read_some(asio::buffer(Buffer), UseTuple);
      if (Self->m_fault == LinkFault::Delayed)
        co_await sleepFor(Self->m_delay);
      const bool HasArrived = co_await waitWhileHeld(Self, From);
      if (!HasArrived) {
        resetConnection(Self, Pair);
        co_return;
      }
      if (Self->dropsBytes(IsToTarget)) {
        // The end of the stream is dropped like its bytes.
        Pair->m_hasLostBytes = true;
        if (ReadError)
          co_return;
        continue;
      }
      if (ReadError)
        break;
      const auto [WriteError, Written] =
          co_await asio::async_write(To, asio::buffer(Buffer, Count), UseTuple);
      if (WriteError)
        break;
    }
    // Closes one direction: bytes in the other one still arrive.
    boost::system::error_code Ignored;
    To.shutdown(tcp::socket::shutdown_send, Ignored);
    if (!IsToTarget)
      resetConnection(Self, Pair);
  }

  static asio::awaitable<void>
  connectToTarget(std::shared_ptr<State> Self,
                  std::shared_ptr<Connection> Pair) {
    const auto [Error] =
        co_await Pair->m_targetSocket.async_connect(Self->m_target, UseTuple);
    if (Error) {
      resetConnection(Self, Pair);
      co_return;
    }
    asio::co_spawn(Self->m_context, forwardBytes(Self, Pair, true),
                   asio::detached);
    asio::co_spawn(Self->m_context, forwardBytes(Self, Pair, false),
                   asio::detached);
  }

  static asio::awaitable<void> acceptConnections(std::shared_ptr<State> Self) {
    while (true) {
      auto [Error, Socket] = co_await Self->m_acceptor.async_accept(UseTuple);
      if (Error)
        co_return;
      if (Self->m_fault == LinkFault::Refused) {
        resetSocket(Socket);
        continue;
      }
      const auto Pair = std::make_shared<Connection>(
          Connection{std::move(Socket), tcp::socket(Self->m_context)});
      Self->m_connections.insert(Pair);
      asio::co_spawn(Self->m_context, connectToTarget(Self, Pair),
                     asio::detached);
    }
  }
};

FaultProxy::FaultProxy(asio::io_context &Context, const Endpoint &Listen,
                       const Endpoint &Target)
    : m_state(std::make_shared<State>(Context, Listen, Target)) {
  asio::co_spawn(Context, State::acceptConnections(m_state), asio::detached);
}

FaultProxy::~FaultProxy() {
  boost::system::error_code Ignored;
  m_state->m_acceptor.close(Ignored);
  resetConnections();
}

void FaultProxy::setFault(LinkFault Fault, Millis Delay) {
  m_state->m_fault = Fault;
  m_state->m_delay = Delay;
  const std::set<std::shared_ptr<State::Connection>> Open =
      m_state->m_connections;
  for (const std::shared_ptr<State::Connection> &Pair : Open)
    if (Pair->m_hasLostBytes)
      State::resetConnection(m_state, Pair);
}

void FaultProxy::setTarget(const Endpoint &Target) {
  m_state->m_target = Target;
}

void FaultProxy::resetConnections() {
  const std::set<std::shared_ptr<State::Connection>> Open =
      m_state->m_connections;
  for (const std::shared_ptr<State::Connection> &Pair : Open)
    State::resetConnection(m_state, Pair);
}

Endpoint FaultProxy::address() const {
  return m_state->m_acceptor.local_endpoint();
}

} // namespace tamarackdrum::soak

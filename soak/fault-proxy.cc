#include "fault-proxy.h"

#include "tamarackdrum/sleep.h"

#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>
#include <set>

namespace tamarackdrum::soak {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t ChunkBytes = 16384;

void reset(tcp::socket &Socket) {
  // Nobody is left to tell about a socket that can't be closed.
  boost::system::error_code Ignored;
  Socket.set_option(asio::socket_base::linger(true, 0), Ignored);
  Socket.close(Ignored);
}

} // namespace

struct FaultProxy::State {
  /// One forwarded connection.
  struct Pair {
    tcp::socket m_near; ///< To who connected.
    tcp::socket m_far;  ///< To the target.
    bool m_hasLost = false;
  };

  State(asio::io_context &Context, const Endpoint &Listen,
        const Endpoint &Target)
      : m_context(Context), m_acceptor(Context, Listen), m_target(Target) {}

  asio::io_context &m_context;
  tcp::acceptor m_acceptor;
  Endpoint m_target;
  LinkFault m_fault = LinkFault::None;
  Millis m_delay{0};
  std::set<std::shared_ptr<Pair>> m_pairs;

  bool losesBytes(bool IsThere) const {
    return m_fault == LinkFault::Silent ||
           m_fault == (IsThere ? LinkFault::CutThere : LinkFault::CutBack);
  }

  static void drop(const std::shared_ptr<State> &Self,
                   const std::shared_ptr<Pair> &Link) {
    reset(Link->m_near);
    reset(Link->m_far);
    Self->m_pairs.erase(Link);
  }

  static asio::awaitable<void> pump(std::shared_ptr<State> Self,
                                    std::shared_ptr<Pair> Link, bool IsThere) {
    tcp::socket &From = IsThere ? Link->m_near : Link->m_far;
    tcp::socket &To = IsThere ? Link->m_far : Link->m_near;
    std::array<char, ChunkBytes> Buffer{};
    while (true) {
      const auto [ReadError, Count] =
          co_await From.async_read_some(asio::buffer(Buffer), UseTuple);
      if (Self->m_fault == LinkFault::Delayed)
        co_await sleepFor(Self->m_delay);
      if (Self->losesBytes(IsThere)) {
        // The end of the connection is lost as its bytes are.
        Link->m_hasLost = true;
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
    // Bytes that are on their way in the other direction still arrive.
    boost::system::error_code Ignored;
    To.shutdown(tcp::socket::shutdown_send, Ignored);
    if (!IsThere)
      drop(Self, Link);
  }

  static asio::awaitable<void> forward(std::shared_ptr<State> Self,
                                       std::shared_ptr<Pair> Link) {
    const auto [Error] =
        co_await Link->m_far.async_connect(Self->m_target, UseTuple);
    if (Error) {
      drop(Self, Link);
      co_return;
    }
    asio::co_spawn(Self->m_context, pump(Self, Link, true), asio::detached);
    asio::co_spawn(Self->m_context, pump(Self, Link, false), asio::detached);
  }

  static asio::awaitable<void> acceptAll(std::shared_ptr<State> Self) {
    while (true) {
      auto [Error, Socket] = co_await Self->m_acceptor.async_accept(UseTuple);
      if (Error)
        co_return;
      if (Self->m_fault == LinkFault::Refused) {
        reset(Socket);
        continue;
      }
      const auto Link = std::make_shared<Pair>(
          Pair{std::move(Socket), tcp::socket(Self->m_context)});
      Self->m_pairs.insert(Link);
      asio::co_spawn(Self->m_context, forward(Self, Link), asio::detached);
    }
  }
};

FaultProxy::FaultProxy(asio::io_context &Context, const Endpoint &Listen,
                       const Endpoint &Target)
    : m_state(std::make_shared<State>(Context, Listen, Target)) {
  asio::co_spawn(Context, State::acceptAll(m_state), asio::detached);
}

FaultProxy::~FaultProxy() {
  boost::system::error_code Ignored;
  m_state->m_acceptor.close(Ignored);
  resetAll();
}

void FaultProxy::setFault(LinkFault Fault, Millis Delay) {
  m_state->m_fault = Fault;
  m_state->m_delay = Delay;
  const std::set<std::shared_ptr<State::Pair>> Open = m_state->m_pairs;
  for (const std::shared_ptr<State::Pair> &Link : Open)
    if (Link->m_hasLost)
      State::drop(m_state, Link);
}

void FaultProxy::setTarget(const Endpoint &Target) {
  m_state->m_target = Target;
}

void FaultProxy::resetAll() {
  const std::set<std::shared_ptr<State::Pair>> Open = m_state->m_pairs;
  for (const std::shared_ptr<State::Pair> &Link : Open)
    State::drop(m_state, Link);
}

Endpoint FaultProxy::address() const {
  return m_state->m_acceptor.local_endpoint();
}

} // namespace tamarackdrum::soak

/// \file
/// Peers for tests that send bytes without end.

#ifndef TAMARACKDRUM_TEST_GATEWAY_ENDLESS_PEER_H
#define TAMARACKDRUM_TEST_GATEWAY_ENDLESS_PEER_H

#include <array>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

namespace tamarackdrum::gateway {

/// Far more than a connection may hold; ends a test that fails.
inline constexpr std::size_t EndlessBytes = 1U << 30U;
/// More than the buffers of both sockets, less than the memory of one exchange
/// times the exchanges of a host.
inline constexpr std::size_t MaxHeldBytes = 2U << 20U;

/// Sends \p Head and then \p Piece until the connection ends or EndlessBytes
/// are sent. Returns the number of bytes.
inline std::size_t sendEndlessly(boost::asio::ip::tcp::socket &To,
                                 const std::string &Head,
                                 const std::string &Piece) {
  boost::system::error_code Error;
  // The sender's kernel must not take much of what the reader leaves.
  To.set_option(boost::asio::socket_base::send_buffer_size(64 << 10), Error);
  std::size_t Sent = boost::asio::write(To, boost::asio::buffer(Head), Error);
  while (!Error && Sent < EndlessBytes)
    Sent += boost::asio::write(To, boost::asio::buffer(Piece), Error);
  return Sent;
}

/// Accepts connections and answers the first request of each without end, at
/// full speed.
class EndlessServer {
public:
  EndlessServer(std::string Head, std::string Piece, unsigned Connections = 1)
      : m_head(std::move(Head)), m_piece(std::move(Piece)),
        m_acceptor(m_context, {boost::asio::ip::address_v4::loopback(), 0}) {
    for (unsigned I = 0; I < Connections; ++I)
      m_threads.emplace_back([this] { serve(); });
  }
  ~EndlessServer() { join(); }

  boost::asio::ip::tcp::endpoint endpoint() const {
    return m_acceptor.local_endpoint();
  }
  std::string address() const {
    return "127.0.0.1:" + std::to_string(endpoint().port());
  }

  /// Waits until all connections have ended. Returns the bytes sent on them.
  std::size_t sentBytes() {
    join();
    return m_sentBytes;
  }

private:
  void serve() {
    boost::asio::ip::tcp::socket Peer(m_context);
    boost::system::error_code Error;
    m_acceptor.accept(Peer, Error);
    std::array<char, 4096> Request{};
    if (!Error)
      Peer.read_some(boost::asio::buffer(Request), Error);
    if (!Error)
      m_sentBytes += sendEndlessly(Peer, m_head, m_piece);
  }

  void join() {
    for (std::thread &Item : m_threads)
      if (Item.joinable())
        Item.join();
  }

  const std::string m_head;
  const std::string m_piece;
  boost::asio::io_context m_context;
  boost::asio::ip::tcp::acceptor m_acceptor;
  std::atomic<std::size_t> m_sentBytes{0};
  std::vector<std::thread> m_threads;
};

/// Chunks of one byte, each after a line of \p LineBytes: the reader gets much
/// and keeps little.
inline std::string longChunkLine(std::size_t LineBytes = 16U << 10U) {
  std::string Out("1;");
  Out.append(LineBytes, 'x');
  Out.append("\r\nx\r\n");
  return Out;
}

/// Uses the thread of \p Context until \p End, with short pauses for its other
/// handlers. A reader on that thread finds bytes whenever it reads, so that the
/// timer of its stream does not end the read.
inline void keepBusy(boost::asio::io_context &Context,
                     std::chrono::steady_clock::time_point End) {
  boost::asio::post(Context, [&Context, End] {
    const auto Start = std::chrono::steady_clock::now();
    while (std::chrono::steady_clock::now() - Start <
           std::chrono::milliseconds(1))
      continue;
    if (Start < End)
      keepBusy(Context, End);
  });
}

/// Longer than a read with a deadline of 0.1 s may take on a slow machine.
inline constexpr std::chrono::seconds BusyTime{3};

} // namespace tamarackdrum::gateway

#endif // TAMARACKDRUM_TEST_GATEWAY_ENDLESS_PEER_H

/// \file
/// Server for tests that reads a request only after its sender has given it up.

#ifndef TAMARACKDRUM_TEST_GATEWAY_LATE_READER_H
#define TAMARACKDRUM_TEST_GATEWAY_LATE_READER_H

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <string>

namespace tamarackdrum::gateway {

/// Accepts one connection. Its receive buffer is small, so that the rest of a
/// long request stays in the kernel of the sender.
class LateReader {
public:
  /// Fits into the send buffer of a socket, but not into the receive buffer.
  static constexpr std::size_t LongBytes = 200U << 10U;

  LateReader() : m_acceptor(m_context), m_socket(m_context) {
    m_acceptor.open(boost::asio::ip::tcp::v4());
    m_acceptor.set_option(boost::asio::socket_base::receive_buffer_size(2048));
    m_acceptor.bind({boost::asio::ip::address_v4::loopback(), 0});
    m_acceptor.listen();
  }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
  }

  void accept() { m_acceptor.accept(m_socket); }
  void send(const std::string &Text) {
    boost::asio::write(m_socket, boost::asio::buffer(Text));
  }

  /// Reads up to the end of the connection. Sets m_text and returns how the
  /// connection ended.
  boost::system::error_code readToEnd() {
    boost::system::error_code Error;
    boost::asio::read(m_socket, boost::asio::dynamic_buffer(m_text), Error);
    return Error;
  }

  std::string m_text;

private:
  boost::asio::io_context m_context;
  boost::asio::ip::tcp::acceptor m_acceptor;
  boost::asio::ip::tcp::socket m_socket;
};

} // namespace tamarackdrum::gateway

#endif // TAMARACKDRUM_TEST_GATEWAY_LATE_READER_H

/// \file
/// Server for tests that answers one request with raw bytes.

#ifndef TAMARACKDRUM_TEST_GATEWAY_ONE_ANSWER_H
#define TAMARACKDRUM_TEST_GATEWAY_ONE_ANSWER_H

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <string>
#include <thread>

namespace tamarackdrum::gateway {

/// Answers one request with a text and closes the connection.
class OneAnswer {
public:
  explicit OneAnswer(std::string Text)
      : m_text(std::move(Text)),
        m_acceptor(m_context, {boost::asio::ip::address_v4::loopback(), 0}),
        m_thread([this] { serve(); }) {}
  ~OneAnswer() { m_thread.join(); }

  boost::asio::ip::tcp::endpoint endpoint() const {
    return m_acceptor.local_endpoint();
  }
  std::string address() const {
    return "127.0.0.1:" + std::to_string(endpoint().port());
  }

  const std::string &request() const { return m_request; }

private:
  void serve() {
    boost::asio::ip::tcp::socket Peer(m_context);
    boost::system::error_code Error;
    m_acceptor.accept(Peer, Error);
    boost::asio::read_until(Peer, boost::asio::dynamic_buffer(m_request),
                            "\r\n\r\n", Error);
    boost::asio::write(Peer, boost::asio::buffer(m_text), Error);
    // A close with unread bytes is a reset, which may drop the answer.
    while (!Error && Peer.available(Error) > 0)
      Peer.read_some(boost::asio::buffer(m_rest), Error);
  }

  const std::string m_text;
  std::string m_request;
  std::array<char, 4096> m_rest{};
  boost::asio::io_context m_context;
  boost::asio::ip::tcp::acceptor m_acceptor;
  std::thread m_thread;
};

} // namespace tamarackdrum::gateway

#endif // TAMARACKDRUM_TEST_GATEWAY_ONE_ANSWER_H

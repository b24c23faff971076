/// \file
/// A back-end server whose answers are scripted byte by byte.

#ifndef TAMARACKDRUM_FAKE_SERVER_H
#define TAMARACKDRUM_FAKE_SERVER_H

#include "process-group.h"

namespace tamarackdrum::test {

/// One connection to a FakeServer, as its script sees it.
class FakeConnection {
public:
  explicit FakeConnection(boost::asio::ip::tcp::socket Socket)
      : m_socket(std::move(Socket)) {}

  std::optional<HttpRequest> read() {
    HttpRequest Request;
    boost::system::error_code Error;
    boost::beast::http::read(m_socket, m_buffer, Request, Error);
    if (Error)
      return std::nullopt;
    return Request;
  }

  void write(const std::string &Text) {
    boost::system::error_code Ignored;
    boost::asio::write(m_socket, boost::asio::buffer(Text), Ignored);
  }

  /// Interrupts a blocking read or write of another thread.
  void shutDown() {
    boost::system::error_code Ignored;
    m_socket.shutdown(boost::asio::ip::tcp::socket::shutdown_both, Ignored);
  }

private:
  boost::asio::ip::tcp::socket m_socket;
  boost::beast::flat_buffer m_buffer;
};

/// Returns the bytes of an answer with the given body.
inline std::string answerText(const std::string &Body,
                              const std::string &Headers = {},
                              const std::string &Status = "200 OK") {
  return "HTTP/1.1 " + Status +
         "\r\nContent-Length: " + std::to_string(Body.size()) + "\r\n" +
         Headers + "\r\n" + Body;
}

/// Runs a script on a thread for each connection.
class FakeServer {
public:
  using Script = std::function<void(FakeConnection &Connection)>;

  explicit FakeServer(Script Run)
      : m_run(std::move(Run)),
        m_acceptor(m_context,
                   {boost::asio::ip::address_v4::loopback(), freePort()}),
        m_thread([this] { acceptAll(); }) {}

  ~FakeServer() {
    m_stopping = true;
    // A blocked accept ends only with a connection.
    boost::asio::ip::tcp::socket Wake(m_context);
    boost::system::error_code Ignored;
    Wake.connect(m_acceptor.local_endpoint(), Ignored);
    m_thread.join();
    for (const std::shared_ptr<FakeConnection> &One : m_connections)
      One->shutDown();
    for (std::thread &One : m_threads)
      One.join();
  }
  FakeServer(const FakeServer &) = delete;
  FakeServer &operator=(const FakeServer &) = delete;

  std::string address() const {
    return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
  }
  int accepted() const { return m_accepted; }

private:
  void acceptAll() {
    for (;;) {
      boost::system::error_code Error;
      boost::asio::ip::tcp::socket Socket = m_acceptor.accept(Error);
      if (Error || m_stopping)
        return;
      ++m_accepted;
      const std::shared_ptr<FakeConnection> One =
          std::make_shared<FakeConnection>(std::move(Socket));
      m_connections.push_back(One);
      m_threads.emplace_back([this, One] {
        m_run(*One);
        One->shutDown();
      });
    }
  }

  const Script m_run;
  boost::asio::io_context m_context;
  boost::asio::ip::tcp::acceptor m_acceptor;
  std::atomic<bool> m_stopping{false};
  std::atomic<int> m_accepted{0};
  std::vector<std::shared_ptr<FakeConnection>> m_connections;
  std::vector<std::thread> m_threads;
  std::thread m_thread;
};

} // namespace tamarackdrum::test

#endif // TAMARACKDRUM_FAKE_SERVER_H

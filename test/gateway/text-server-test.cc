#include "tamarackdrum/gateway/text-server.h"

#include "endless-peer.h"

#include <gtest/gtest.h>

#include <boost/asio/read.hpp>

namespace tamarackdrum::gateway {
namespace {

namespace asio = boost::asio;

asio::ip::tcp::endpoint freeAddress(asio::io_context &Context) {
  return asio::ip::tcp::acceptor(Context, {asio::ip::address_v4::loopback(), 0})
      .local_endpoint();
}

// A chunk line has no end before its line break, and the parser reads it whole.
TEST(TextServerTest, Request_EndlessChunkLine_ConnectionIsClosed) {
  asio::io_context Context;
  const asio::ip::tcp::endpoint Address = freeAddress(Context);
  TextServer Subject(Context.get_executor(),
                     [](std::string_view) { return TextResponse{}; });
  ASSERT_FALSE(Subject.start("127.0.0.1:" + std::to_string(Address.port())));
  std::size_t Sent = 0;
  std::thread Client([&] {
    asio::io_context Own;
    asio::ip::tcp::socket Socket(Own);
    Socket.connect(Address);
    Sent = sendEndlessly(Socket,
                         "GET /metrics HTTP/1.1\r\nHost: a\r\n"
                         "Transfer-Encoding: chunked\r\n\r\n1;",
                         std::string(16384, 'x'));
    asio::post(Context, [&Context] { Context.stop(); });
  });
  Context.run();
  Client.join();
  EXPECT_LT(Sent, MaxHeldBytes);
}

// A client reads a body after the answer to HEAD as its next answer.
TEST(TextServerTest, Request_Head_AnswerHasNoBody) {
  asio::io_context Context;
  const asio::ip::tcp::endpoint Address = freeAddress(Context);
  TextServer Subject(Context.get_executor(), [](std::string_view) {
    return TextResponse{200, "up"};
  });
  ASSERT_FALSE(Subject.start("127.0.0.1:" + std::to_string(Address.port())));
  std::string Got;
  std::thread Client([&] {
    asio::io_context Own;
    asio::ip::tcp::socket Socket(Own);
    Socket.connect(Address);
    const std::string Request = "HEAD /ready HTTP/1.1\r\nHost: a\r\n"
                                "Connection: close\r\n\r\n";
    asio::write(Socket, asio::buffer(Request));
    boost::system::error_code Error;
    asio::read(Socket, asio::dynamic_buffer(Got), Error);
    asio::post(Context, [&Context] { Context.stop(); });
  });
  Context.run();
  Client.join();
  EXPECT_NE(Got.find("Content-Length: 2\r\n"), std::string::npos);
  EXPECT_TRUE(Got.ends_with("\r\n\r\n"));
}

} // namespace
} // namespace tamarackdrum::gateway

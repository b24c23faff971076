#include "tamarackdrum/gateway/text-server.h"

#include "endless-peer.h"

#include <gtest/gtest.h>

namespace tamarackdrum::gateway {
namespace {

namespace asio = boost::asio;

// A chunk line has no end before its line break, and the parser reads it whole.
TEST(TextServerTest, Request_EndlessChunkLine_ConnectionIsClosed) {
  asio::io_context Context;
  const asio::ip::tcp::endpoint Address = [&Context] {
    return asio::ip::tcp::acceptor(Context,
                                   {asio::ip::address_v4::loopback(), 0})
        .local_endpoint();
  }();
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

} // namespace
} // namespace tamarackdrum::gateway

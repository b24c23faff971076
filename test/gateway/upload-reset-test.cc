#include "gateway-host-fixture.h"

#include <boost/asio/read_until.hpp>

namespace tamarackdrum::gateway {
namespace {

using namespace test;
using asio::ip::tcp;

enum class Framing { Length, Chunks, UntilEnd };
enum class End {
  Reset,         ///< Without a close.
  Close,         ///< Reads on meanwhile.
  CloseThenReset ///< Does not read on.
};

/// What a server does with a request.
struct Behavior {
  Framing m_framing = Framing::UntilEnd;
  std::size_t m_sentBytes = 5;     ///< Of the body of its answer.
  std::size_t m_missingBytes = 10; ///< Of that body, with Framing::Length.
  std::size_t m_readBytes = 0;     ///< Of the request, before it answers.
  Millis m_pause{0};               ///< Between its answer and the end.
  End m_end = End::Reset;
};

std::ostream &operator<<(std::ostream &Out, const Behavior &Value) {
  return Out << "framing " << static_cast<int>(Value.m_framing) << ", sent "
             << Value.m_sentBytes << ", read " << Value.m_readBytes
             << ", pause " << Value.m_pause.count();
}

std::string bodyOf(const Behavior &Value) {
  return std::string(Value.m_sentBytes, 'y');
}

std::string answerOf(const Behavior &Value) {
  std::string Out("HTTP/1.1 200 OK\r\nTest-Id: id-1\r\nTest-Signature: s\r\n");
  if (Value.m_framing == Framing::Chunks)
    return Out + "Transfer-Encoding: chunked\r\n\r\n" +
           (Value.m_sentBytes > 0 ? makeChunk(bodyOf(Value)) : "");
  if (Value.m_framing == Framing::Length)
    Out += "Content-Length: " +
           std::to_string(Value.m_sentBytes + Value.m_missingBytes) + "\r\n";
  return Out + "\r\n" + bodyOf(Value);
}

/// Servers that answer a request before they have read its body, and then end
/// the connection.
class UploadResetTest : public GatewayHostTest,
                        public testing::WithParamInterface<std::size_t> {
protected:
  static constexpr std::size_t PieceBytes = 64U << 10U;
  /// Keeps the rest of an upload in the sender's kernel.
  static constexpr int ReceiveBufferBytes = 2048;

  UploadResetTest() {
    m_acceptor.open(tcp::v4());
    m_acceptor.set_option(
        asio::socket_base::receive_buffer_size(ReceiveBufferBytes));
    m_acceptor.bind({asio::ip::address_v4::loopback(), 0});
    m_acceptor.listen();
    for (ServerRow &Row : m_store.m_servers)
      if (Row.m_entry.m_service == "web")
        Row.m_entry.m_address =
            "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
    asio::co_spawn(m_context, acceptLoop(), asio::detached);
  }

  asio::awaitable<void> acceptLoop() {
    while (true) {
      auto [Error, Socket] = co_await m_acceptor.async_accept(UseTuple);
      if (Error)
        co_return;
      asio::co_spawn(m_context, serve(std::move(Socket)), asio::detached);
    }
  }

  asio::awaitable<void> serve(tcp::socket Socket) const {
    const Behavior Now = m_behavior;
    std::string Request;
    co_await asio::async_read_until(Socket, asio::dynamic_buffer(Request),
                                    "\r\n\r\n", UseTuple);
    std::string Rest(PieceBytes, '\0');
    for (std::size_t Read = 0; Read < Now.m_readBytes;) {
      const auto [Error, Count] =
          co_await Socket.async_read_some(asio::buffer(Rest), UseTuple);
      if (Error)
        break;
      Read += Count;
    }
    const std::string Text = answerOf(Now);
    co_await asio::async_write(Socket, asio::buffer(Text), UseTuple);
    co_await sleepFor(Now.m_pause);
    boost::system::error_code Error;
    if (Now.m_end != End::Reset)
      Socket.shutdown(tcp::socket::shutdown_send, Error);
    while (Now.m_end == End::Close && !Error) {
      const auto [ReadError, Count] =
          co_await Socket.async_read_some(asio::buffer(Rest), UseTuple);
      Error = ReadError;
    }
    setAbortiveClose(Socket, true);
  }

  static asio::awaitable<void>
  writeUpload(std::shared_ptr<boost::beast::tcp_stream> To, std::string Head,
              std::size_t BodyBytes) {
    co_await asio::async_write(*To, asio::buffer(Head), UseTuple);
    const std::string Piece(PieceBytes, 'x');
    for (std::size_t Left = BodyBytes; Left > 0;) {
      const auto [Error, Count] =
          co_await asio::async_write(*To, asio::buffer(Piece, Left), UseTuple);
      if (Error)
        co_return;
      Left -= Count;
    }
  }

  asio::awaitable<void> upload(std::string Path, Answer &Out, bool &IsDone) {
    const auto Stream = std::make_shared<boost::beast::tcp_stream>(m_context);
    co_await Stream->async_connect(m_addresses[0], UseTuple);
    std::string Head = post(Path, "");
    Head.replace(Head.find("Content-Length: 0"), 17,
                 "Content-Length: " + std::to_string(GetParam()));
    asio::co_spawn(m_context, writeUpload(Stream, std::move(Head), GetParam()),
                   asio::detached);
    boost::beast::flat_buffer Buffer;
    http::response_parser<http::string_body> Parser;
    Parser.body_limit(boost::none);
    const auto [Error, Count] =
        co_await http::async_read(*Stream, Buffer, Parser, UseTuple);
    Out.m_isWhole = !Error;
    Out.m_head = Parser.release();
    Out.m_status = Out.m_head.result_int();
    Stream->close();
    IsDone = true;
  }

  /// Uploads a body of GetParam() bytes, whatever arrives meanwhile, and
  /// returns the answer.
  Answer uploadTo(const std::string &Path, const Behavior &Value) {
    m_behavior = Value;
    Answer Out;
    bool IsDone = false;
    asio::co_spawn(m_context, upload(Path, Out, IsDone), asio::detached);
    EXPECT_TRUE(runUntil([&IsDone] { return IsDone; }));
    return Out;
  }

  /// Expects that the client can tell that the answer is not whole.
  void expectBrokenOff(const Behavior &Value) {
    const Answer Got = uploadTo("/pay/", Value);
    EXPECT_FALSE(Got.m_isWhole && Got.m_status == 200U) << Value;
    if (Value.m_sentBytes < LongBytes) {
      EXPECT_TRUE(Got.m_isWhole) << Value;
      EXPECT_EQ(Got.m_status, 502U) << Value;
    }
  }

  void expectWhole(const Behavior &Value) {
    const Answer Got = uploadTo("/pay/", Value);
    EXPECT_TRUE(Got.m_isWhole) << Value;
    EXPECT_EQ(Got.m_status, 200U) << Value;
    EXPECT_TRUE(Got.m_head.body() == bodyOf(Value)) << Value;
  }

  /// Longer answers are forwarded before they are whole.
  static constexpr std::size_t LongBytes = 128U << 10U;

  tcp::acceptor m_acceptor{m_context};
  Behavior m_behavior;
};

// The kernel reports a reset once. If a write gets the report, the next read
// ends as after an orderly close.
TEST_P(UploadResetTest, Answer_ResetOnTheWay_IsNotWhole) {
  startAll();
  Behavior Value;
  for (const Framing Kind :
       {Framing::UntilEnd, Framing::Length, Framing::Chunks})
    for (const std::size_t Sent : {0U, 5U, 100000U, 200000U, 1000000U})
      for (const Millis Pause : {Millis(0), Millis(30)}) {
        Value.m_framing = Kind;
        Value.m_sentBytes = Sent;
        Value.m_pause = Pause;
        expectBrokenOff(Value);
      }
}

TEST_P(UploadResetTest, Answer_ResetAfterPartOfTheUpload_IsNotWhole) {
  startAll();
  Behavior Value;
  Value.m_readBytes = GetParam() / 2;
  for (const std::size_t Sent : {5U, 200000U})
    for (const Millis Pause : {Millis(0), Millis(30)}) {
      Value.m_sentBytes = Sent;
      Value.m_pause = Pause;
      expectBrokenOff(Value);
    }
}

TEST_P(UploadResetTest, Answer_EndsInOrder_ReachesTheClient) {
  startAll();
  Behavior Value;
  Value.m_end = End::Close;
  for (const std::size_t Sent : {0U, 5U, 100000U, 200000U, 1000000U})
    for (const Millis Pause : {Millis(0), Millis(30)}) {
      Value.m_sentBytes = Sent;
      Value.m_pause = Pause;
      expectWhole(Value);
    }
}

TEST_P(UploadResetTest, Answer_ResetAfterItsEnd_ReachesTheClient) {
  startAll();
  Behavior Value;
  Value.m_end = End::CloseThenReset;
  // A reset drops what the kernel of the server has not sent.
  for (const std::size_t Sent : {0U, 5U, 1000U}) {
    Value.m_sentBytes = Sent;
    for (const Millis Pause : {Millis(0), Millis(30)}) {
      Value.m_pause = Pause;
      expectWhole(Value);
    }
  }
}

INSTANTIATE_TEST_SUITE_P(UploadBytes, UploadResetTest,
                         testing::Values(1000, 20000, 200000, 300000, 1000000,
                                         8000000));

} // namespace
} // namespace tamarackdrum::gateway

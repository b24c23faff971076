// Fields behind the body of an answer in chunks. They are none of the head:
// whoever reads them there acts on what was not known when the answer began.

#include "gateway-host-fixture.h"

namespace tamarackdrum::gateway {
namespace {

using namespace test;

class TrailerTest : public GatewayHostTest {
protected:
  /// The web servers answer with \p Status in chunks and with \p Trailer, each
  /// line with its end.
  void answerInChunks(const std::string &Status, const std::string &Trailer) {
    setWeb([=](ScriptedServer::Stream &To,
               const ReceivedRequest &Seen) -> asio::awaitable<bool> {
      std::string Text("HTTP/1.1 ");
      Text += Status + "\r\nTest-Signature: s\r\nTest-Id: " + Seen.m_id +
              "\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n" +
              Trailer + "\r\n";
      co_return co_await ScriptedServer::send(To, std::move(Text));
    });
  }
};

// Guards against TWICE: the answer was reported as a failure when its head
// came, and the order sent again when its end said "not run".
TEST_F(TrailerTest, UnsafeRequest_MarkIsInTheTrailer_IsNotSentAgain) {
  for (const char *Status : {"408 Late", "429 Many", "503 Failed"}) {
    const std::size_t Before = webRequests();
    answerInChunks(Status, "Test-Not-Run: 1\r\n");
    if (m_hosts.empty())
      startAll();
    EXPECT_EQ(send(post("/pay/", "card")).m_status, 502U) << Status;
    EXPECT_EQ(webRequests(), Before + 1) << Status;
  }
}

TEST_F(TrailerTest, Answer_HasATrailer_HeadAndBodyArePassedOn) {
  answerInChunks("200 OK", "Test-Signature: t\r\nTest-More: 1\r\n");
  startAll();
  for (int I = 0; I < 2; ++I) {
    const Answer Got = send(get("/web/"));
    EXPECT_EQ(Got.m_status, 200U);
    EXPECT_EQ(Got.m_body, "body");
    EXPECT_EQ(Got.m_head["Test-Signature"], "s");
    EXPECT_EQ(Got.m_head.count("Test-Signature"), 1U);
    EXPECT_EQ(Got.m_head.count("Test-More"), 0U);
  }
}

} // namespace
} // namespace tamarackdrum::gateway

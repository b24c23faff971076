#include "gateway-host-fixture.h"

namespace tamarackdrum::gateway {
namespace {

using namespace test;

/// Servers whose answers have a head that HTTP does not allow. Such bytes are
/// no answer: the client gets none of them.
class BrokenHeadTest : public GatewayHostTest {
protected:
  static constexpr const char *StatusOk = "200 OK";

  /// Returns an answer with \p Lines in front of the usual fields.
  static std::string answer(const std::string &Status,
                            const std::string &Lines = "") {
    return "HTTP/1.1 " + Status + "\r\n" + Lines +
           "Test-Id: id-1\r\nTest-Signature: s\r\n"
           "Content-Length: 5\r\n\r\nhello";
  }

  static ScriptedServer::Script sendRaw(const std::string &Text) {
    return [Text](ScriptedServer::Stream &To,
                  const ReceivedRequest &) -> asio::awaitable<bool> {
      std::string Bytes = Text;
      co_await ScriptedServer::send(To, std::move(Bytes));
      co_return false;
    };
  }

  /// Returns the answer to a request that may run once only.
  Answer sendOnce(const std::string &Text) {
    setWeb(sendRaw(Text));
    return send(post("/pay/", "x"));
  }

  /// Expects that \p Text does not count as an answer.
  void expectNoAnswer(const std::string &Text) {
    const Answer Got = sendOnce(Text);
    EXPECT_TRUE(Got.m_isWhole) << testing::PrintToString(Text);
    EXPECT_EQ(Got.m_status, 502U) << testing::PrintToString(Text);
    EXPECT_EQ(Got.m_head.count("Test-Signature"), 0U)
        << testing::PrintToString(Text);
  }

  /// Expects that the client gets \p Text with \p Status and the whole body.
  void expectAnswer(const std::string &Text, unsigned Status) {
    const Answer Got = sendOnce(Text);
    EXPECT_TRUE(Got.m_isWhole) << testing::PrintToString(Text);
    EXPECT_EQ(Got.m_status, Status) << testing::PrintToString(Text);
    EXPECT_EQ(Got.m_body, "hello") << testing::PrintToString(Text);
    EXPECT_EQ(Got.m_head["Test-Signature"], "s")
        << testing::PrintToString(Text);
  }
};

TEST_F(BrokenHeadTest, Status_OutOfRange_IsNoAnswer) {
  startAll();
  for (const char *Status :
       {"000 ", "000 OK", "001 OK", "099 OK", "600 OK", "700 OK", "999 OK",
        "20 OK", "2000 OK", "2x0 OK", "-20 OK", " 200 OK", "OK"})
    expectNoAnswer(answer(Status));
}

TEST_F(BrokenHeadTest, Status_OutOfRange_SafeRequestIsServedByAnother) {
  m_web[0].m_script = sendRaw(answer("000 OK"));
  startAll();
  for (int I = 0; I < 8; ++I) {
    const Answer Got = send(get("/web/"));
    EXPECT_EQ(Got.m_status, 200U);
    EXPECT_EQ(Got.m_body, "hello");
  }
}

TEST_F(BrokenHeadTest, Status_OddButLegal_ReachesTheClient) {
  startAll();
  for (const unsigned Status : {200U, 299U, 399U, 499U, 599U})
    expectAnswer(answer(std::to_string(Status) + " Odd"), Status);
  expectAnswer(answer("200 "), 200);
}

} // namespace
} // namespace tamarackdrum::gateway

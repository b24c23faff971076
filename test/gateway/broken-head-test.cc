#include "gateway-host-fixture.h"
#include "tamarackdrum/blocking.h"
#include "tamarackdrum/worker-context.h"

#include <cctype>

namespace tamarackdrum::gateway {
namespace {

using namespace test;

/// Sends \p Text and closes the connection.
ScriptedServer::Script sendRaw(const std::string &Text) {
  return [Text](ScriptedServer::Stream &To,
                const ReceivedRequest &) -> asio::awaitable<bool> {
    std::string Bytes = Text;
    co_await ScriptedServer::send(To, std::move(Bytes));
    co_return false;
  };
}

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

TEST_F(BrokenHeadTest, FieldName_BlankOrControlByte_IsNoAnswer) {
  startAll();
  for (const char *Line :
       {"X-Odd : 3\r\n", "X Odd: 3\r\n", " X-Odd: 3\r\n", "X-\1Odd: 3\r\n",
        "Content-Length : 3\r\n", "Transfer-Encoding\t: chunked\r\n"})
    expectNoAnswer(answer(StatusOk, Line));
}

// HTTP lets a receiver join such a line to the one before it. It must not act
// as a field of its own.
TEST_F(BrokenHeadTest, FoldedLine_NamesAField_IsPartOfTheValueBefore) {
  startAll();
  for (const std::string Name :
       {"X-Odd", "Content-Length", "Transfer-Encoding", "Test-Not-Run"}) {
    const std::string Text =
        answer(StatusOk, "X-First: a\r\n " + Name + ": 3\r\n");
    expectAnswer(Text, 200);
    const Answer Got = sendOnce(Text);
    EXPECT_EQ(Got.m_head["X-First"], "a " + Name + ": 3");
    EXPECT_EQ(Got.m_head.count("X-Odd"), 0U);
    EXPECT_EQ(Got.m_head.count("Test-Not-Run"), 0U);
  }
}

TEST_F(BrokenHeadTest, FieldName_EmptyOrWithoutColon_IsNoAnswer) {
  startAll();
  for (const char *Line : {": 3\r\n", " : 3\r\n", "X-Odd\r\n", "X-Odd 3\r\n"})
    expectNoAnswer(answer(StatusOk, Line));
}

TEST_F(BrokenHeadTest, FieldValue_OddButLegal_ReachesTheClient) {
  startAll();
  for (const char *Line :
       {"X-Odd:\r\n", "X-Odd:3\r\n", "X-Odd: \t3 \t\r\n", "X-Odd: a b\tc\r\n",
        "X-Odd: \xc3\xa4\r\n", "!#$%&'*+-.^_`|~09aZ: 3\r\n"})
    expectAnswer(answer(StatusOk, Line), 200);
}

TEST_F(BrokenHeadTest, Trailer_BlankOrControlByteInName_IsNoAnswer) {
  startAll();
  for (const char *Line : {"X-Odd : 3", " X-Odd: 3", "X Odd: 3", "X-\1Odd: 3"})
    expectNoAnswer("HTTP/1.1 200 OK\r\nTest-Id: id-1\r\nTest-Signature: s\r\n"
                   "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n" +
                   std::string(Line) + "\r\n\r\n");
}

/// One request after the other to a server that sends such heads. A host would
/// pause between them, since the server seems to fail.
class BrokenFieldTest : public testing::Test {
protected:
  ~BrokenFieldTest() override { m_context.dropPending(); }

  DispatchResult execute(const std::string &Answer) {
    m_server.m_script = sendRaw(Answer);
    UpstreamRequest Request;
    Request.m_server.m_id = "server";
    Request.m_server.m_address = m_server.address();
    Request.m_head = "POST /work HTTP/1.1\r\nHost: a\r\nTest-Id: id-1\r\n"
                     "Content-Length: 0\r\n\r\n";
    Request.m_requestId = "id-1";
    Request.m_isSafe = false;
    Request.m_deadline = BootClock::now() + Millis(2000);
    asio::awaitable<UpstreamReply> Task =
        m_subject.execute(std::move(Request), m_token);
    return runBlocking(m_context, std::move(Task)).m_result;
  }

  void expectNoAnswer(const std::string &Line) {
    const std::string Text = "HTTP/1.1 200 OK\r\nTest-Id: id-1\r\n" + Line +
                             ": 3\r\nContent-Length: 5\r\n\r\nhello";
    EXPECT_EQ(execute(Text), DispatchResult::ConnectionLost)
        << testing::PrintToString(Text);
  }

  WorkerContext m_context{1};
  ScriptedServer m_server{m_context};
  ConnectionPool m_pool{PoolPolicy{}};
  UpstreamClient m_subject{m_pool, Headers};
  CancelToken m_token;
};

TEST_F(BrokenFieldTest, Name_AnyByteOfNoToken_IsNoAnswer) {
  const std::string TokenBytes = "!#$%&'*+-.^_`|~";
  for (int Value = 0; Value < 256; ++Value) {
    const char Byte = static_cast<char>(Value);
    const bool IsAlphanumeric = Value < 128 && std::isalnum(Value) != 0;
    if (IsAlphanumeric || TokenBytes.find(Byte) != std::string::npos ||
        Byte == ':')
      continue;
    const std::string Odd(1, Byte);
    // A line that begins with a blank continues the one before it.
    if (Byte != ' ' && Byte != '\t')
      expectNoAnswer(Odd + "X-Odd");
    for (const char *Name :
         {"X-Odd", "Content-Length", "Transfer-Encoding", "Test-Signature"}) {
      expectNoAnswer(Name + Odd);
      expectNoAnswer(std::string(Name).insert(4, Odd));
    }
  }
}

} // namespace
} // namespace tamarackdrum::gateway

#include "tamarackdrum/gateway/message-head.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace tamarackdrum::gateway {
namespace {

namespace http = boost::beast::http;
using testing::EndsWith;
using testing::HasSubstr;
using testing::Not;
using testing::StartsWith;

class MessageHeadTest : public testing::Test {
protected:
  MessageHeadTest() {
    m_names.m_requestId = "X-Id";
    m_names.m_deadlineMs = "X-Deadline";
    m_names.m_expectServer = "X-Expect";
    m_server.m_id = "s-1";
    m_request.method(http::verb::get);
    m_request.target("/cart?x=1");
    m_request.set("Host", "shop.example");
    m_reply.result(200);
    m_reply.reason("OK");
  }

  std::string requestHead(const Framing &Body = {}) const {
    return makeRequestHead(m_request, Body, m_names, m_server, Millis(250));
  }

  HeaderNames m_names;
  ServerEntry m_server;
  RequestHead m_request;
  ReplyHead m_reply;
};

TEST_F(MessageHeadTest, Request_WithoutBody_HasNoFraming) {
  EXPECT_EQ(requestHead(), "GET /cart?x=1 HTTP/1.1\r\nHost: shop.example\r\n"
                           "X-Deadline: 250\r\nX-Expect: s-1\r\n\r\n");
}

TEST_F(MessageHeadTest, Request_DeadlinePassed_SendsOneMillisecond) {
  EXPECT_THAT(makeRequestHead(m_request, {}, m_names, m_server, Millis(-5)),
              HasSubstr("X-Deadline: 1\r\n"));
}

TEST_F(MessageHeadTest, Request_HopByHopHeaders_AreNotForwarded) {
  m_request.set("Connection", "close, x-hop");
  m_request.set("X-Hop", "1");
  m_request.set("Keep-Alive", "timeout=3");
  m_request.set("Expect", "100-continue");
  m_request.set("Transfer-Encoding", "chunked");
  m_request.set("X-Kept", "2");
  const std::string Head = requestHead();
  for (const char *Name :
       {"onnection", "op:", "live", "Expect: 100", "ransfer"})
    EXPECT_THAT(Head, Not(HasSubstr(Name)));
  EXPECT_THAT(Head, HasSubstr("X-Kept: 2\r\n"));
}

// A client must not be able to select the server or to extend its deadline.
TEST_F(MessageHeadTest, Request_ClientSetsServerAndDeadline_AreReplaced) {
  m_request.set("X-Deadline", "99999");
  m_request.set("x-expect", "s-9");
  const std::string Head = requestHead();
  EXPECT_THAT(Head, Not(HasSubstr("99999")));
  EXPECT_THAT(Head, Not(HasSubstr("s-9")));
}

TEST_F(MessageHeadTest, Framing_LengthOrChunked_SetsOneHeader) {
  const std::string WithLength = requestHead({false, 12});
  EXPECT_THAT(WithLength, HasSubstr("Content-Length: 12\r\n\r\n"));
  const std::string InChunks = requestHead({true, {}});
  EXPECT_THAT(InChunks, HasSubstr("Transfer-Encoding: chunked\r\n\r\n"));
  EXPECT_THAT(InChunks, Not(HasSubstr("Content-Length")));
}

TEST_F(MessageHeadTest, Reply_FramingOfServer_IsReplaced) {
  m_reply.set("Content-Length", "999");
  m_reply.set("X-Signature", "abc");
  const std::string Head = makeReplyHead(m_reply, {false, 5}, false);
  EXPECT_EQ(Head, "HTTP/1.1 200 OK\r\nX-Signature: abc\r\n"
                  "Content-Length: 5\r\n\r\n");
}

TEST_F(MessageHeadTest, Reply_ClosesConnection_HasConnectionClose) {
  EXPECT_THAT(makeReplyHead(m_reply, {}, true),
              EndsWith("Connection: close\r\n\r\n"));
}

TEST_F(MessageHeadTest, Answer_Refusal_HasIdAndRetryAfter) {
  const std::string Text =
      makeAnswer({503, "overloaded", Millis(250), false}, m_names, "r-1");
  EXPECT_THAT(Text, StartsWith("HTTP/1.1 503 Service Unavailable\r\n"));
  EXPECT_THAT(Text, HasSubstr("X-Id: r-1\r\n"));
  EXPECT_THAT(Text, HasSubstr("Retry-After: 0.250\r\n"));
  EXPECT_THAT(Text, HasSubstr("Content-Length: 11\r\n"));
  EXPECT_THAT(Text, EndsWith("\r\n\r\noverloaded\n"));
}

TEST_F(MessageHeadTest, Answer_NoIdAndNoRetryAfter_OmitsBothHeaders) {
  const std::string Text = makeAnswer({404, "no route"}, m_names, "");
  EXPECT_THAT(Text, Not(HasSubstr("X-Id")));
  EXPECT_THAT(Text, Not(HasSubstr("Retry-After")));
}

// A client reads a body after the answer to HEAD as its next answer.
TEST_F(MessageHeadTest, Answer_ToHeadRequest_HasLengthAndNoBody) {
  GatewayAnswer Answer{503, "overloaded", Millis(250)};
  Answer.m_isToHeadRequest = true;
  const std::string Text = makeAnswer(Answer, m_names, "r-1");
  EXPECT_THAT(Text, HasSubstr("Content-Length: 11\r\n"));
  EXPECT_THAT(Text, EndsWith("\r\n\r\n"));
}

TEST_F(MessageHeadTest, Chunk_OfTwentyBytes_HasHexLength) {
  EXPECT_EQ(makeChunk(std::string(20, 'x')),
            "14\r\n" + std::string(20, 'x') + "\r\n");
}

} // namespace
} // namespace tamarackdrum::gateway

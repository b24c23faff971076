#include "tamarackdrum/gateway/request-relay.h"

#include <gtest/gtest.h>

namespace tamarackdrum::gateway {
namespace {

class RelayedReplyTest : public testing::Test {
protected:
  static UpstreamReply replyOf(const std::string &Head) {
    RelayAnswerMessage Message;
    Message.m_result = DispatchResult::Served;
    Message.m_isSent = true;
    Message.m_isAccepted = true;
    Message.m_head = Head;
    Message.m_body = "hello";
    return makeRelayedReply(std::move(Message), false);
  }
};

// A peer of an earlier version passes on what no server may answer.
TEST_F(RelayedReplyTest, Head_StatusOutOfRange_IsNoAnswer) {
  for (const char *Status : {"0", "99", "000", "099", "600", "999"}) {
    const UpstreamReply Reply = replyOf("HTTP/1.1 " + std::string(Status) +
                                        " OK\r\nContent-Length: 5\r\n\r\n");
    EXPECT_EQ(Reply.m_result, DispatchResult::ConnectionLost) << Status;
    EXPECT_EQ(Reply.m_parser, nullptr) << Status;
    EXPECT_TRUE(Reply.m_isSent) << Status;
    EXPECT_EQ(Reply.m_body, "") << Status;
  }
}

// A peer of an earlier version reports as served what may have run and says
// that it has not.
TEST_F(RelayedReplyTest, Head_PromiseOfServedRequest_IsAFailure) {
  for (const char *Status : {"408", "429", "503"}) {
    const UpstreamReply Reply = replyOf("HTTP/1.1 " + std::string(Status) +
                                        " Odd\r\nContent-Length: 5\r\n\r\n");
    EXPECT_EQ(Reply.m_result, DispatchResult::Failed) << Status;
    EXPECT_TRUE(Reply.m_isSent) << Status;
  }
}

TEST_F(RelayedReplyTest, Head_OddButLegal_IsTheAnswer) {
  for (const char *Status : {"200 ", "299 Odd", "500 Failed", "599 Odd"}) {
    const UpstreamReply Reply = replyOf("HTTP/1.1 " + std::string(Status) +
                                        "\r\nContent-Length: 5\r\n\r\n");
    EXPECT_EQ(Reply.m_result, DispatchResult::Served) << Status;
    ASSERT_NE(Reply.m_parser, nullptr) << Status;
    EXPECT_EQ(Reply.m_body, "hello") << Status;
  }
}

} // namespace
} // namespace tamarackdrum::gateway

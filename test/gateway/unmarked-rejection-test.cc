// Answers of servers whose status promises a client that its request has not
// run and never will: 408, 421, 429 and 503. Only the server can know, and says
// so by a header.

#include "gateway-host-fixture.h"

namespace tamarackdrum::gateway {
namespace {

using namespace test;

bool isPromise(unsigned Status) {
  return Status == 408 || Status == 421 || Status == 429 || Status == 503;
}

/// Servers that answer with the status of the test.
class PromisedStatusTest : public GatewayHostTest,
                           public testing::WithParamInterface<unsigned> {
protected:
  PromisedStatusTest() {
    m_store.m_configuration.m_routes.push_back(
        makeRoute("order", "/order/", RequestKind::Unsafe, "stock"));
  }

  /// Answers with the status and \p More headers, each with its line end.
  static ScriptedServer::Script answerWith(const std::string &More,
                                           const std::string &Body = "busy") {
    std::string Head("HTTP/1.1 ");
    Head +=
        std::to_string(GetParam()) + " Odd\r\n" + More +
        "Test-Signature: s\r\nContent-Length: " + std::to_string(Body.size()) +
        "\r\nTest-Id: ";
    return [Head, Body](ScriptedServer::Stream &To,
                        const ReceivedRequest &Seen) -> asio::awaitable<bool> {
      std::string Text = Head + Seen.m_id + "\r\n\r\n" + Body;
      co_return co_await ScriptedServer::send(To, std::move(Text));
    };
  }

  static constexpr const char *NotRun = "Test-Not-Run: 1\r\n";
};

class UnmarkedRejectionTest : public PromisedStatusTest {};

// Guards against REFUSED: the client was told that its order had not run,
// though the server that answered had run it.
TEST_P(UnmarkedRejectionTest, UnsafeRequest_ServerMayHaveRunIt_IsNoPromise) {
  setWeb(answerWith(""));
  startAll();
  const Answer Got = send(post("/pay/", "card"));
  EXPECT_EQ(Got.m_status, 502U);
  EXPECT_TRUE(Got.m_head["Test-Signature"].empty());
  EXPECT_EQ(webRequests(), 1U);
}

TEST_P(UnmarkedRejectionTest, UnsafeRequest_LongAnswer_IsNoPromise) {
  setWeb(answerWith("", std::string(1U << 20U, 'x')));
  startAll();
  EXPECT_EQ(send(post("/pay/", "card")).m_status, 502U);
  EXPECT_EQ(webRequests(), 1U);
}

TEST_P(UnmarkedRejectionTest, UnsafeRequest_AnsweredDuringUpload_IsNoPromise) {
  setWeb(answerWith(""));
  startAll();
  EXPECT_EQ(send(post("/pay/", std::string(8U << 20U, 'x'))).m_status, 502U);
  EXPECT_EQ(webRequests(), 1U);
}

TEST_P(UnmarkedRejectionTest, HeadRequest_ServerMayHaveRunIt_IsNoPromise) {
  setWeb(answerWith("", ""));
  startAll();
  std::string Request = get("/pay/");
  Request.replace(0, 3, "HEAD");
  Request.insert(Request.size() - 2, "Connection: close\r\n");
  EXPECT_EQ(send(Request).m_status, 502U);
  EXPECT_EQ(webRequests(), 1U);
}

TEST_P(UnmarkedRejectionTest, KeyedOrder_HolderMayHaveRunIt_IsNoPromise) {
  startAll();
  ASSERT_TRUE(runUntil([this] {
    return send(get("/stock/", "Test-Key: 7\r\n")).m_status == 200U;
  }));
  const std::size_t Before =
      m_stock[0].m_requests.size() + m_stock[1].m_requests.size();
  for (ScriptedServer &Server : m_stock)
    Server.m_script = answerWith("");
  std::string Order = post("/order/", "card");
  Order.insert(Order.find("\r\n") + 2, "Test-Key: 7\r\n");
  EXPECT_EQ(send(Order).m_status, 502U);
  EXPECT_EQ(m_stock[0].m_requests.size() + m_stock[1].m_requests.size(),
            Before + 1);
}

TEST_P(UnmarkedRejectionTest, SafeRequest_OneServerFails_OtherServesIt) {
  m_web[0].m_script = answerWith("");
  startAll();
  while (m_web[0].m_requests.empty())
    ASSERT_EQ(send(get("/web/")).m_status, 200U);
}

TEST_P(UnmarkedRejectionTest, SafeRequest_AllServersFail_IsNoPromise) {
  setWeb(answerWith(""));
  startAll();
  EXPECT_EQ(send(get("/web/")).m_status, 502U);
  EXPECT_EQ(webRequests(), 2U);
}

// 421 needs no mark: whoever is not the expected server runs nothing.
INSTANTIATE_TEST_SUITE_P(Statuses, UnmarkedRejectionTest,
                         testing::Values(408U, 429U, 503U));

class MarkedRejectionTest : public PromisedStatusTest {};

TEST_P(MarkedRejectionTest, UnsafeRequest_OneServerRejects_OtherServesIt) {
  m_web[0].m_script = answerWith(NotRun);
  startAll();
  while (m_web[0].m_requests.empty())
    ASSERT_EQ(send(post("/pay/", "card")).m_status, 200U);
}

TEST_P(MarkedRejectionTest, UnsafeRequest_AllServersReject_IsAnsweredAsNotRun) {
  setWeb(answerWith(NotRun));
  startAll();
  const Answer Got = send(post("/pay/", "card"));
  EXPECT_EQ(Got.m_status, 503U);
  EXPECT_FALSE(Got.m_head[http::field::retry_after].empty());
  EXPECT_EQ(webRequests(), 2U);
}

INSTANTIATE_TEST_SUITE_P(Statuses, MarkedRejectionTest,
                         testing::Values(408U, 421U, 429U, 503U));

class UnmarkedMisdirectionTest : public PromisedStatusTest {};

TEST_P(UnmarkedMisdirectionTest, UnsafeRequest_WrongServer_OtherServesIt) {
  m_web[0].m_script = answerWith("");
  startAll();
  while (m_web[0].m_requests.empty())
    ASSERT_EQ(send(post("/pay/", "card")).m_status, 200U);
}

INSTANTIATE_TEST_SUITE_P(Statuses, UnmarkedMisdirectionTest,
                         testing::Values(421U));

class OtherStatusTest : public PromisedStatusTest {};

TEST_P(OtherStatusTest, UnsafeRequest_AnswerPromisesNothing_IsPassedOn) {
  ASSERT_FALSE(isPromise(GetParam()));
  setWeb(answerWith(""));
  startAll();
  const Answer Got = send(post("/pay/", "card"));
  EXPECT_EQ(Got.m_status, GetParam());
  EXPECT_EQ(Got.m_body, "busy");
  EXPECT_EQ(Got.m_head["Test-Signature"], "s");
  EXPECT_EQ(webRequests(), 1U);
}

INSTANTIATE_TEST_SUITE_P(Statuses, OtherStatusTest,
                         testing::Values(200U, 400U, 404U, 409U, 420U, 428U,
                                         431U, 500U, 502U, 504U));

} // namespace
} // namespace tamarackdrum::gateway

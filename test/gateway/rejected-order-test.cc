// Unsafe requests that the holder of their key rejects and gets a second time.

#include "gateway-host-fixture.h"

namespace tamarackdrum::gateway {
namespace {

using namespace test;

/// Two clients with orders for one key, whose holder has one slot.
class RejectedOrderTest : public GatewayHostTest {
protected:
  RejectedOrderTest() {
    m_store.m_configuration.m_routes.push_back(
        makeRoute("order", "/order/", RequestKind::Unsafe, "stock"));
    for (ServerRow &Row : m_store.m_servers)
      Row.m_entry.m_slots = 1;
  }

  static std::string order(const std::string &Id) {
    return "POST /order/ HTTP/1.1\r\nHost: shop.example\r\nTest-Id: " + Id +
           "\r\nTest-Key: 7\r\nTest-Deadline: 15000\r\n"
           "Content-Length: 4\r\n\r\ncard";
  }

  /// Returns the server that holds the key.
  ScriptedServer &findHolder() {
    EXPECT_TRUE(runUntil([this] {
      return send(get("/stock/", "Test-Key: 7\r\n")).m_status == 200U;
    }));
    return m_stock[m_stock[0].m_requests.empty() ? 1 : 0];
  }

  /// Rejects each request once, the first one only when others wait for its
  /// slot. On a connection that has carried the rejection, a second copy of it
  /// arrives before the answer.
  void rejectOnceWithCopy(ScriptedServer &Holder) {
    Holder.m_script =
        [this](ScriptedServer::Stream &To,
               const ReceivedRequest &Seen) -> asio::awaitable<bool> {
      const auto [Rejected, IsFirstAttempt] =
          m_rejectedOn.try_emplace(Seen.m_id, &To);
      while (!m_hasWaiting)
        co_await sleepFor(Millis(5));
      if (IsFirstAttempt)
        co_return co_await ScriptedServer::refuse(To, Seen);
      m_served.push_back(Seen.m_id);
      if (Rejected->second == &To)
        co_await ScriptedServer::refuse(To, Seen);
      co_return co_await ScriptedServer::answerOk(To, Seen);
    };
  }

  /// Connections of the first attempts, by request id.
  std::map<std::string, const ScriptedServer::Stream *> m_rejectedOn;
  std::vector<std::string> m_served;
  bool m_hasWaiting = false;
};

// Guards against REFUSED: clients were told "not run" of an order that ran,
// since the late copy of its rejection passed for the second answer.
TEST_F(RejectedOrderTest,
       SentAgainAfterAnother_CopyOfRejection_IsNotItsAnswer) {
  startAll();
  ScriptedServer &Holder = findHolder();
  rejectOnceWithCopy(Holder);
  const Sent First = sendLater(order("first"));
  ASSERT_TRUE(runUntil([this] { return m_rejectedOn.contains("first"); }));
  const Sent Second = sendLater(order("second"));
  ASSERT_TRUE(comeToWait(1, 0, "stock"));
  m_hasWaiting = true;
  ASSERT_TRUE(runUntil([&] { return *First.m_isDone && *Second.m_isDone; }));
  EXPECT_EQ(First.m_answer->m_status, 200U);
  EXPECT_EQ(Second.m_answer->m_status, 200U);
  EXPECT_EQ(m_served.size(), 2U);
}

} // namespace
} // namespace tamarackdrum::gateway

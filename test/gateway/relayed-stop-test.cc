// A host in its planned stop and the requests that it sends for other hosts.

#include "gateway-host-fixture.h"

#include "tamarackdrum/gateway/peer-message.h"

namespace tamarackdrum::gateway {
namespace {

using namespace test;

/// The test acts as a host that is cut off and passes requests to host 0.
class RelayedStopTest : public GatewayHostTest {
protected:
  /// Connects to the host and introduces itself.
  void connect() {
    m_link.connect({asio::ip::address_v4::loopback(), m_peerPort});
    HelloMessage Hello;
    Hello.m_host = {"cut-off", "127.0.0.9", "zone-a", 9, 20};
    send(Hello);
    asio::co_spawn(m_context, receive(), asio::detached);
  }

  void send(const PeerMessage &Message) {
    std::string Bytes;
    encode(Message, Bytes);
    asio::write(m_link, asio::buffer(Bytes));
  }

  asio::awaitable<void> receive() {
    std::string Buffer;
    std::string Piece(4096, '\0');
    while (true) {
      const auto [Error, Count] =
          co_await m_link.async_read_some(asio::buffer(Piece), UseTuple);
      if (Error)
        co_return;
      Buffer.append(Piece, 0, Count);
      Result<std::vector<PeerMessage>> Messages = decode(Buffer);
      if (!Messages)
        co_return;
      for (const PeerMessage &Message : Messages.value())
        if (const auto *Answer = std::get_if<RelayAnswerMessage>(&Message))
          m_answers.push_back(*Answer);
    }
  }

  /// Passes an unsafe request to the host.
  void relay(std::uint32_t Number, const std::string &Id = "id-1") {
    RelayMessage Message;
    Message.m_number = Number;
    Message.m_server = "web-0";
    Message.m_head =
        "POST /pay/ HTTP/1.1\r\nHost: shop.example\r\nTest-Id: " + Id +
        "\r\nContent-Length: 4\r\n\r\n";
    Message.m_body = "card";
    Message.m_requestId = Id;
    Message.m_isSafe = false;
    Message.m_timeLeft = Millis(15000);
    send(Message);
  }

  /// The web servers answer a request only once m_isHeld is reset.
  void holdRequests() {
    m_isHeld = true;
    setWeb([this](ScriptedServer::Stream &To,
                  const ReceivedRequest &Seen) -> asio::awaitable<bool> {
      while (m_isHeld)
        co_await sleepFor(Millis(5));
      co_return co_await ScriptedServer::answerOk(To, Seen);
    });
  }

  void stop() {
    m_hosts[0]->stop([this] { m_isStopped = true; });
  }

  asio::ip::tcp::socket m_link{m_context};
  std::vector<RelayAnswerMessage> m_answers;
  bool m_isHeld = false;
  bool m_isStopped = false;
};

// The client's host answers 502 if the link breaks before the answer has come.
TEST_F(RelayedStopTest, RelayedRequest_HostStops_IsAnsweredBeforeItEnds) {
  holdRequests();
  startAll();
  connect();
  relay(1);
  ASSERT_TRUE(runUntil([this] { return webRequests() == 1; }));
  stop();
  wait(m_policy.m_closeIdleAfter + m_policy.m_finalCallTime + Millis(500));
  EXPECT_FALSE(m_isStopped);
  m_isHeld = false;
  ASSERT_TRUE(runUntil([this] { return m_isStopped; }));
  ASSERT_EQ(m_answers.size(), 1U);
  EXPECT_EQ(m_answers[0].m_result, DispatchResult::Served);
  EXPECT_EQ(m_answers[0].m_body, "hello");
}

// A stopping host took requests of hosts that had not heard of the stop, and
// cut them at its end. A host that has not tried to send one says so, and the
// request is passed to another.
TEST_F(RelayedStopTest, RelayedRequest_DuringStop_IsNotTaken) {
  holdRequests();
  startAll();
  connect();
  stop();
  relay(1);
  ASSERT_TRUE(runUntil([this] { return m_isStopped || !m_answers.empty(); }));
  ASSERT_EQ(m_answers.size(), 1U);
  EXPECT_FALSE(m_answers[0].m_isAccepted);
  EXPECT_EQ(webRequests(), 0U);
}

class RelayedAnswerTest : public RelayedStopTest {
protected:
  /// Passes a request to the host and returns the result that it reports.
  DispatchResult relayAndWait(const std::string &Id) {
    const std::size_t Count = m_answers.size() + 1;
    relay(static_cast<std::uint32_t>(Count), Id);
    EXPECT_TRUE(runUntil([this, Count] { return m_answers.size() == Count; }));
    return m_answers.back().m_result;
  }
};

// A host that is cut off passes on both attempts, and the second could get the
// late copy of the rejection of the first as its answer.
TEST_F(RelayedAnswerTest,
       RefusedRequest_SentAgainAfterAnother_CopyIsNotItsAnswer) {
  setWeb(ScriptedServer::refuse);
  startAll();
  connect();
  ASSERT_EQ(relayAndWait("id-1"), DispatchResult::Refused);
  ASSERT_EQ(relayAndWait("id-2"), DispatchResult::Refused);
  ASSERT_EQ(m_web[0].m_connections, 1U);
  setWeb([this](ScriptedServer::Stream &To,
                const ReceivedRequest &Seen) -> asio::awaitable<bool> {
    if (m_web[0].m_connections == 1)
      co_await ScriptedServer::refuse(To, Seen);
    co_return co_await ScriptedServer::answerOk(To, Seen);
  });
  EXPECT_EQ(relayAndWait("id-1"), DispatchResult::Served);
}

// Guards against REFUSED: a host of an earlier version forwards any answer that
// it gets from a peer.
TEST_F(RelayedAnswerTest, Answer_PromiseWithoutMark_IsNotPassedOn) {
  startAll();
  connect();
  for (const char *Status : {"408", "429", "503"}) {
    setWeb([Status](ScriptedServer::Stream &To,
                    const ReceivedRequest &Seen) -> asio::awaitable<bool> {
      std::string Text("HTTP/1.1 ");
      Text += std::string(Status) + " Odd\r\nTest-Id: " + Seen.m_id +
              "\r\nContent-Length: 4\r\n\r\nbusy";
      co_return co_await ScriptedServer::send(To, std::move(Text));
    });
    EXPECT_EQ(relayAndWait(Status), DispatchResult::Failed) << Status;
    EXPECT_TRUE(m_answers.back().m_isSent) << Status;
    EXPECT_EQ(m_answers.back().m_head, "") << Status;
    EXPECT_EQ(m_answers.back().m_body, "") << Status;
  }
}

TEST_F(RelayedAnswerTest, Answer_Failure_IsPassedOn) {
  setWeb([](ScriptedServer::Stream &To,
            const ReceivedRequest &Seen) -> asio::awaitable<bool> {
    std::string Text("HTTP/1.1 500 Failed\r\nTest-Id: ");
    Text += Seen.m_id + "\r\nContent-Length: 4\r\n\r\nbusy";
    co_return co_await ScriptedServer::send(To, std::move(Text));
  });
  startAll();
  connect();
  EXPECT_EQ(relayAndWait("id-1"), DispatchResult::Failed);
  EXPECT_TRUE(m_answers.back().m_head.starts_with("HTTP/1.1 500 "));
  EXPECT_EQ(m_answers.back().m_body, "busy");
}

TEST_F(RelayedAnswerTest, Answer_StatusOutOfRange_IsNotPassedOn) {
  setWeb([](ScriptedServer::Stream &To,
            const ReceivedRequest &) -> asio::awaitable<bool> {
    std::string Text("HTTP/1.1 600 OK\r\nTest-Id: id-1\r\n"
                     "Content-Length: 5\r\n\r\nhello");
    co_return co_await ScriptedServer::send(To, std::move(Text));
  });
  startAll();
  connect();
  relay(1);
  ASSERT_TRUE(runUntil([this] { return !m_answers.empty(); }));
  EXPECT_EQ(m_answers[0].m_result, DispatchResult::ConnectionLost);
  EXPECT_EQ(m_answers[0].m_head, "");
  EXPECT_EQ(m_answers[0].m_body, "");
}

} // namespace
} // namespace tamarackdrum::gateway

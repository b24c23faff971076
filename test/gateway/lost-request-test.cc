// Requests that were accepted have to get an answer or a refusal, whatever
// changes while they wait.

#include "gateway-host-fixture.h"

namespace tamarackdrum::gateway {
namespace {

using namespace test;

/// Requests have far more time than the test, so that none is refused because
/// the servers seem too slow: the time for which they are held depends on the
/// machine.
class LostRequestTest : public GatewayHostTest {
protected:
  LostRequestTest() {
    m_policy.m_edge.m_maxRequestTime = LongTime;
    for (Route &Item : m_store.m_configuration.m_routes)
      Item.m_timeout = Item.m_objective = LongTime;
  }

  /// Sends \p Count requests to a host, half of them unsafe.
  void sendMany(int Count, int Host = 0) {
    const std::string Deadline =
        "Test-Deadline: " + std::to_string(LongTime.count());
    for (int I = 0; I < Count; ++I) {
      std::string Bytes = I % 2 == 0 ? get("/web/") : post("/pay/", "card");
      const std::string Default = "Test-Deadline: 15000";
      Bytes.replace(Bytes.find(Default), Default.size(), Deadline);
      m_sent.push_back(sendLater(Bytes, Host));
    }
  }

  void expectAllServed() {
    EXPECT_TRUE(runUntil([this] {
      return std::all_of(m_sent.begin(), m_sent.end(),
                         [](const Sent &Item) { return *Item.m_isDone; });
    }));
    for (const Sent &Item : m_sent)
      EXPECT_EQ(Item.m_answer->m_status, 200U);
  }

  /// Makes the web servers answer only once m_mayAnswer is set.
  void holdAnswers() {
    setWeb([this](ScriptedServer::Stream &To,
                  const ReceivedRequest &Seen) -> asio::awaitable<bool> {
      while (!m_mayAnswer)
        co_await sleepFor(Millis(5));
      co_return co_await ScriptedServer::answerOk(To, Seen);
    });
  }

  /// Puts a configuration in force that names the service "web" no more.
  void dropWebService() {
    Configuration Next = m_store.m_configuration;
    ++Next.m_version;
    Next.m_services.erase("web");
    std::erase_if(Next.m_routes, [](const Route &Item) {
      return Item.m_parts.front().m_service == "web";
    });
    Next.m_routes.push_back(
        makeRoute("new", "/new/", RequestKind::Safe, "stock"));
    m_store.m_configuration = Next;
    for (int Host = 0; Host < static_cast<int>(m_hosts.size()); ++Host)
      ASSERT_TRUE(runUntil(
          [this, Host] { return send(get("/new/"), Host).m_status != 404; }));
  }

  static constexpr Millis LongTime{600000};

  bool m_mayAnswer = false;
  std::vector<Sent> m_sent;
};

// The dispatcher of a service that a configuration dropped was destroyed with
// the requests that waited in it, and nobody decided on them any more.
TEST_F(LostRequestTest, WaitingRequest_ConfigurationDropsItsService_IsServed) {
  holdAnswers();
  startAll();
  sendMany(16);
  ASSERT_TRUE(runUntil([this] { return webRequests() >= 4; }));
  // A request that is read later finds no route.
  ASSERT_TRUE(comeToWait(12));
  dropWebService();
  EXPECT_LT(webRequests(), m_sent.size());
  m_mayAnswer = true;
  expectAllServed();
}

// A host did not tell the former coordinator that its requests had ended, so
// that others waited for their slots until the deadlines of these.
TEST_F(LostRequestTest, WaitingRequest_OtherHostHasAllSlots_IsServed) {
  // A slow machine must not let the fallback decide.
  m_policy.m_admission.m_ackTimeout = LongTime;
  holdAnswers();
  startAll(2);
  ASSERT_TRUE(runUntil([this] {
    return m_hosts[0]->coordinators() == m_hosts[1]->coordinators();
  }));
  const int Coordinator =
      m_hosts[0]->coordinators().at("web") == "host-0" ? 0 : 1;
  sendMany(4, 1 - Coordinator);
  ASSERT_TRUE(runUntil([this] { return webRequests() == 4; }));
  sendMany(4, Coordinator);
  ASSERT_TRUE(comeToWait(4, Coordinator));
  EXPECT_EQ(webRequests(), 4U);
  dropWebService();
  m_mayAnswer = true;
  expectAllServed();
}

/// Requests with the usual times.
class HeldRequestTest : public LostRequestTest {
protected:
  HeldRequestTest() {
    for (Route &Item : m_store.m_configuration.m_routes) {
      Item.m_timeout = Millis(20000);
      Item.m_objective = Millis(10000);
    }
  }
};

// Requests waited although all slots were free, and were then refused: each
// server seemed too slow, and all of them together did not.
TEST_F(HeldRequestTest, ServersAnswerAgain_AfterALongHold_WaitingAreServed) {
  holdAnswers();
  startAll();
  sendMany(16);
  ASSERT_TRUE(runUntil([this] { return webRequests() >= 4; }));
  wait(Millis(7000));
  m_mayAnswer = true;
  expectAllServed();
}

/// A server that answers long requests once it has read their heads, and then
/// reads nothing more.
class EarlyAnswerTest : public LostRequestTest {
protected:
  static constexpr std::size_t BodyBytes = 8U << 20U;
  static constexpr std::size_t PieceBytes = 64U << 10U;

  EarlyAnswerTest() {
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
      asio::co_spawn(m_context, answerEarly(std::move(Socket)), asio::detached);
    }
  }

  asio::awaitable<void> answerEarly(asio::ip::tcp::socket Socket) {
    boost::beast::tcp_stream Peer(std::move(Socket));
    boost::beast::flat_buffer Buffer;
    http::request_parser<http::empty_body> Parser;
    Parser.body_limit(boost::none);
    co_await http::async_read_header(Peer, Buffer, Parser, UseTuple);
    std::string Text = m_head;
    Text +=
        "Test-Id: id-1\r\nContent-Length: " + std::to_string(m_body.size()) +
        "\r\n\r\n" + m_body;
    co_await ScriptedServer::send(Peer, std::move(Text));
    co_await sleepFor(WaitTimeout);
  }

  /// Sends a long body in pieces, whatever arrives meanwhile, and then reads
  /// the answer.
  asio::awaitable<void> upload(std::shared_ptr<Answer> Out,
                               std::shared_ptr<bool> IsDone) {
    boost::beast::tcp_stream Stream(m_context);
    co_await Stream.async_connect(m_addresses[0], UseTuple);
    std::string Head = post("/pay/", "");
    Head.replace(Head.find("Content-Length: 0"), 17,
                 "Content-Length: " + std::to_string(BodyBytes));
    co_await asio::async_write(Stream, asio::buffer(Head), UseTuple);
    const std::string Piece(PieceBytes, 'x');
    for (std::size_t Done = 0; Done < BodyBytes; Done += PieceBytes) {
      const auto [Error, Count] =
          co_await asio::async_write(Stream, asio::buffer(Piece), UseTuple);
      if (Error)
        break;
      co_await sleepFor(Millis(4));
    }
    boost::beast::flat_buffer Buffer;
    http::response_parser<http::string_body> Parser;
    const auto [Error, Count] =
        co_await http::async_read(Stream, Buffer, Parser, UseTuple);
    Out->m_isWhole = !Error;
    Out->m_head = Parser.release();
    Out->m_status = Out->m_head.result_int();
    *IsDone = true;
  }

  Answer uploadAndWait() {
    const Sent Item;
    asio::co_spawn(m_context, upload(Item.m_answer, Item.m_isDone),
                   asio::detached);
    EXPECT_TRUE(runUntil([&Item] { return *Item.m_isDone; }));
    return *Item.m_answer;
  }

  asio::ip::tcp::acceptor m_acceptor{m_context,
                                     {asio::ip::address_v4::loopback(), 0}};
  std::string m_head = "HTTP/1.1 200 OK\r\n";
  std::string m_body = "early";
};

// Closing a connection with unread bytes of the body resets it, and the client
// loses the answer.
TEST_F(EarlyAnswerTest, Answer_ClientStillSendsTheBody_ReachesTheClient) {
  startAll();
  const Answer Got = uploadAndWait();
  EXPECT_TRUE(Got.m_isWhole);
  EXPECT_EQ(Got.m_status, 200U);
  EXPECT_EQ(Got.m_head[http::field::connection], "close");
}

// The connection to the server was closed with the rest of the answer.
TEST_F(EarlyAnswerTest, LongAnswer_ClientStillSendsTheBody_ReachesTheClient) {
  m_body.assign(300000, 'y');
  startAll();
  const Answer Got = uploadAndWait();
  EXPECT_TRUE(Got.m_isWhole);
  EXPECT_EQ(Got.m_status, 200U);
  EXPECT_TRUE(Got.m_head.body() == m_body);
}

// The writer of the body used the connection after the answer was dropped.
TEST_F(EarlyAnswerTest, LongFailure_ClientStillSendsTheBody_IsAnswered) {
  m_head = "HTTP/1.1 500 Failed\r\n";
  m_body.assign(300000, 'y');
  startAll();
  for (int I = 0; I < 5; ++I) {
    const Answer Got = uploadAndWait();
    EXPECT_TRUE(Got.m_isWhole);
    EXPECT_EQ(Got.m_status, 502U);
  }
}

TEST_F(EarlyAnswerTest, Refusal_ClientStillSendsTheBody_ReachesTheClient) {
  m_head = "HTTP/1.1 503 Busy\r\nTest-Not-Run: 1\r\n";
  startAll();
  const Answer Got = uploadAndWait();
  EXPECT_TRUE(Got.m_isWhole);
  EXPECT_EQ(Got.m_status, 503U);
  EXPECT_EQ(Got.m_head[http::field::connection], "close");
}

} // namespace
} // namespace tamarackdrum::gateway

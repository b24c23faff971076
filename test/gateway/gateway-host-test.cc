#include "gateway-host-fixture.h"

namespace tamarackdrum::gateway {
namespace {

using namespace test;

TEST_F(GatewayHostTest, Request_ServerAnswers_IsForwardedUnchanged) {
  startAll();
  const Answer Got = send(get("/web/a?b=%20c", "X-Other: kept\r\n"));
  EXPECT_EQ(Got.m_status, 200U);
  EXPECT_EQ(Got.m_body, "hello");
  EXPECT_EQ(Got.m_head["Test-Signature"], "s");
  ASSERT_EQ(webRequests(), 1U);
  const ScriptedServer &Used =
      m_web[0].m_requests.empty() ? m_web[1] : m_web[0];
  EXPECT_EQ(Used.m_requests[0].m_target, "/web/a?b=%20c");
  EXPECT_EQ(Used.m_requests[0].m_id, "id-1");
  EXPECT_EQ(Used.m_requests[0].m_expectedServer,
            &Used == &m_web[0] ? "web-0" : "web-1");
  EXPECT_LE(std::stoi(Used.m_requests[0].m_deadline), 15000);
}

TEST_F(GatewayHostTest, Request_NoRoute_IsNotFound) {
  startAll();
  EXPECT_EQ(send(get("/none/")).m_status, 404U);
}

TEST_F(GatewayHostTest, Request_NoConfigurationYet_IsRefusedWithRetryAfter) {
  m_store.m_configuration.m_version = 0;
  addHost(0);
  const Answer Got = send(get("/web/"));
  EXPECT_EQ(Got.m_status, 503U);
  EXPECT_FALSE(Got.m_head["Retry-After"].empty());
}

// After the loss of all hosts, the requests to the first process that is back
// wait for its configuration instead of being refused.
TEST_F(GatewayHostTest, Request_ConfigurationArrivesInTime_IsServed) {
  m_policy.m_edge.m_startupTimeout = WaitTimeout;
  const std::uint64_t Version =
      std::exchange(m_store.m_configuration.m_version, 0);
  addHost(0);
  const std::shared_ptr<Answer> Out = std::make_shared<Answer>();
  const std::shared_ptr<bool> IsDone = std::make_shared<bool>(false);
  asio::co_spawn(m_context, exchange(get("/web/"), 0, Out, IsDone),
                 asio::detached);
  m_context.run_for(Millis(100));
  EXPECT_FALSE(*IsDone);
  m_store.m_configuration.m_version = Version;
  ASSERT_TRUE(runUntil([IsDone] { return *IsDone; }));
  EXPECT_EQ(Out->m_status, 200U);
}

// A host that was paused or lacks processor time reads requests whose clients
// have left.
TEST_F(GatewayHostTest,
       UnsafeRequest_ClientHasLeftBeforeTheRead_IsNotDispatched) {
  startAll();
  asio::ip::tcp::socket Client(m_context);
  Client.connect(m_addresses[0]);
  asio::write(Client, asio::buffer(post("/pay/", "card")));
  Client.close();
  EXPECT_EQ(send(get("/web/")).m_status, 200U);
  EXPECT_EQ(webRequests(), 1U);
}

TEST_F(GatewayHostTest, Request_OneServerRefuses_IsSentToTheOther) {
  m_web[0].m_script = ScriptedServer::refuse;
  startAll();
  for (int I = 0; I < 3; ++I)
    EXPECT_EQ(send(get("/web/")).m_status, 200U);
}

/// Answers with an additional header.
ScriptedServer::Script answerWithHeader(std::string Header) {
  return [Header](ScriptedServer::Stream &To,
                  const ReceivedRequest &Seen) -> asio::awaitable<bool> {
    std::string Text = ScriptedServer::okResponse(Seen.m_id, "hello");
    Text.insert(Text.find("\r\n") + 2, Header + "\r\n");
    co_return co_await ScriptedServer::send(To, std::move(Text));
  };
}

/// Refuses requests with a Retry-After header.
ScriptedServer::Script refuseWithRetryAfter(std::string Seconds) {
  return [Seconds](ScriptedServer::Stream &To,
                   const ReceivedRequest &Seen) -> asio::awaitable<bool> {
    std::string Text("HTTP/1.1 503 Busy\r\nTest-Not-Run: 1\r\nTest-Id: ");
    Text += Seen.m_id + "\r\nRetry-After: " + Seconds +
            "\r\nContent-Length: 0\r\n\r\n";
    co_return co_await ScriptedServer::send(To, std::move(Text));
  };
}

// The registry may list a leaving server as ready for some time.
TEST_F(GatewayHostTest, Answer_ServerAnnouncesLeaving_GetsNoFurtherRequest) {
  m_web[0].m_script = answerWithHeader("Test-Leaving: 1");
  m_web[1].m_script = answerWithHeader("Test-Leaving: 0");
  startAll();
  expectSingleRequest(m_web[0]);
}

TEST_F(GatewayHostTest, Answer_ServerAnnouncesLeaving_OtherHostsDrainIt) {
  m_web[0].m_script = answerWithHeader("Test-Leaving: 1");
  startAll(2);
  while (m_web[0].m_requests.empty())
    EXPECT_EQ(send(get("/web/"), 0).m_status, 200U);
  EXPECT_TRUE(runUntil(
      [this] { return m_hosts[1]->servers().at("web-0").m_isDraining; }));
}

TEST_F(GatewayHostTest, Refusal_RetryAfterIsSet_ServerGetsNoRequestMeanwhile) {
  m_web[0].m_script = refuseWithRetryAfter("30");
  startAll();
  expectSingleRequest(m_web[0]);
}

TEST_F(GatewayHostTest, Refusal_RetryAfterHasPassed_ServerGetsRequestsAgain) {
  m_web[0].m_script = refuseWithRetryAfter("0.2");
  m_web[1].m_script = refuseWithRetryAfter("30");
  startAll();
  EXPECT_EQ(send(get("/web/")).m_status, 503U);
  m_web[0].m_script = ScriptedServer::answerOk;
  EXPECT_TRUE(runUntil([this] { return send(get("/web/")).m_status == 200U; }));
  EXPECT_EQ(m_web[1].m_requests.size(), 1U);
}

TEST_F(GatewayHostTest,
       KeyedRequest_HolderSetsRetryAfter_IsRefusedWithThatTime) {
  startAll();
  EXPECT_TRUE(runUntil([this] {
    return send(get("/stock/", "Test-Key: 7\r\n")).m_status == 200U;
  }));
  const std::size_t Holder = m_stock[0].m_requests.empty() ? 1 : 0;
  const std::size_t Before = m_stock[Holder].m_requests.size();
  m_stock[Holder].m_script = refuseWithRetryAfter("3");
  const Answer Refused = send(get("/stock/", "Test-Key: 7\r\n"));
  EXPECT_EQ(Refused.m_status, 503U);
  const double After =
      std::stod(std::string(Refused.m_head[http::field::retry_after]));
  EXPECT_GT(After, 2.0);
  EXPECT_LE(After, 3.0);
  for (int I = 0; I < 5; ++I)
    EXPECT_EQ(send(get("/stock/", "Test-Key: 7\r\n")).m_status, 503U);
  EXPECT_EQ(m_stock[Holder].m_requests.size(), Before + 1);
}

TEST_F(GatewayHostTest, UnsafeRequest_AllServersRefuse_IsAnsweredAsNotRun) {
  setWeb(ScriptedServer::refuse);
  startAll();
  const Answer Got = send(post("/pay/", "card"));
  EXPECT_EQ(Got.m_status, 503U);
  EXPECT_FALSE(Got.m_head["Retry-After"].empty());
  EXPECT_EQ(webRequests(), 2U);
}

TEST_F(GatewayHostTest, UnsafeRequest_ConnectionBreaks_IsNotSentAgain) {
  setWeb([](ScriptedServer::Stream &,
            const ReceivedRequest &) -> asio::awaitable<bool> {
    co_return false;
  });
  startAll();
  EXPECT_EQ(send(post("/pay/", "card")).m_status, 502U);
  EXPECT_EQ(webRequests(), 1U);
}

TEST_F(GatewayHostTest, SafeRequest_AnswerIsIncomplete_IsSentAgain) {
  m_web[0].m_script = [](ScriptedServer::Stream &To,
                         const ReceivedRequest &Seen) -> asio::awaitable<bool> {
    std::string Text = ScriptedServer::okResponse(Seen.m_id, "whole answer");
    Text.resize(Text.size() - 3);
    co_await ScriptedServer::send(To, std::move(Text));
    co_return false;
  };
  startAll();
  for (int I = 0; I < 3; ++I) {
    const Answer Got = send(get("/web/"));
    EXPECT_TRUE(Got.m_isWhole);
    EXPECT_EQ(Got.m_body, "hello");
  }
}

TEST_F(GatewayHostTest, Answer_OtherRequestsAnswerComesFirst_OwnIsForwarded) {
  setWeb([](ScriptedServer::Stream &To,
            const ReceivedRequest &Seen) -> asio::awaitable<bool> {
    std::string Text = ScriptedServer::okResponse("id-0", "not yours");
    Text += ScriptedServer::okResponse(Seen.m_id, "yours");
    co_return co_await ScriptedServer::send(To, std::move(Text));
  });
  startAll();
  EXPECT_EQ(send(get("/web/")).m_body, "yours");
}

TEST_F(GatewayHostTest, Answer_HasExcessBytes_ConnectionIsNotReused) {
  setWeb([](ScriptedServer::Stream &To,
            const ReceivedRequest &Seen) -> asio::awaitable<bool> {
    std::string Text = ScriptedServer::okResponse(Seen.m_id, "yours");
    Text += ScriptedServer::okResponse(Seen.m_id, "again");
    co_return co_await ScriptedServer::send(To, std::move(Text));
  });
  startAll();
  for (int I = 0; I < 3; ++I)
    EXPECT_EQ(send(get("/web/")).m_body, "yours");
  EXPECT_EQ(m_web[0].m_connections + m_web[1].m_connections, 3U);
}

TEST_F(GatewayHostTest, Answer_EndsWithItsConnection_IsComplete) {
  setWeb([](ScriptedServer::Stream &To,
            const ReceivedRequest &Seen) -> asio::awaitable<bool> {
    std::string Text("HTTP/1.1 200 OK\r\nTest-Id: ");
    Text += Seen.m_id;
    Text += "\r\n\r\nunframed";
    co_await ScriptedServer::send(To, std::move(Text));
    boost::system::error_code Ignored;
    To.socket().shutdown(asio::ip::tcp::socket::shutdown_send, Ignored);
    co_return false;
  });
  startAll();
  const Answer Got = send(get("/web/"));
  EXPECT_EQ(Got.m_body, "unframed");
  EXPECT_TRUE(Got.m_isWhole);
}

// A slow client takes long to read an answer. If the slot were held until its
// end, it would be taken long after the server has done its work.
TEST_F(GatewayHostTest, Slot_AnswerHasBegun_IsFree) {
  bool MayEnd = false;
  std::size_t Begun = 0;
  setWeb([&](ScriptedServer::Stream &To,
             const ReceivedRequest &Seen) -> asio::awaitable<bool> {
    std::string Text = ScriptedServer::okResponse(Seen.m_id, "hello");
    const std::string End = Text.substr(Text.size() - 2);
    Text.resize(Text.size() - 2);
    co_await ScriptedServer::send(To, std::move(Text));
    ++Begun;
    while (!MayEnd)
      co_await sleepFor(Millis(5));
    co_return co_await ScriptedServer::send(To, End);
  });
  startAll();
  // Two servers with two slots each: a fifth request would have to wait.
  std::vector<std::shared_ptr<Answer>> Answers;
  std::vector<std::shared_ptr<bool>> Done;
  for (int I = 0; I < 6; ++I) {
    Answers.push_back(std::make_shared<Answer>());
    Done.push_back(std::make_shared<bool>(false));
    asio::co_spawn(m_context,
                   exchange(get("/web/"), 0, Answers.back(), Done.back()),
                   asio::detached);
  }
  EXPECT_TRUE(runUntil([&Begun] { return Begun == 6; }));
  MayEnd = true;
  ASSERT_TRUE(runUntil([&Done] {
    return std::all_of(Done.begin(), Done.end(),
                       [](const auto &Item) { return *Item; });
  }));
  for (const auto &Item : Answers)
    EXPECT_EQ(Item->m_body, "hello");
}

// A gateway's 503 guarantees that the request has not run; a server's 503 does
// not, and becomes 502.
TEST_F(GatewayHostTest,
       UnsafeRequest_ServerFailsWith503_IsNotAnsweredAsNotRun) {
  setWeb([](ScriptedServer::Stream &To,
            const ReceivedRequest &Seen) -> asio::awaitable<bool> {
    std::string Text("HTTP/1.1 503 Failed\r\nTest-Id: ");
    Text += Seen.m_id;
    Text += "\r\nContent-Length: 0\r\n\r\n";
    co_return co_await ScriptedServer::send(To, std::move(Text));
  });
  startAll();
  EXPECT_EQ(send(post("/pay/", "card")).m_status, 502U);
  EXPECT_EQ(webRequests(), 1U);
}

TEST_F(GatewayHostTest, Request_BothBodyLengths_IsRefusedAndClosed) {
  startAll();
  const Answer Got =
      send("POST /pay/ HTTP/1.1\r\nHost: shop.example\r\nTest-Id: id-1\r\n"
           "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
  EXPECT_EQ(Got.m_status, 400U);
  EXPECT_EQ(Got.m_head[http::field::connection], "close");
  EXPECT_EQ(webRequests(), 0U);
}

TEST_F(GatewayHostTest, Request_ChunkedBody_ArrivesWhole) {
  startAll();
  const Answer Got = send(
      "POST /pay/ HTTP/1.1\r\nHost: shop.example\r\nTest-Id: id-1\r\n"
      "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
  EXPECT_EQ(Got.m_status, 200U);
  const ScriptedServer &Used =
      m_web[0].m_requests.empty() ? m_web[1] : m_web[0];
  EXPECT_EQ(Used.m_requests[0].m_body, "abcde");
}

TEST_F(GatewayHostTest, Request_LongBodyAndAnswer_AreForwardedWhole) {
  const std::string Long(3U << 20U, 'x');
  setWeb([&Long](ScriptedServer::Stream &To,
                 const ReceivedRequest &Seen) -> asio::awaitable<bool> {
    std::string Text = ScriptedServer::okResponse(Seen.m_id, Long);
    co_return co_await ScriptedServer::send(To, std::move(Text));
  });
  startAll();
  const Answer Got = send(post("/pay/", Long));
  EXPECT_TRUE(Got.m_isWhole);
  EXPECT_EQ(Got.m_body.size(), Long.size());
  const ScriptedServer &Used =
      m_web[0].m_requests.empty() ? m_web[1] : m_web[0];
  EXPECT_EQ(Used.m_requests[0].m_body.size(), Long.size());
}

TEST_F(GatewayHostTest, Request_ServerIsSilent_IsAnsweredAtRouteTimeout) {
  m_store.m_configuration.m_routes[1].m_timeout = Millis(200);
  setWeb([](ScriptedServer::Stream &,
            const ReceivedRequest &) -> asio::awaitable<bool> {
    co_await sleepFor(WaitTimeout);
    co_return false;
  });
  startAll();
  EXPECT_EQ(send(post("/pay/", "card")).m_status, 504U);
}

/// Servers that send an answer without end until the gateway closes the
/// connection.
class EndlessAnswerTest : public GatewayHostTest {
protected:
  EndlessAnswerTest() {
    for (Route &Item : m_store.m_configuration.m_routes)
      Item.m_timeout = Millis(400);
  }

  /// Sends \p Head with the request's id, then \p Piece repeatedly.
  void sendEndlessly(std::string Head, std::string Piece,
                     Millis Pause = Millis(0)) {
    setWeb([this, Head, Piece,
            Pause](ScriptedServer::Stream &To,
                   const ReceivedRequest &Seen) -> asio::awaitable<bool> {
      std::string Text("HTTP/1.1 200 OK\r\nTest-Id: ");
      Text += Seen.m_id;
      Text += "\r\n";
      Text += Head;
      bool IsOpen = co_await ScriptedServer::send(To, std::move(Text));
      while (IsOpen) {
        m_sentBytes += Piece.size();
        if (Pause > Millis(0))
          co_await sleepFor(Pause);
        std::string Copy = Piece;
        IsOpen = co_await ScriptedServer::send(To, std::move(Copy));
      }
      ++m_closed;
      co_return false;
    });
  }

  /// Expects that the client gets no whole answer, that the gateway closes the
  /// connection to the server, and that it serves further requests.
  void expectNoWholeAnswer() {
    startAll();
    const Answer Got = send(post("/pay/", "card"));
    EXPECT_FALSE(Got.m_isWhole && Got.m_status == 200);
    EXPECT_TRUE(runUntil([this] { return m_closed > 0; }));
    setWeb(ScriptedServer::answerOk);
    EXPECT_EQ(send(get("/web/")).m_status, 200U);
  }

  std::size_t m_sentBytes = 0;
  std::size_t m_closed = 0;
};

TEST_F(EndlessAnswerTest, Head_FullSpeed_EndsAtItsLimit) {
  sendEndlessly("", "X-More: " + std::string(1000, 'x') + "\r\n");
  expectNoWholeAnswer();
  // The sockets buffer data beyond the limit of the head.
  EXPECT_LT(m_sentBytes, 16U << 20U);
}

TEST_F(EndlessAnswerTest, Head_Slow_EndsAtTheTimeout) {
  sendEndlessly("", "X", Millis(20));
  expectNoWholeAnswer();
}

TEST_F(EndlessAnswerTest, InterimAnswers_Endless_EndAtTheTimeout) {
  setWeb([this](ScriptedServer::Stream &To,
                const ReceivedRequest &) -> asio::awaitable<bool> {
    bool IsOpen = true;
    while (IsOpen) {
      std::string Text("HTTP/1.1 100 Continue\r\n\r\n");
      IsOpen = co_await ScriptedServer::send(To, std::move(Text));
    }
    ++m_closed;
    co_return false;
  });
  expectNoWholeAnswer();
}

TEST_F(EndlessAnswerTest, Body_FullSpeed_EndsAtTheTimeout) {
  sendEndlessly("\r\n", std::string(16U << 10U, 'x'));
  expectNoWholeAnswer();
}

TEST_F(EndlessAnswerTest, Body_Slow_EndsAtTheTimeout) {
  sendEndlessly("Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", Millis(20));
  expectNoWholeAnswer();
}

// The parser reads the line before a chunk as a whole. Without a limit, the
// gateway would buffer a line of any length.
TEST_F(EndlessAnswerTest, ChunkLine_FullSpeed_EndsAtItsLimit) {
  for (Route &Item : m_store.m_configuration.m_routes)
    Item.m_timeout = Millis(20000);
  sendEndlessly("Transfer-Encoding: chunked\r\n\r\n5;",
                std::string(16U << 10U, 'x'));
  expectNoWholeAnswer();
  EXPECT_LT(m_sentBytes, 16U << 20U);
}

TEST_F(EndlessAnswerTest, Body_ClientDisconnects_ServerConnectionIsClosed) {
  for (Route &Item : m_store.m_configuration.m_routes)
    Item.m_timeout = Millis(20000);
  sendEndlessly("\r\n", std::string(16U << 10U, 'x'));
  startAll();
  asio::ip::tcp::socket Client(m_context);
  Client.connect(m_addresses[0]);
  asio::write(Client, asio::buffer(get("/web/")));
  ASSERT_TRUE(runUntil([this] { return m_sentBytes > (1U << 20U); }));
  Client.close();
  EXPECT_TRUE(runUntil([this] { return m_closed > 0; }));
}

TEST_F(GatewayHostTest,
       SafeRequest_ClientDisconnects_ServerConnectionIsClosed) {
  bool IsDisconnected = false;
  setWeb([&IsDisconnected](ScriptedServer::Stream &To,
                           const ReceivedRequest &) -> asio::awaitable<bool> {
    std::string Rest(1, '\0');
    const auto [Error, Count] =
        co_await To.async_read_some(asio::buffer(Rest), UseTuple);
    IsDisconnected = Error.failed();
    co_return false;
  });
  startAll();
  asio::ip::tcp::socket Client(m_context);
  Client.connect(m_addresses[0]);
  asio::write(Client, asio::buffer(get("/web/")));
  ASSERT_TRUE(runUntil([this] { return webRequests() == 1; }));
  Client.close();
  EXPECT_TRUE(runUntil([&IsDisconnected] { return IsDisconnected; }));
}

TEST_F(GatewayHostTest, Stop_RequestIsRunning_IsAnsweredAndConnectionClosed) {
  bool MayAnswer = false;
  setWeb([&MayAnswer](ScriptedServer::Stream &To,
                      const ReceivedRequest &Seen) -> asio::awaitable<bool> {
    while (!MayAnswer)
      co_await sleepFor(Millis(5));
    co_return co_await ScriptedServer::answerOk(To, Seen);
  });
  startAll();
  const std::shared_ptr<Answer> Got = std::make_shared<Answer>();
  const std::shared_ptr<bool> IsDone = std::make_shared<bool>(false);
  asio::co_spawn(m_context, exchange(get("/web/"), 0, Got, IsDone),
                 asio::detached);
  ASSERT_TRUE(runUntil([this] { return webRequests() == 1; }));
  bool IsStopped = false;
  m_hosts[0]->stop([&IsStopped] { IsStopped = true; });
  EXPECT_FALSE(m_hosts[0]->isReady());
  MayAnswer = true;
  ASSERT_TRUE(runUntil([&] { return *IsDone && IsStopped; }));
  EXPECT_EQ(Got->m_status, 200U);
  EXPECT_EQ(Got->m_head[http::field::connection], "close");
}

// Without a refusal, a late request could wait for a slot until the process
// ends, and its connection would break.
TEST_F(GatewayHostTest, Stop_RequestArrivesLate_IsRefusedAsNotRun) {
  m_policy.m_refuseNewAfter = Millis(0);
  startAll();
  const std::shared_ptr<Answer> Got = std::make_shared<Answer>();
  m_hosts[0]->stop([] {});
  ASSERT_TRUE(runUntil([&] {
    *Got = send(get("/web/"));
    return Got->m_status == 503;
  }));
  EXPECT_EQ(Got->m_head[http::field::connection], "close");
  EXPECT_FALSE(Got->m_head["Retry-After"].empty());
}

// A follower must not take a long time without changes for an outage of the
// store, in which it would keep a server that has left. A failed call of the
// reader, which shortens its reported availability, must not change that.
TEST_F(GatewayHostTest,
       Directory_RowRemovedAfterLongQuietTime_IsRemovedOnAllHosts) {
  m_policy.m_feed.m_directory.m_minOutage = Millis(4000);
  m_policy.m_feed.m_directory.m_returnGrace = std::chrono::hours(1);
  startAll(2);
  const auto Wait = [this](Millis Time) {
    const TimePoint End = BootClock::now() + Time;
    return runUntil([End] { return BootClock::now() > End; });
  };
  ASSERT_TRUE(Wait(m_policy.m_feed.m_directory.m_minOutage));
  m_store.m_failsNextWait = true;
  ASSERT_TRUE(Wait(Millis(1500)));
  m_store.m_servers.erase(m_store.m_servers.begin());
  EXPECT_TRUE(runUntil([this] {
    return std::all_of(m_hosts.begin(), m_hosts.end(), [](const auto &Item) {
      return Item->servers().size() == 3;
    });
  }));
}

TEST_F(GatewayHostTest, KeyedRequest_TwoHosts_GoesToTheHolder) {
  startAll(2);
  ASSERT_TRUE(runUntil([this] {
    return send(get("/stock/", "Test-Key: 1\r\n")).m_status == 200;
  }));
  for (int Host = 0; Host < 2; ++Host)
    EXPECT_EQ(send(get("/stock/", "Test-Key: 65535\r\n"), Host).m_status, 200U);
  std::set<std::string> Holders;
  for (const RangeRecord &Range : m_store.m_ownership.m_record.m_ranges)
    Holders.insert(Range.m_owner.m_id);
  EXPECT_EQ(Holders.size(), 2U);
  EXPECT_FALSE(m_stock[0].m_requests.empty());
  EXPECT_FALSE(m_stock[1].m_requests.empty());
}

// After the loss of all hosts, the servers still hold their keys until a host
// has taken the term over.
TEST_F(GatewayHostTest, KeyedRequest_NoGranterYet_GoesToTheRecordedHolder) {
  m_store.m_acceptsWrites = false;
  m_store.m_ownership = {
      {4, "gone", 1, {}, {{0, 65535, {"stock-0", 1}, 70, {}, 0}}}, {0, 9}, 0};
  startAll();
  EXPECT_EQ(send(get("/stock/", "Test-Key: 7\r\n")).m_status, 200U);
  EXPECT_EQ(m_stock[0].m_requests.size(), 1U);
  EXPECT_EQ(m_store.m_ownership.m_record.m_term, 4U);
}

TEST_F(GatewayHostTest, KeyedRequest_NoValidKey_IsBadRequest) {
  startAll();
  EXPECT_EQ(send(get("/stock/")).m_status, 400U);
  EXPECT_EQ(send(get("/stock/", "Test-Key: 65536\r\n")).m_status, 400U);
}

// A granter that is about to stop moves keys after the next one has read the
// record. The takeover must not overwrite the newer record.
TEST_F(GatewayHostTest, Takeover_RecordChangesAfterTheRead_NewerRecordIsUsed) {
  const OwnershipRecord Read{
      4, "gone", 1, {}, {{0, 65535, {"stock-0", 1}, 70, {}, 0}}};
  m_store.m_ownership = {Read, {0, 9}, 0};
  // The first read looks up the holders only, the second is the takeover's.
  m_store.m_onOwnershipRead = [this] {
    m_store.m_onOwnershipRead = [this] {
      m_store.m_ownership.m_record.m_ranges[0] = {0,  65535, {"stock-1", 1},
                                                  71, {},    0};
      m_store.m_ownership.m_version = {0, 10};
    };
  };
  startAll();
  ASSERT_TRUE(runUntil([this] { return !m_keys.m_calls.empty(); }));
  EXPECT_EQ(m_keys.m_calls[0].m_server.m_id, "stock-1");
  EXPECT_FALSE(m_keys.m_calls[0].m_isRelease);
}

TEST_F(GatewayHostTest, StoreIsUnavailable_RequestsAreServed) {
  startAll();
  ASSERT_EQ(send(get("/web/")).m_status, 200U);
  m_store.m_isUp = false;
  for (int I = 0; I < 5; ++I)
    EXPECT_EQ(send(get("/web/")).m_status, 200U);
}

// A host restarts while the store is unavailable.
TEST_F(GatewayHostTest, StoreIsUnavailable_SecondHostStarts_ServesByPeerState) {
  startAll();
  ASSERT_TRUE(runUntil([this] {
    return send(get("/stock/", "Test-Key: 1\r\n")).m_status == 200;
  }));
  m_store.m_isUp = false;
  GatewayHost &Second = addHost(1);
  ASSERT_TRUE(runUntil([&Second] { return Second.isReady(); }));
  EXPECT_EQ(send(get("/web/"), 1).m_status, 200U);
  EXPECT_EQ(send(get("/stock/", "Test-Key: 1\r\n"), 1).m_status, 200U);
}

/// Enough hosts for a relay. Only the first reads the store at its start.
class ManyHostsTest : public GatewayHostTest {
protected:
  static constexpr int Count = 10;

  ManyHostsTest() {
    m_seedIps = {"127.0.0.1"};
    m_policy.m_feed.m_minStartDelay = WaitTimeout;
    m_policy.m_feed.m_maxStartDelay = WaitTimeout;
    m_policy.m_feed.m_registrationInterval = Millis(200);
  }

  bool allHostsKnow(std::size_t Servers) {
    return runUntil([this, Servers] {
      return std::all_of(m_hosts.begin(), m_hosts.end(),
                         [Servers](const auto &Item) {
                           return Item->servers().size() == Servers;
                         });
    });
  }
};

// When a whole site starts, not every host should read the store.
TEST_F(ManyHostsTest, Start_OneHostReads_AllAreReadyAndRegistered) {
  startAll(Count);
  EXPECT_TRUE(runUntil([this] { return m_store.m_hosts.size() >= Count; }));
  EXPECT_LT(m_store.m_hostWrites, Count);
  EXPECT_LT(m_store.m_serverReads, Count);
  std::set<std::string> Names;
  for (const HostInfo &Item : m_store.m_hosts)
    Names.insert(Item.m_name);
  EXPECT_EQ(Names.size(), Count);
}

TEST_F(ManyHostsTest, Listing_ServerLeaves_ReachesAllHosts) {
  startAll(Count);
  ASSERT_TRUE(allHostsKnow(4));
  m_store.m_servers.pop_back();
  EXPECT_TRUE(allHostsKnow(3));
}

TEST_F(ManyHostsTest, Configuration_Changes_ReachesAllHosts) {
  startAll(Count);
  m_store.m_configuration.m_version = 9;
  m_store.m_configuration.m_routes.push_back(
      makeRoute("new", "/new/", RequestKind::Safe, "web"));
  for (int Host = 0; Host < Count; ++Host)
    EXPECT_TRUE(runUntil([this, Host] {
      return send(get("/new/"), Host).m_status == 200;
    })) << Host;
}

// Hosts that read the store, relay or coordinate stop one after the other.
TEST_F(ManyHostsTest, ReadersAndRelays_StopInTurn_OtherHostsGetChanges) {
  m_policy.m_refuseNewAfter = Millis(50);
  m_policy.m_closeIdleAfter = Millis(100);
  startAll(Count);
  ASSERT_TRUE(allHostsKnow(4));
  for (int I = 0; I < Count - 3; ++I) {
    bool IsStopped = false;
    m_hosts[I]->stop([&IsStopped] { IsStopped = true; });
    ASSERT_TRUE(runUntil([&IsStopped] { return IsStopped; }));
  }
  m_store.m_servers.pop_back();
  EXPECT_TRUE(runUntil([this] {
    return std::all_of(m_hosts.end() - 3, m_hosts.end(), [](const auto &Item) {
      return Item->servers().size() == 3;
    });
  }));
}

/// One server of each service is in the hosts' own zone, which is evacuated.
class EvacuationTest : public GatewayHostTest {
protected:
  EvacuationTest() {
    for (ServerRow &Row : m_store.m_servers)
      if (Row.m_id == "web-1" || Row.m_id == "stock-1")
        Row.m_entry.m_zone = "zone-b";
    m_lostStore.m_isUp = false;
    m_lostStore.m_configuration = m_store.m_configuration;
  }

  bool allHostsKnow(bool IsEvacuated) {
    return runUntil([this, IsEvacuated] {
      return std::all_of(
          m_hosts.begin(), m_hosts.end(), [IsEvacuated](const auto &Item) {
            return Item->servers().at("web-0").m_isEvacuated == IsEvacuated;
          });
    });
  }

  std::size_t requestsInOwnZone() const {
    return m_web[0].m_requests.size() + m_stock[0].m_requests.size();
  }

  /// Sends requests to \p Host, one after the other, until the test ends.
  asio::awaitable<void> loadHost(int Host) {
    while (true) {
      const std::shared_ptr<Answer> Out = std::make_shared<Answer>();
      const std::shared_ptr<bool> IsDone = std::make_shared<bool>(false);
      std::string Bytes = m_ended[Host] % 2 == 0
                              ? get("/web/")
                              : get("/stock/", "Test-Key: 1\r\n");
      co_await exchange(std::move(Bytes), Host, Out, IsDone);
      ++m_ended[Host];
      ++m_answers[Out->m_status];
    }
  }

  /// Runs until each host under load has answered two more requests.
  bool answersMore() {
    const std::map<int, std::size_t> Before = m_ended;
    return runUntil([&] {
      return std::all_of(Before.begin(), Before.end(),
                         [this](const auto &Item) {
                           return m_ended[Item.first] >= Item.second + 2;
                         });
    });
  }

  FakeStore m_lostStore; ///< Cannot be read by the hosts that use it.
  std::map<int, std::size_t> m_ended;        ///< Requests by host.
  std::map<unsigned, std::size_t> m_answers; ///< By status.
};

// The zone must get no request from any host, also from one that cannot read
// the store, and its keys must move to the other zone.
TEST_F(EvacuationTest, Evacuation_UnderLoad_OtherZoneServesUntilItEnds) {
  startAll(2);
  m_storeOfNext = &m_lostStore;
  m_seedIps = {"127.0.0.1"};
  addHost(2);
  ASSERT_TRUE(runUntil([this] { return m_hosts[2]->isReady(); }));
  for (int Host = 0; Host < 3; ++Host)
    asio::co_spawn(m_context, loadHost(Host), asio::detached);
  ASSERT_TRUE(runUntil([this] {
    return !m_web[0].m_requests.empty() && !m_stock[0].m_requests.empty();
  }));
  m_store.evacuate({"zone-a"});
  ASSERT_TRUE(allHostsKnow(true));
  ASSERT_TRUE(answersMore()); // Requests that were sent before have ended.
  const std::size_t Before = requestsInOwnZone();
  const std::size_t Moved = m_stock[1].m_requests.size();
  ASSERT_TRUE(
      runUntil([&] { return m_stock[1].m_requests.size() > Moved + 20; }));
  EXPECT_EQ(requestsInOwnZone(), Before);
  EXPECT_TRUE(std::any_of(
      m_keys.m_calls.begin(), m_keys.m_calls.end(), [](const GrantCall &Item) {
        return Item.m_isRelease && Item.m_server.m_id == "stock-0";
      }));
  for (const auto &[Status, Count] : m_answers)
    EXPECT_TRUE(Status == 200 || Status == 503) << Status;
  m_store.evacuate({});
  ASSERT_TRUE(allHostsKnow(false));
  EXPECT_TRUE(runUntil([&] { return requestsInOwnZone() > Before; }));
}

TEST_F(EvacuationTest, StoreIsUnavailable_StartingHost_KnowsTheEvacuation) {
  startAll();
  m_store.evacuate({"zone-a"});
  ASSERT_TRUE(allHostsKnow(true));
  m_store.m_isUp = false;
  GatewayHost &Second = addHost(1);
  ASSERT_TRUE(runUntil([&Second] { return Second.isReady(); }));
  for (int I = 0; I < 10; ++I)
    EXPECT_EQ(send(get("/web/"), 1).m_status, 200U);
  EXPECT_EQ(m_web[0].m_requests.size(), 0U);
}

// Older state may arrive later, e.g. from a host that was cut off.
TEST_F(EvacuationTest, OlderState_ArrivesLater_IsIgnored) {
  startAll();
  m_store.evacuate({"zone-a"});
  ASSERT_TRUE(allHostsKnow(true));
  m_store.m_evacuations = {{0, 0}, {}};
  const std::size_t Reads = m_store.m_serverReads;
  ASSERT_TRUE(runUntil([&] { return m_store.m_serverReads > Reads + 1; }));
  EXPECT_TRUE(m_hosts[0]->servers().at("web-0").m_isEvacuated);
  EXPECT_EQ(send(get("/web/")).m_status, 200U);
  EXPECT_EQ(m_web[0].m_requests.size(), 0U);
}

TEST_F(EvacuationTest, AllZonesEvacuated_Request_IsRefused) {
  startAll();
  m_store.evacuate({"zone-a", "zone-b"});
  ASSERT_TRUE(allHostsKnow(true));
  EXPECT_EQ(send(get("/web/")).m_status, 503U);
  EXPECT_EQ(send(get("/stock/", "Test-Key: 1\r\n")).m_status, 503U);
  EXPECT_EQ(webRequests(), 0U);
}

TEST(MayDispatchAgainTest, UnsafeRequest_MayHaveRun_IsFalse) {
  for (DispatchResult Result :
       {DispatchResult::ConnectionLost, DispatchResult::TimedOut,
        DispatchResult::Failed, DispatchResult::Withdrawn})
    EXPECT_FALSE(mayRetry(RequestKind::Unsafe, Result, true, 1, 5));
  EXPECT_FALSE(
      mayRetry(RequestKind::Unsafe, DispatchResult::Refused, true, 1, 5));
  EXPECT_TRUE(
      mayRetry(RequestKind::Unsafe, DispatchResult::Refused, false, 1, 5));
}

TEST(MayDispatchAgainTest, SafeRequest_NoAttemptsLeft_IsFalse) {
  EXPECT_TRUE(
      mayRetry(RequestKind::Safe, DispatchResult::ConnectionLost, true, 1, 2));
  EXPECT_FALSE(
      mayRetry(RequestKind::Safe, DispatchResult::ConnectionLost, true, 2, 2));
}

} // namespace
} // namespace tamarackdrum::gateway

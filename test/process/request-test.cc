/// \file
/// Outcomes of requests to servers that misbehave; docs/OUTCOMES.md names
/// these tests.

#include "fake-server.h"
#include "tamarackdrum/error.h"
#include "tamarackdrum/planner.h"
#include "tamarackdrum/request-proxy.h"

#include <gtest/gtest.h>

#include <fstream>
#include <future>

namespace tamarackdrum::test {
namespace {

using boost::beast::http::verb;
using Headers = std::map<std::string, std::string>;

constexpr Millis LongDeadline{20000};
constexpr Millis ShortDeadline{300};

/// A proxy with its own listener, and classes of fake servers.
class RequestTest : public testing::Test {
protected:
  ~RequestTest() override { stop(); }

  void addClass(const std::string &Name, bool IsOnceOnly,
                const std::vector<std::string> &Servers,
                Millis Deadline = LongDeadline, bool IsKeyed = false) {
    ClassTarget Target;
    Target.m_name = Name;
    Target.m_keyed = IsKeyed;
    Target.m_onceOnly = IsOnceOnly;
    Target.m_idempotent = !IsOnceOnly;
    Target.m_deadline = Deadline;
    m_view.m_classes.push_back(Target);
    for (const std::string &Address : Servers)
      m_view.m_servers.push_back(
          {Name + "-" + std::to_string(m_view.m_servers.size()), Name,
           Address});
  }

  void start(HttpClientLimits Limits = {}) {
    m_view.m_generation = 1;
    m_router.install(assignSlices(m_view));
    m_router.setLease(BootClock::now() + Millis(600000), 1);
    m_client.emplace(Limits);
    m_poison.emplace(m_context, PoisonPolicy(),
                     PeerAccess{*m_client, [] { return ViewPtr(); }, {}, {}},
                     [](Endpoint) -> boost::asio::awaitable<bool> {
                       co_return false; // Connections of probes would count.
                     });
    m_proxy.emplace(m_router, *m_client, m_health, *m_poison);
    m_server.emplace(
        m_context, Endpoint(boost::asio::ip::address_v4::loopback(), 0),
        HttpLimits{},
        [this](const HttpRequest &Call) { return m_proxy->onCall(Call); });
    m_server->start();
    m_thread = std::thread([this] { m_context.run(); });
  }

  void stop() {
    m_guard.reset();
    m_context.stop();
    if (m_thread.joinable())
      m_thread.join();
  }

  HttpResponse call(const std::string &Target, const Headers &Extra = {},
                    const std::string &Body = {}) {
    return fetch(m_server->address().port(), verb::post, Target, Body, Extra,
                 Millis(60000))
        .value();
  }

  /// Calls and returns "outcome reason".
  std::string outcome(const std::string &Target, const Headers &Extra = {},
                      const std::string &Body = {}) {
    const HttpResponse Answer = call(Target, Extra, Body);
    return std::string(Answer["Tamarack-Outcome"]) + " " +
           std::string(Answer["Tamarack-Reason"]);
  }

  boost::asio::io_context m_context{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      m_guard = boost::asio::make_work_guard(m_context);
  View m_view;
  Router m_router;
  ServerHealth m_health;
  std::optional<HttpClient> m_client;
  std::optional<PoisonGuard> m_poison;
  std::optional<RequestProxy> m_proxy;
  std::optional<HttpServer> m_server;
  std::thread m_thread;
};

/// A script that answers each request with its target.
void echoTarget(FakeConnection &Connection) {
  while (const std::optional<HttpRequest> Request = Connection.read())
    Connection.write(answerText(std::string(Request->target())));
}

/// Answers each request with its deadline.
void echoDeadline(FakeConnection &Connection) {
  while (const std::optional<HttpRequest> Request = Connection.read())
    Connection.write(answerText(std::string((*Request)["Tamarack-Deadline"])));
}

/// A script that answers the first request of a connection and hangs up.
FakeServer::Script answerOnce(const std::string &Text) {
  return [Text](FakeConnection &Connection) {
    if (Connection.read())
      Connection.write(Text);
  };
}

TEST_F(RequestTest, Connect_Refused_IsNotRun) {
  addClass("find", false, {"127.0.0.1:" + std::to_string(freePort())});
  start();
  const HttpResponse Answer = call("/find/a");
  EXPECT_EQ(Answer["Tamarack-Outcome"], "not-run");
  EXPECT_EQ(Answer["Tamarack-Reason"], "connect-failed");
  EXPECT_EQ(Answer["Tamarack-Server"], "find-0");
  EXPECT_EQ(Answer["Retry-After"], "1");
  EXPECT_EQ(Answer["Tamarack-Retry-After-Ms"], "1000");
}

TEST_F(RequestTest, Pool_Exhausted_IsNotRun) {
  std::promise<void> Arrived;
  std::promise<void> Release;
  FakeServer Server([&](FakeConnection &Connection) {
    Connection.read();
    Arrived.set_value();
    Release.get_future().wait();
    Connection.write(answerText("late"));
  });
  addClass("find", false, {Server.address()});
  HttpClientLimits Limits;
  Limits.m_maxOpenPerPeer = 1;
  start(Limits);
  std::future<HttpResponse> First =
      std::async(std::launch::async, [this] { return call("/find/a"); });
  Arrived.get_future().wait();
  EXPECT_EQ(outcome("/find/b"), "not-run pool-exhausted");
  Release.set_value();
  EXPECT_EQ(First.get().body(), "late");
}

TEST_F(RequestTest, Send_CutOff_IsUnknown) {
  FakeServer Server([](FakeConnection &) {});
  addClass("order", true, {Server.address()});
  start();
  const std::string Body(1000000, 'x');
  EXPECT_EQ(outcome("/order/a", {{"Idempotency-Key", "1"}}, Body).substr(0, 8),
            "unknown ");
  EXPECT_EQ(Server.accepted(), 1);
}

TEST_F(RequestTest, Answer_Missing_IsUnknownAndOnceOnlyIsNotRepeated) {
  FakeServer Server([](FakeConnection &Connection) { Connection.read(); });
  addClass("order", true, {Server.address()});
  start();
  for (int I = 1; I <= 30; ++I) {
    const Headers Id{{"Idempotency-Key", std::to_string(I)}};
    EXPECT_EQ(outcome("/order/a", Id), "unknown reply-torn");
    EXPECT_EQ(Server.accepted(), I);
  }
}

TEST_F(RequestTest, Answer_Short_IsUnknown) {
  FakeServer Server(
      answerOnce("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nshort"));
  addClass("order", true, {Server.address()});
  start();
  EXPECT_EQ(outcome("/order/a", {{"Idempotency-Key", "1"}}),
            "unknown reply-torn");
}

TEST_F(RequestTest, Server_Sheds_IsNotRunWithItsTime) {
  FakeServer Server(answerOnce(
      answerText("", "X-Not-Run: shed\r\nRetry-After: 7\r\n", "503 Busy")));
  addClass("find", false, {Server.address()});
  start();
  const HttpResponse Answer = call("/find/a");
  EXPECT_EQ(Answer.result_int(), 503U);
  EXPECT_EQ(Answer["Tamarack-Outcome"], "not-run");
  EXPECT_EQ(Answer["Tamarack-Reason"], "server-refused");
  EXPECT_EQ(Answer["Tamarack-Retry-After-Ms"], "7000");
}

TEST_F(RequestTest, Server_CancelsTheRun_IsUnknown) {
  FakeServer Server(answerOnce(answerText("", "", "504 Cancelled")));
  addClass("order", true, {Server.address()});
  start();
  EXPECT_EQ(outcome("/order/a", {{"Idempotency-Key", "1"}}),
            "unknown server-cancelled");
}

TEST_F(RequestTest, Answer_AfterTheDeadline_ReachesNoOtherCaller) {
  std::atomic<int> Requests{0};
  std::promise<void> Late;
  FakeServer Server([&](FakeConnection &Connection) {
    if (Requests++ > 0)
      return echoTarget(Connection);
    Connection.read();
    Late.get_future().wait();
    Connection.write(answerText("late"));
    Connection.read();
  });
  addClass("order", true, {Server.address()}, ShortDeadline);
  addClass("find", false, {Server.address()});
  start();
  EXPECT_EQ(outcome("/order/a", {{"Idempotency-Key", "1"}}),
            "unknown timed-out");
  EXPECT_EQ(m_router.inFlight(), 1);
  Late.set_value();
  for (int I = 0; I < 10; ++I) {
    const std::string Target = "/find/" + std::to_string(I);
    EXPECT_EQ(call(Target).body(), Target);
  }
  EXPECT_EQ(Server.accepted(), 2);
}

TEST_F(RequestTest, Server_AnswersTwice_EachCallerGetsItsOwn) {
  FakeServer Server([](FakeConnection &Connection) {
    while (const std::optional<HttpRequest> Request = Connection.read()) {
      const std::string Text = answerText(std::string(Request->target()));
      Connection.write(Text + Text);
    }
  });
  addClass("find", false, {Server.address()});
  start();
  for (int I = 0; I < 20; ++I) {
    const std::string Target = "/find/" + std::to_string(I);
    EXPECT_EQ(call(Target).body(), Target);
  }
}

TEST_F(RequestTest, Server_SendsASecondAnswerLater_ItsConnectionsEnd) {
  std::promise<void> Go;
  std::promise<void> Sent;
  std::atomic<int> Connections{0};
  FakeServer Server([&](FakeConnection &Connection) {
    if (Connections++ > 0)
      return echoTarget(Connection);
    Connection.read();
    Connection.write(answerText("first"));
    Go.get_future().wait();
    Connection.write(answerText("second"));
    Sent.set_value();
    Connection.read();
  });
  addClass("find", false, {Server.address()});
  start();
  EXPECT_EQ(call("/find/a").body(), "first");
  Go.set_value();
  Sent.get_future().wait();
  EXPECT_EQ(call("/find/b").body(), "/find/b");
  EXPECT_EQ(call("/find/c").body(), "/find/c");
  EXPECT_EQ(Server.accepted(), 3);
}

TEST_F(RequestTest, Answer_OfAnotherExchange_IsUnknown) {
  FakeServer Server([](FakeConnection &Connection) {
    const std::optional<HttpRequest> Request = Connection.read();
    Connection.write(answerText("swapped", "Tamarack-Exchange: 999999\r\n"));
  });
  addClass("order", true, {Server.address()});
  start();
  EXPECT_EQ(outcome("/order/a", {{"Idempotency-Key", "1"}}),
            "unknown reply-torn");
}

TEST_F(RequestTest, Answers_OutOfOrder_ReachTheirOwnCallers) {
  std::promise<void> SecondDone;
  std::shared_future<void> Released = SecondDone.get_future().share();
  std::promise<void> FirstHere;
  FakeServer Server([&](FakeConnection &Connection) {
    const std::optional<HttpRequest> Request = Connection.read();
    if (Request->target() == "/find/first") {
      FirstHere.set_value();
      Released.wait();
    }
    Connection.write(answerText(std::string(Request->target())));
  });
  addClass("find", false, {Server.address()});
  start();
  std::future<HttpResponse> First =
      std::async(std::launch::async, [this] { return call("/find/first"); });
  FirstHere.get_future().wait();
  EXPECT_EQ(call("/find/second").body(), "/find/second");
  SecondDone.set_value();
  EXPECT_EQ(First.get().body(), "/find/first");
}

TEST_F(RequestTest, OnceOnly_WithoutId_IsRefusedBeforeAnythingRuns) {
  FakeServer Server(echoTarget);
  addClass("order", true, {Server.address()});
  start();
  const HttpResponse Answer = call("/order/a");
  EXPECT_EQ(Answer.result_int(), 400U);
  EXPECT_EQ(Answer["Tamarack-Outcome"], "not-run");
  EXPECT_EQ(Answer["Tamarack-Reason"], "request-id-missing");
  EXPECT_EQ(Answer.find("Retry-After"), Answer.end());
  EXPECT_EQ(Server.accepted(), 0);
}

TEST_F(RequestTest, Deadline_OfTheCaller_IsPassedOnAndBounded) {
  FakeServer Server(echoDeadline);
  addClass("find", false, {Server.address()});
  start();
  const auto TimeLeft = [&](const std::string &Text) {
    const std::int64_t Before = unixMillis();
    return std::stoll(
               call("/find/a", {{"Tamarack-Deadline-Ms", Text}}).body()) -
           Before;
  };
  EXPECT_GE(TimeLeft("15000"), 15000 - 1);
  EXPECT_LT(TimeLeft("10000"), LongDeadline.count());
  EXPECT_GE(TimeLeft("99999999"), LongDeadline.count() - 1);
  for (const char *Text : {"-1", "soon", "1.5", "99999999999999999999"})
    EXPECT_EQ(outcome("/find/a", {{"Tamarack-Deadline-Ms", Text}}),
              "not-run deadline-invalid");
  EXPECT_EQ(outcome("/find/a", {{"Tamarack-Deadline-Ms", "0"}}),
            "not-run deadline-passed");
  EXPECT_EQ(Server.accepted(), 1);
}

TEST_F(RequestTest, Retry_OfIdempotentWork_StaysWithinTheBudget) {
  FakeServer Server([](FakeConnection &Connection) { Connection.read(); });
  addClass("find", false, {Server.address()});
  start();
  constexpr int Requests = 100;
  for (int I = 0; I < Requests; ++I)
    EXPECT_EQ(outcome("/find/a"), "unknown reply-torn");
  EXPECT_EQ(Server.accepted(), Requests + Requests / 10);
}

TEST_F(RequestTest, Retry_OfUnkeyedWork_GoesToAnotherServer) {
  FakeServer Failing(answerOnce(answerText("", "X-Not-Run: x\r\n", "503 B")));
  FakeServer Serving(echoTarget);
  addClass("find", false, {Failing.address(), Serving.address()});
  start();
  const auto CountRetries = [this] {
    return m_proxy->counters().m_retries.load();
  };
  for (int I = 0; I < 400 && CountRetries() < 5; ++I) {
    const std::uint64_t Before = CountRetries();
    const HttpResponse Answer = call("/find/a");
    if (CountRetries() > Before) {
      EXPECT_EQ(Answer["Tamarack-Server"], "find-1");
    }
  }
  EXPECT_GE(CountRetries(), 5U);
}

TEST_F(RequestTest, Retry_OfKeyedWork_GoesToTheOwnerOnly) {
  FakeServer First(answerOnce(answerText("", "X-Not-Run: x\r\n", "503 B")));
  FakeServer Second(answerOnce(answerText("", "X-Not-Run: x\r\n", "503 B")));
  addClass("stock", false, {First.address(), Second.address()}, LongDeadline,
           true);
  start();
  std::string Owner;
  for (int I = 0; I < 40; ++I) {
    const HttpResponse Answer = call("/stock/sheet-1");
    const std::string Server(Answer["Tamarack-Server"]);
    EXPECT_TRUE(Owner.empty() || Owner == Server);
    Owner = Server;
  }
  EXPECT_EQ(First.accepted() == 0, Second.accepted() > 0);
  EXPECT_EQ(First.accepted() + Second.accepted(), 44);
}

TEST_F(RequestTest, Stop_WithARequestInFlight_FinishesIt) {
  std::promise<void> Arrived;
  std::promise<void> Release;
  FakeServer Server([&](FakeConnection &Connection) {
    Connection.read();
    Arrived.set_value();
    Release.get_future().wait();
    Connection.write(answerText("whole"));
  });
  addClass("find", false, {Server.address()});
  start();
  std::future<HttpResponse> Call =
      std::async(std::launch::async, [this] { return call("/find/a"); });
  Arrived.get_future().wait();
  m_server->stop();
  Release.set_value();
  const HttpResponse Answer = Call.get();
  EXPECT_EQ(Answer.body(), "whole");
  EXPECT_FALSE(Answer.keep_alive());
}

// A request that waits, or is sent again, during a stop was sent with its full
// deadline and cut when the process ended.
TEST_F(RequestTest, Stop_HasAnEnd_NoRequestIsSentBeyondIt) {
  FakeServer Server(echoDeadline);
  addClass("find", false, {Server.address()});
  start();
  constexpr Millis Left{10000};
  m_proxy->limitTo(BootClock::now() + Left);
  const std::int64_t End = unixMillis() + Left.count();
  EXPECT_LE(std::stoll(call("/find/a").body()), End + 1);
  m_proxy->limitTo(BootClock::now());
  EXPECT_EQ(outcome("/find/a"), "not-run stopping");
  EXPECT_EQ(Server.accepted(), 1);
}

// A call that may not be repeated was sent shortly before the end of a stop,
// and its answer came too late.
TEST_F(RequestTest, Stop_CallMayNotEndInTime_OnceOnlyIsRefused) {
  FakeServer Server([](FakeConnection &Connection) {
    while (Connection.read())
      Connection.write(answerText("whole"));
  });
  addClass("pay", true, {Server.address()});
  start();
  const Headers Id{{"Idempotency-Key", "id-1"}};
  m_proxy->limitTo(BootClock::now() + LongDeadline / 2);
  EXPECT_EQ(outcome("/pay/a", Id), "not-run stopping");
  EXPECT_EQ(Server.accepted(), 0);
  m_proxy->limitTo(BootClock::now() + LongDeadline * 2);
  EXPECT_EQ(outcome("/pay/a", Id), "answered ");
}

TEST_F(RequestTest, Health_OfAFailingServer_BecomesSuspect) {
  addClass("find", false, {"127.0.0.1:" + std::to_string(freePort())});
  start();
  for (int I = 0; I < 3; ++I)
    outcome("/find/a");
  EXPECT_EQ(m_health.suspects(BootClock::now()),
            std::vector<std::string>{"find-0"});
}

/// Writes down a session: each call with its answer, each change between.
class Session {
public:
  explicit Session(std::function<HttpResponse(const std::string &Target,
                                              const Headers &Extra)>
                       Call)
      : m_call(std::move(Call)) {}

  void note(const std::string &Text) { m_text += "-- " + Text + "\n"; }

  void call(const std::string &Target, const Headers &Extra = {}) {
    m_text += "> " + Target;
    for (const Headers::value_type &Header : Extra)
      m_text += " [" + Header.first + ": " + Header.second + "]";
    const HttpResponse Answer = m_call(Target, Extra);
    m_text += "\n< " + std::to_string(Answer.result_int());
    for (const char *Name :
         {"Tamarack-Outcome", "Tamarack-Reason", "Tamarack-Server",
          "Retry-After", "Tamarack-Retry-After-Ms"})
      if (Answer.find(Name) != Answer.end())
        m_text +=
            std::string(" [") + Name + ": " + std::string(Answer[Name]) + "]";
    if (Answer["Tamarack-Outcome"] == "answered")
      m_text += " " + Answer.body();
    m_text += "\n";
  }

  const std::string &text() const { return m_text; }

private:
  const std::function<HttpResponse(const std::string &, const Headers &)>
      m_call;
  std::string m_text;
};

std::string readGolden(const std::string &Name) {
  std::ifstream File(std::string(TAMARACKDRUM_GOLDEN_DIR) + "/" + Name);
  return {std::istreambuf_iterator<char>(File), {}};
}

TEST_F(RequestTest, Session_WithFaults_EqualsTheGoldenFile) {
  std::atomic<bool> IsShedding{false};
  std::atomic<bool> IsTorn{false};
  FakeServer Server([&](FakeConnection &Connection) {
    while (const std::optional<HttpRequest> Request = Connection.read()) {
      if (IsTorn)
        return;
      Connection.write(IsShedding
                           ? answerText("", "X-Not-Run: shed\r\n", "503 Busy")
                           : answerText(std::string(Request->target())));
    }
  });
  addClass("find", false, {Server.address()});
  addClass("order", true, {Server.address()});
  addClass("stock", false, {"127.0.0.1:" + std::to_string(freePort())},
           LongDeadline, true);
  start();
  Session Calls([this](const std::string &Target, const Headers &Extra) {
    return call(Target, Extra);
  });
  const Headers Id{{"Idempotency-Key", "order-1"}};
  Calls.note("all servers but stock-2 serve");
  Calls.call("/find/a");
  Calls.call("/order/a", Id);
  Calls.call("/order/a");
  Calls.call("/stock/sheet-1");
  Calls.call("/stock");
  Calls.call("/nothing/a");
  Calls.call("/find/a", {{"Tamarack-Deadline-Ms", "0"}});
  Calls.call("/find/a", {{"Tamarack-Deadline-Ms", "soon"}});
  Calls.note("the servers of find and order shed");
  IsShedding = true;
  Calls.call("/find/a");
  Calls.call("/order/a", Id);
  Calls.note("they hang up after the request");
  IsShedding = false;
  IsTorn = true;
  Calls.call("/find/a");
  Calls.call("/order/a", Id);
  Calls.note("they serve again");
  IsTorn = false;
  Calls.call("/find/a");
  Calls.note("the lease of the entry host ends");
  m_router.setLease(BootClock::now(), 1);
  Calls.call("/find/a");
  Calls.call("/order/a", Id);
  EXPECT_EQ(Calls.text(), readGolden("session.txt"));
}

} // namespace
} // namespace tamarackdrum::test

/// \file
/// Once-only classes through separate processes: no id is run twice.

#include "site.h"
#include "tamarackdrum/claim.h"

#include <gtest/gtest.h>

namespace tamarackdrum::test {
namespace {

constexpr std::size_t HostCount = 3;
constexpr std::size_t ServerCount = 2;

/// Three hosts and two servers of the once-only class "orders".
class OnceOnlyTest : public testing::Test {
protected:
  OnceOnlyTest() {
    ClassTarget Orders;
    Orders.m_name = "orders";
    Orders.m_onceOnly = true;
    Orders.m_idempotent = false;
    m_site.declareClass(Orders);
    for (std::size_t I = 0; I < ServerCount; ++I)
      m_site.addServer("orders-" + std::to_string(I), "orders");
    m_site.startHosts(HostCount);
  }

  void setWork(int WorkMs) {
    for (const SiteServer &Server : m_site.servers())
      fetch(Server.m_port, boost::beast::http::verb::post, "/fault",
            "{\"work_ms\":" + std::to_string(WorkMs) + "}");
  }

  std::optional<HttpResponse> order(std::size_t Host, const std::string &Id) {
    return m_site.call(Host, "/orders/new", {{"Idempotency-Key", Id}});
  }

  /// Sends \p Id until it gets something else than "come back".
  HttpResponse orderUntilFinal(std::size_t Host, const std::string &Id) {
    HttpResponse Last;
    eventually([&] {
      const std::optional<HttpResponse> Reply = order(Host, Id);
      if (Reply)
        Last = *Reply;
      return Reply && Reply->result_int() != 409 && Reply->result_int() != 503;
    });
    return Last;
  }

  /// Counts the runs of \p Id over the records of all servers.
  int runsOf(const std::string &Id) {
    int Runs = 0;
    for (std::size_t Server = 0; Server < ServerCount; ++Server)
      for (const Json::Value &Run : m_site.records(Server))
        Runs += Run["id"].asString() == Id ? 1 : 0;
    return Runs;
  }

  /// Returns the server that runs \p Id, once it does.
  std::size_t awaitRun(const std::string &Id) {
    std::size_t Found = ServerCount;
    eventually([&] {
      for (std::size_t Server = 0; Server < ServerCount; ++Server)
        for (const Json::Value &Run : m_site.records(Server))
          if (Run["id"].asString() == Id)
            Found = Server;
      return Found != ServerCount;
    });
    return Found;
  }

  Site m_site;
};

TEST_F(OnceOnlyTest, Request_WithoutId_IsRefusedBeforeAnythingRuns) {
  ASSERT_TRUE(m_site.awaitReady());
  const std::optional<HttpResponse> Reply = m_site.call(0, "/orders/new");
  ASSERT_TRUE(Reply);
  EXPECT_EQ(Reply->result_int(), 400U);
  EXPECT_EQ((*Reply)["Tamarack-Outcome"], "not-run");
  EXPECT_EQ((*Reply)["Tamarack-Reason"], "request-id-missing");
  EXPECT_EQ(runsOf(""), 0);
}

TEST_F(OnceOnlyTest, Resend_AtAllHostsAtOnce_GetsTheOneRunsAnswer) {
  ASSERT_TRUE(m_site.awaitReady());
  setWork(100);
  for (int Number = 0; Number < 4; ++Number) {
    const std::string Id = "order-" + std::to_string(Number);
    std::vector<HttpResponse> Answers(2 * HostCount);
    {
      std::vector<std::jthread> Callers;
      for (std::size_t I = 0; I < Answers.size(); ++I)
        Callers.emplace_back([this, &Answers, &Id, I] {
          Answers[I] = orderUntilFinal(I % HostCount, Id);
        });
    }
    int Replays = 0;
    for (const HttpResponse &Answer : Answers) {
      EXPECT_EQ(Answer.result_int(), 200U);
      EXPECT_EQ(Answer.body(), Answers[0].body());
      Replays += Answer["Tamarack-Replayed"] == "true" ? 1 : 0;
    }
    EXPECT_EQ(Replays, static_cast<int>(Answers.size()) - 1);
    EXPECT_EQ(runsOf(Id), 1);
  }
}

TEST_F(OnceOnlyTest, Resend_AfterItsHostWasKilled_IsUnknownAndNotRunAgain) {
  ASSERT_TRUE(m_site.awaitReady());
  setWork(700);
  const std::jthread Caller([this] { order(0, "killed-host"); });
  ASSERT_LT(awaitRun("killed-host"), ServerCount);
  m_site.hosts()[0].m_child->kill();
  const std::vector<std::string> Rows = m_site.tableValues("claim/");
  ASSERT_EQ(Rows.size(), 1U);
  // The host may have settled the claim before it was killed.
  const ClaimState Left = decodeClaim(Rows[0]).value().m_state;
  const HttpResponse Answer = orderUntilFinal(1, "killed-host");
  EXPECT_EQ(Answer["Tamarack-Outcome"],
            Left == ClaimState::Done ? "answered" : "unknown");
  EXPECT_EQ(runsOf("killed-host"), 1);
}

TEST_F(OnceOnlyTest, Resend_AfterItsServerCrashed_IsUnknownAndNotRunAgain) {
  ASSERT_TRUE(m_site.awaitReady());
  for (const SiteServer &Server : m_site.servers())
    fetch(Server.m_port, boost::beast::http::verb::post, "/fault",
          R"({"crash_on":"new"})");
  for (std::size_t I = 0; I < 2 * HostCount; ++I) {
    const HttpResponse Answer = orderUntilFinal(I % HostCount, "crash");
    EXPECT_EQ(Answer["Tamarack-Outcome"], "unknown");
  }
  int Alive = 0;
  for (const SiteServer &Server : m_site.servers())
    Alive += fetch(Server.m_port, boost::beast::http::verb::get, "/health")
                     .has_value()
                 ? 1
                 : 0;
  EXPECT_EQ(Alive, 1);
}

TEST_F(OnceOnlyTest, Claim_WhoseReplyWasLost_IsSettledAndRunOnce) {
  ASSERT_TRUE(m_site.awaitReady());
  m_site.platformFault(R"({"client":"entry-0","lose_reply":true})");
  {
    const std::jthread Caller([this] { orderUntilFinal(0, "lost-reply"); });
    ASSERT_TRUE(
        eventually([&] { return m_site.tableValues("claim/").size() == 1; }));
    m_site.platformFault(R"({"client":"entry-0"})");
  }
  const HttpResponse Answer = orderUntilFinal(2, "lost-reply");
  EXPECT_EQ(Answer.result_int(), 200U) << Answer.body();
  EXPECT_EQ(Answer["Tamarack-Replayed"], "true");
  EXPECT_EQ(runsOf("lost-reply"), 1);
  EXPECT_EQ(m_site.tableValues("claim/").size(), 1U);
}

TEST_F(OnceOnlyTest, Request_InTableOutage_IsRefusedUntilTheTableIsBack) {
  ASSERT_TRUE(m_site.awaitReady());
  m_site.platformFault(R"({"refuse":true})");
  const std::optional<HttpResponse> Refused = order(0, "outage");
  ASSERT_TRUE(Refused);
  EXPECT_EQ(Refused->result_int(), 503U);
  EXPECT_EQ((*Refused)["Tamarack-Outcome"], "not-run");
  EXPECT_EQ((*Refused)["Tamarack-Reason"], "claim-unavailable");
  EXPECT_FALSE((*Refused)["Retry-After"].empty());
  EXPECT_EQ(runsOf("outage"), 0);
  m_site.platformFault("{}");
  EXPECT_EQ(orderUntilFinal(1, "outage").result_int(), 200U);
  EXPECT_EQ(runsOf("outage"), 1);
}

} // namespace
} // namespace tamarackdrum::test

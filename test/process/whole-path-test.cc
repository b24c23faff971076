/// \file
/// The whole path through separate processes.

#include "site.h"

#include <gtest/gtest.h>

#include <future>

namespace tamarackdrum::test {
namespace {

ClassTarget keyedClass(const std::string &Name) {
  ClassTarget Out;
  Out.m_name = Name;
  Out.m_keyed = true;
  return Out;
}

/// Three hosts and three servers of one keyed class.
class WholePathTest : public testing::Test {
protected:
  WholePathTest() {
    m_site.declareClass(keyedClass("stock"));
    for (int I = 0; I < 3; ++I)
      m_site.addServer("stock-" + std::to_string(I), "stock");
    m_site.startHosts(3);
  }

  Site m_site;
};

TEST_F(WholePathTest, Call_AtAnyHost_GetsItsOwnAnswerFromTheSameOwner) {
  ASSERT_TRUE(m_site.awaitReady());
  for (int Key = 0; Key < 20; ++Key) {
    const std::string Target = "/stock/sheet-" + std::to_string(Key);
    std::string Owner;
    for (std::size_t Host = 0; Host < 3; ++Host) {
      const std::string Echo = Target + std::to_string(Host);
      const std::optional<HttpResponse> Answer =
          m_site.call(Host, Target, {{"X-Echo", Echo}});
      ASSERT_TRUE(Answer);
      ASSERT_EQ(Answer->result_int(), 200U) << Answer->body();
      const Json::Value Body = parseJson(Answer->body()).value();
      EXPECT_EQ(Body["echo"].asString(), Echo);
      EXPECT_EQ(Body["target"].asString(), Target);
      if (Owner.empty())
        Owner = Body["server"].asString();
      EXPECT_EQ(Body["server"].asString(), Owner);
    }
  }
}

// The process ended with the request in hand, and its caller got no answer.
TEST(StoppedHostTest, Stop_RequestOutlastsTheStopTimeout_IsAnsweredAsUnknown) {
  Site Small;
  ClassTarget Slow;
  Slow.m_name = "slow";
  Slow.m_deadline = Millis(9000);
  Small.setMaxDispatch(Slow.m_deadline);
  Small.declareClass(Slow);
  Small.addServer("slow-0", "slow", {"--work-ms", "60000"});
  Small.startHosts(1);
  ASSERT_TRUE(Small.awaitReady());
  std::future<std::optional<HttpResponse>> Call = std::async(
      std::launch::async, [&Small] { return Small.call(0, "/slow/a"); });
  ASSERT_TRUE(eventually([&Small] { return !Small.records(0).empty(); }));
  Small.hosts()[0].m_child->signal(SIGTERM);
  const std::optional<HttpResponse> Answer = Call.get();
  ASSERT_TRUE(Answer);
  EXPECT_EQ(Answer->result_int(), 502U);
  EXPECT_EQ((*Answer)["Tamarack-Outcome"], "unknown");
  EXPECT_EQ((*Answer)["Tamarack-Reason"], "stopping");
}

TEST_F(WholePathTest, Recall_OnceAcknowledged_SendsNothingMoreToTheServer) {
  ASSERT_TRUE(m_site.awaitReady());
  const Result<Json::Value> Recalled =
      m_site.change(1, ServerAction::Recall, {"stock-0"}, "recall-1");
  ASSERT_TRUE(Recalled) << Recalled.error().message();
  ASSERT_TRUE(m_site.awaitReady());
  for (int Key = 0; Key < 30; ++Key)
    for (std::size_t Host = 0; Host < 3; ++Host) {
      const std::optional<HttpResponse> Answer =
          m_site.call(Host, "/stock/sheet-" + std::to_string(Key));
      ASSERT_TRUE(Answer);
      EXPECT_EQ(Answer->result_int(), 200U) << Answer->body();
    }
  EXPECT_EQ(m_site.records(0).size(), 0U);
}

TEST_F(WholePathTest, Stop_OfIdleHost_ExitsGracefully) {
  ASSERT_TRUE(m_site.awaitReady());
  m_site.hosts()[2].m_child->signal(SIGTERM);
  EXPECT_EQ(m_site.hosts()[2].m_child->wait(), 0);
}

} // namespace
} // namespace tamarackdrum::test

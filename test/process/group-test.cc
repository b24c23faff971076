/// \file
/// Members that join and leave while the group serves.

#include "site.h"

#include <gtest/gtest.h>

namespace tamarackdrum::test {
namespace {

/// Three hosts and two servers of one keyed class.
class GroupTest : public testing::Test {
protected:
  GroupTest() {
    ClassTarget Stock;
    Stock.m_name = "stock";
    Stock.m_keyed = true;
    m_site.declareClass(Stock);
    for (int I = 0; I < 2; ++I)
      m_site.addServer("stock-" + std::to_string(I), "stock");
    m_site.startHosts(3);
  }

  std::size_t groupSize(std::size_t Host) {
    const Json::Value View = m_site.status(Host)["view"];
    return View["outgoing"].empty() ? View["members"].size() : 0;
  }

  Site m_site;
};

TEST_F(GroupTest, PlannedStop_LeavesTheGroupAndRestart_JoinsAgain) {
  ASSERT_TRUE(m_site.awaitReady());
  m_site.hosts()[2].m_child->signal(SIGTERM);
  EXPECT_EQ(m_site.hosts()[2].m_child->wait(), 0);
  EXPECT_TRUE(eventually([&] { return groupSize(0) == 2; }));
  const std::optional<HttpResponse> Answer = m_site.call(0, "/stock/sheet-1");
  ASSERT_TRUE(Answer);
  EXPECT_EQ(Answer->result_int(), 200U);
  m_site.startHost(2);
  EXPECT_TRUE(eventually([&] { return groupSize(0) == 3; }));
  EXPECT_TRUE(m_site.awaitReady());
}

TEST_F(GroupTest, PlannedStop_OfThePlanner_HandsOver) {
  ASSERT_TRUE(m_site.awaitReady());
  m_site.hosts()[0].m_child->signal(SIGTERM);
  EXPECT_EQ(m_site.hosts()[0].m_child->wait(), 0);
  EXPECT_TRUE(eventually([&] { return groupSize(1) == 2; }));
}

TEST_F(GroupTest, HostRestartedInATableOutage_ServesAgain) {
  ASSERT_TRUE(m_site.awaitReady());
  ASSERT_TRUE(m_site.change(0, ServerAction::Recall, {"stock-0"}, "recall-1"));
  ASSERT_TRUE(m_site.awaitReady());
  m_site.platformFault(R"({"client": "*", "refuse": true})");
  m_site.hosts()[2].m_child->kill();
  m_site.startHost(2);
  EXPECT_TRUE(eventually([&] {
    const std::optional<HttpResponse> Answer = m_site.call(2, "/stock/sheet-1");
    return Answer && Answer->result_int() == 200;
  }));
}

} // namespace
} // namespace tamarackdrum::test

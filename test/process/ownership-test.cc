/// \file
/// One owner a key, and changes that stand, while processes are killed, frozen
/// and cut. Safety is checked from the records of all servers.

#include "keyed-load.h"
#include "tamarackdrum/error.h"

#include <gmock/gmock.h>

namespace tamarackdrum::test {
namespace {

/// Three hosts and three servers of one keyed class, whose runs take a while.
class OwnershipTest : public testing::Test {
protected:
  OwnershipTest() {
    ClassTarget Stock;
    Stock.m_name = "stock";
    Stock.m_keyed = true;
    m_site.declareClass(Stock);
    for (int I = 0; I < 3; ++I)
      m_site.addServer("stock-" + std::to_string(I), "stock",
                       {"--work-ms", "150"});
    m_site.startHosts(3);
  }

  void signalHost(std::size_t Host, int Number) {
    m_site.hosts()[Host].m_child->signal(Number);
  }

  bool isServed(std::size_t Host, std::size_t Key) {
    const std::optional<HttpResponse> Answer =
        m_site.call(Host, loadTarget(Key));
    return Answer && Answer->result_int() == 200;
  }

  /// Waits until the host has served every key, so that no slice moves.
  bool awaitServed(std::size_t Host) {
    for (std::size_t Key = 0; Key < LoadKeys; ++Key)
      if (!eventually([&] { return isServed(Host, Key); }))
        return false;
    return true;
  }

  void setWork(Millis Work) {
    for (const SiteServer &Server : m_site.servers())
      fetch(Server.m_port, boost::beast::http::verb::post, "/fault",
            "{\"work_ms\":" + std::to_string(Work.count()) + "}");
  }

  /// Recalls a server and remembers when that was acknowledged.
  void recall(std::size_t Host, const std::string &Server) {
    const std::string Operation = "op-" + std::to_string(++m_operations);
    ASSERT_TRUE(eventually([&] {
      return m_site.change(Host, ServerAction::Recall, {Server}, Operation)
          .has_value();
    }));
    m_recalled[Server] = BootClock::now();
  }

  void restore(std::size_t Host, const std::string &Server) {
    const std::string Operation = "op-" + std::to_string(++m_operations);
    checkRecalled(readRuns(m_site));
    m_recalled.erase(Server);
    ASSERT_TRUE(eventually([&] {
      return m_site.change(Host, ServerAction::Restore, {Server}, Operation)
          .has_value();
    }));
  }

  void cutPeers(std::size_t Host, const std::vector<std::string> &To,
                const std::vector<std::string> &From) {
    Json::Value Fault(Json::objectValue);
    for (const std::string &Name : To)
      Fault["cut_to"].append(Name);
    for (const std::string &Name : From)
      Fault["cut_from"].append(Name);
    ASSERT_TRUE(m_site.control(Host, "fault", Fault));
  }

  void refuseTable(const std::string &Client, bool IsRefused) {
    m_site.platformFault("{\"client\":\"" + Client + "\",\"refuse\":" +
                         (IsRefused ? "true" : "false") + "}");
  }

  /// A recalled server starts nothing after the stated bound.
  void checkRecalled(const std::vector<ServerRun> &Runs) {
    for (const ServerRun &Run : Runs) {
      const auto Found = m_recalled.find(Run.m_server);
      if (Found != m_recalled.end()) {
        EXPECT_LT(Run.m_startNs, (Found->second + dispatchLapse(LeaseTiming{}))
                                     .time_since_epoch()
                                     .count())
            << Run.m_server;
      }
    }
  }

  void checkRuns() {
    const std::vector<ServerRun> Runs = readRuns(m_site);
    EXPECT_THAT(findOverlaps(Runs), testing::IsEmpty());
    EXPECT_GT(Runs.size(), 0U);
    checkRecalled(Runs);
  }

  Site m_site;
  std::map<std::string, TimePoint> m_recalled;
  int m_operations = 0;
};

TEST_F(OwnershipTest, DispatcherFrozen_BeforeDuringAndAfterMoves_NoOverlap) {
  ASSERT_TRUE(m_site.awaitReady());
  {
    const KeyedLoad Load(m_site);
    ASSERT_TRUE(awaitServed(2));
    signalHost(2, SIGSTOP); // Before the move.
    recall(0, "stock-0");
    ASSERT_TRUE(awaitServed(0));
    signalHost(2, SIGCONT);
    ASSERT_TRUE(awaitServed(2));
    restore(0, "stock-0");
    recall(1, "stock-1");
    signalHost(2, SIGSTOP); // During it.
    ASSERT_TRUE(awaitServed(0));
    ASSERT_TRUE(awaitServed(1));
    signalHost(2, SIGCONT);
    ASSERT_TRUE(m_site.awaitReady());
    restore(0, "stock-1");
    ASSERT_TRUE(m_site.awaitReady());
    signalHost(2, SIGSTOP); // After it.
    recall(0, "stock-2");
    signalHost(2, SIGCONT);
    ASSERT_TRUE(m_site.awaitReady());
  }
  checkRuns();
}

TEST_F(OwnershipTest, DispatcherKilled_RestartedInsideItsLease_NoOverlap) {
  ASSERT_TRUE(m_site.awaitReady());
  const std::optional<HttpResponse> Answer = m_site.call(0, loadTarget(0));
  ASSERT_TRUE(Answer);
  const std::string Owner =
      parseJson(Answer->body()).value()["server"].asString();
  const std::size_t Before = readRuns(m_site).size();
  setWork(Millis(750)); // The runs outlive the process that dispatched them.
  std::vector<std::thread> Callers;
  for (std::size_t Key = 0; Key < LoadKeys; ++Key)
    Callers.emplace_back([this, Key] { isServed(2, Key); });
  EXPECT_TRUE(
      eventually([&] { return readRuns(m_site).size() >= Before + LoadKeys; }));
  m_site.hosts()[2].m_child->kill();
  m_site.startHost(2);
  setWork(Millis(5));
  recall(0, Owner);
  EXPECT_TRUE(awaitServed(0));
  EXPECT_TRUE(awaitServed(2));
  for (std::thread &Each : Callers)
    Each.join();
  checkRuns();
}

TEST_F(OwnershipTest, ServerFrozenAndReturned_RunsNothingLate) {
  ASSERT_TRUE(m_site.awaitReady());
  {
    const KeyedLoad Load(m_site);
    ASSERT_TRUE(awaitServed(0));
    m_site.servers()[1].m_child->signal(SIGSTOP);
    recall(0, "stock-1");
    ASSERT_TRUE(m_site.awaitReady());
    for (std::size_t Host = 0; Host < 3; ++Host)
      ASSERT_TRUE(awaitServed(Host));
    m_site.servers()[1].m_child->signal(SIGCONT);
    ASSERT_TRUE(awaitServed(0));
  }
  checkRuns();
}

TEST_F(OwnershipTest, TableRefused_ToAllThenToOne_ServesAndStaysExclusive) {
  ASSERT_TRUE(m_site.awaitReady());
  {
    const KeyedLoad Load(m_site);
    refuseTable("*", true);
    std::this_thread::sleep_for(2 * LeaseTiming{}.m_lease);
    for (std::size_t Host = 0; Host < 3; ++Host)
      EXPECT_TRUE(awaitServed(Host));
    EXPECT_FALSE(
        m_site.change(0, ServerAction::Recall, {"stock-0"}, "refused"));
    refuseTable("*", false);
    refuseTable("entry-2", true);
    recall(0, "stock-0");
    ASSERT_TRUE(m_site.awaitReady());
    EXPECT_TRUE(awaitServed(2));
  }
  checkRuns();
}

TEST_F(OwnershipTest, CommitWhoseReplyIsLost_IsAcceptedExactlyOnce) {
  ASSERT_TRUE(m_site.awaitReady());
  const Generation Before = m_site.status(0)["view"]["generation"].asUInt64();
  m_site.platformFault("{\"client\":\"entry-0\",\"lose_reply\":true}");
  std::thread Mend([&] {
    eventually([&] {
      return m_site.status(1)["view"]["generation"].asUInt64() > Before;
    });
    m_site.platformFault("{\"client\":\"entry-0\",\"lose_reply\":false}");
  });
  const Result<Json::Value> Outcome =
      m_site.change(0, ServerAction::Recall, {"stock-0"}, "lost-reply");
  Mend.join();
  ASSERT_TRUE(Outcome) << Outcome.error().message();
  ASSERT_TRUE(
      m_site.change(1, ServerAction::Recall, {"stock-0"}, "lost-reply"));
  ASSERT_TRUE(m_site.awaitReady());
  const Result<View> Shown = viewFromJson(m_site.status(1)["view"]);
  ASSERT_TRUE(Shown);
  const std::vector<std::string> &Done = Shown.value().m_recentOperations;
  EXPECT_EQ(std::count(Done.begin(), Done.end(), "lost-reply"), 1);
}

TEST_F(OwnershipTest, AllHostsKilled_AcknowledgedRecallStands) {
  ASSERT_TRUE(m_site.awaitReady());
  {
    const KeyedLoad Load(m_site);
    recall(1, "stock-0");
    for (SiteHost &Host : m_site.hosts())
      Host.m_child->kill();
    for (std::size_t Host = 0; Host < 3; ++Host)
      m_site.startHost(Host);
    ASSERT_TRUE(m_site.awaitReady());
    for (std::size_t Host = 0; Host < 3; ++Host) {
      EXPECT_TRUE(awaitServed(Host));
      const Result<View> Shown = viewFromJson(m_site.status(Host)["view"]);
      ASSERT_TRUE(Shown);
      EXPECT_EQ(findServer(Shown.value(), "stock-0")->m_state,
                ServerState::Recalled);
    }
  }
  checkRuns();
}

TEST_F(OwnershipTest, PeersCut_BothWaysOneWayAndFromTheTable_NoOverlap) {
  ASSERT_TRUE(m_site.awaitReady());
  const std::vector<std::string> Others{"entry-0", "entry-1"};
  const auto HasLease = [&](std::size_t Host) {
    return m_site.status(Host)["has_lease"].asBool();
  };
  {
    const KeyedLoad Load(m_site);
    cutPeers(2, Others, Others);
    recall(0, "stock-0");
    EXPECT_TRUE(eventually([&] { return !HasLease(2); }));
    refuseTable("entry-2", true);
    restore(0, "stock-0");
    recall(1, "stock-1");
    ASSERT_TRUE(awaitServed(0));
    cutPeers(2, Others, {}); // It answers, and asks nobody.
    recall(0, "stock-2");
    ASSERT_TRUE(awaitServed(1));
    EXPECT_TRUE(eventually([&] { return !HasLease(2); }));
    cutPeers(2, {}, Others); // It asks, and answers nobody.
    EXPECT_TRUE(awaitServed(2));
    restore(0, "stock-2");
    ASSERT_TRUE(awaitServed(0));
    cutPeers(2, {}, {});
    refuseTable("entry-2", false);
    ASSERT_TRUE(m_site.awaitReady());
  }
  checkRuns();
}

TEST(FaultSwitch, WithoutAllowFaults_IsRefused) {
  Site Where(false);
  Where.startHosts(1);
  EXPECT_FALSE(
      Where.control(0, "fault", Json::Value(Json::objectValue)).has_value());
  EXPECT_TRUE(Where.control(0, "status", Json::Value(Json::objectValue)));
}

} // namespace
} // namespace tamarackdrum::test

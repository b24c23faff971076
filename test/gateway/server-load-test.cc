// Load pattern: servers that share machines with others become three times as
// slow for some 400 ms.

#include "tamarackdrum/gateway/dispatcher.h"
#include "tamarackdrum/gateway/server-load.h"

#include <gtest/gtest.h>

namespace tamarackdrum::gateway {
namespace {

class ServerLoadTest : public testing::Test {
protected:
  void setServers(const std::vector<std::string> &Ids) {
    std::vector<ServerEntry> Servers;
    for (const std::string &Id : Ids) {
      ServerEntry Made;
      Made.m_id = Id;
      Made.m_zone = "zone-a";
      Made.m_slots = 4;
      Servers.push_back(Made);
    }
    m_subject.setServers(Servers, m_now, m_decisions);
  }

  /// Submits a request. Returns its server, or nothing if it waits.
  std::string submit() {
    DispatchRequest Request;
    Request.m_id = {0, ++m_lastNumber};
    Request.m_zone = "zone-a";
    Request.m_objectiveLeft = Millis(800);
    Request.m_timeLeft = Millis(3000);
    m_decisions.clear();
    m_subject.submit(Request, m_now, m_decisions);
    return m_decisions.empty() ? "" : m_decisions.front().m_server;
  }

  void report(const std::string &Server, const ReportedLoad &Load,
              Millis ServiceTime) {
    m_subject.recordOutcome(Server, "", DispatchResult::Served, ServiceTime,
                            m_now, Load);
  }

  TimePoint m_now{std::chrono::seconds(100)};
  Dispatcher m_subject{DispatchPolicy{}};
  DispatchDecisions m_decisions;
  std::uint32_t m_lastNumber = 0;
};

TEST_F(ServerLoadTest, Submit_ServerIsSlow_ChosenAfterOthersWhileFresh) {
  setServers({"a", "b"});
  report("b", {1, 0, 4, 100}, Millis(300));
  EXPECT_EQ(submit(), "a");
  report("a", {1, 0, 4, 300}, Millis(450));
  EXPECT_EQ(submit(), "b");
  m_now += Millis(200);
  EXPECT_EQ(submit(), "a");
}

// The only server with a free slot serves even if it is slow.
TEST_F(ServerLoadTest, Submit_OnlyServerIsSlow_Chosen) {
  setServers({"a"});
  report("a", {1, 0, 4, 300}, Millis(450));
  EXPECT_EQ(submit(), "a");
}

// A slow moment must not count as a slow server.
TEST_F(ServerLoadTest, RecordOutcome_SlowMoment_KeepsTheCapacity) {
  setServers({"a", "b"});
  const double Before = m_subject.capacityOf("a");
  report("a", {1, 0, 4, 300}, Millis(450));
  EXPECT_DOUBLE_EQ(m_subject.capacityOf("a"), Before);
  m_subject.recordOutcome("b", "", DispatchResult::Served, Millis(450), m_now);
  EXPECT_LT(m_subject.capacityOf("b"), Before);
}

// Other dispatchers overfill the server: what it gets beyond its slots waits.
TEST_F(ServerLoadTest, Submit_ServerReportsUnknownWaiters_OnlyItsSlotsAreUsed) {
  setServers({"a"});
  // Long idle times of slots allow a request beyond them.
  for (int Round = 0; Round < 200; ++Round) {
    submit();
    m_now += Millis(300);
    m_subject.finish({0, m_lastNumber}, DispatchResult::Served, Millis(150),
                     m_now, m_decisions);
  }
  for (int Request = 0; Request < 6; ++Request)
    submit();
  m_subject.tick(m_now, m_decisions);
  EXPECT_EQ(m_subject.load().m_running, 5U);
  report("a", {4, 3, 4, 100}, Millis(150));
  m_decisions.clear();
  m_subject.finish({0, m_lastNumber - 5}, DispatchResult::Served, Millis(150),
                   m_now, m_decisions);
  EXPECT_EQ(m_subject.load().m_running, 4U);
}

} // namespace
} // namespace tamarackdrum::gateway

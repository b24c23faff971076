#include "tamarackdrum/gateway/granter-runner.h"

#include "fake-platform.h"
#include "tamarackdrum/worker-context.h"

#include <gtest/gtest.h>

#include <fcntl.h>

namespace tamarackdrum::gateway::test {
namespace {

/// One granter runner and a store in memory.
class GranterRunnerTest : public testing::Test {
protected:
  GranterRunnerTest()
      : m_log(LogPolicy{}, "test", ::open("/dev/null", O_WRONLY)),
        m_subject(m_context.get_executor(), "stock", policy(), GrantPolicy{},
                  m_store, m_servers, m_hosts, m_log, m_metrics, context()) {
    ServerEntry Entry;
    Entry.m_id = "a";
    Entry.m_service = "stock";
    Entry.m_address = "127.0.0.1:1";
    Entry.m_startMs = 1;
    m_entries["a"] = Entry;
    asio::co_spawn(m_context, m_subject.run(), asio::detached);
  }
  ~GranterRunnerTest() override { m_context.dropPending(); }

  static GranterRunnerPolicy policy() {
    GranterRunnerPolicy Out;
    Out.m_startDelay = Millis(0);
    Out.m_minStartDelay = Millis(0);
    return Out;
  }

  GranterContext context() {
    GranterContext Out;
    Out.m_storeLostFor = [this] { return m_storeLost; };
    Out.m_storeAvailableFor = [] { return Millis(60000); };
    Out.m_servers = [this]() -> const std::map<std::string, ServerEntry> & {
      return m_entries;
    };
    Out.m_serverCapacity = [](const std::string &) { return 10.0; };
    Out.m_keyDemand = [] { return std::vector<KeyRate>(); };
    Out.m_onStoreCall = [](bool, TimePoint) {};
    Out.m_onKeyMap = [this](const KeyMap &Map) { m_maps.push_back(Map); };
    Out.m_requestKeyMaps = [this] { ++m_keyMapRequests; };
    Out.m_onRecordedMap = [this](const KeyMap &Map) {
      m_recorded.push_back(Map);
    };
    return Out;
  }

  void addPeerHeartbeat(std::uint32_t StoreLostMs) {
    Heartbeat Beat;
    Beat.m_host = {"h2", "10.0.0.2", "zone-a", 50, 20};
    Beat.m_storeLostMs = StoreLostMs;
    m_hosts.recordHeartbeat(Beat, BootClock::now());
  }

  WorkerContext m_context{1};
  Millis m_storeLost{0};
  FakeStore m_store;
  FakeKeyServers m_servers;
  std::map<std::string, ServerEntry> m_entries;
  std::vector<KeyMap> m_maps;
  std::vector<KeyMap> m_recorded;
  unsigned m_keyMapRequests = 0;
  Roster m_hosts{RosterPolicy{}, {"h1", "10.0.0.1", "zone-a", 100, 20}};
  EventLog m_log;
  GatewayMetrics m_metrics;
  GranterRunner m_subject;
};

TEST_F(GranterRunnerTest, Run_NoGranter_KeysGetAHolder) {
  m_context.run_for(Millis(700));
  ASSERT_FALSE(m_maps.empty());
  EXPECT_EQ(m_maps.back().holderOf(5), "a");
  EXPECT_EQ(m_subject.knownGranter().m_host, "h1");
}

// The version of a new granter's map is above those of the previous granter. If
// a takeover that is never written sent its map, the hosts would reject all
// later maps of the granter that goes on.
TEST_F(GranterRunnerTest, TakeOver_IsNotWritten_NoMapIsSent) {
  m_store.m_acceptsWrites = false;
  m_store.m_ownership = {
      {4, "gone", 1, {}, {{0, 65535, {"a", 1}, 70, {}, 0}}}, {0, 9}, 0};
  m_context.run_for(Millis(700));
  EXPECT_TRUE(m_maps.empty());
  EXPECT_NE(m_subject.knownGranter().m_host, "h1");
  m_store.m_acceptsWrites = true;
  m_context.run_for(Millis(1500));
  ASSERT_FALSE(m_maps.empty());
  EXPECT_EQ(m_maps.back().holderOf(5), "a");
}

TEST_F(GranterRunnerTest, LookUpHolders_StoreFailsFirst_ReadsTheRecordOnce) {
  m_store.m_acceptsWrites = false;
  m_store.m_ownership = {
      {4, "gone", 1, {}, {{0, 65535, {"a", 1}, 70, {}, 0}}}, {0, 9}, 0};
  m_store.m_isUp = false;
  m_subject.lookUpHolders();
  m_context.run_for(Millis(100));
  EXPECT_TRUE(m_recorded.empty());
  m_store.m_isUp = true;
  m_context.run_for(Millis(400));
  for (int I = 0; I < 3; ++I) {
    m_subject.lookUpHolders();
    m_context.run_for(Millis(50));
  }
  ASSERT_EQ(m_recorded.size(), 1U);
  EXPECT_EQ(m_recorded[0].version(), 0U);
  EXPECT_EQ(m_recorded[0].holderOf(5), "a");
}

TEST_F(GranterRunnerTest, LookUpHolders_StoreIsLost_OnlyAsksPeers) {
  m_storeLost = Millis(500);
  m_store.m_ownership = {
      {4, "gone", 1, {}, {{0, 65535, {"a", 1}, 70, {}, 0}}}, {0, 9}, 0};
  m_subject.lookUpHolders();
  m_subject.lookUpHolders();
  m_context.run_for(Millis(100));
  EXPECT_EQ(m_keyMapRequests, 1U);
  EXPECT_TRUE(m_recorded.empty());
}

// The store is restored from a copy that is older than the first record. The
// granter still knows the holders.
TEST_F(GranterRunnerTest, StoreIsRestoredFromCopy_GranterRestatesItsRecord) {
  m_context.run_for(Millis(700));
  ASSERT_EQ(m_maps.back().holderOf(5), "a");
  m_store.restoreFromCopy({});
  m_context.run_for(Millis(1000));
  EXPECT_TRUE(m_subject.isGranter());
  EXPECT_GT(m_subject.knownGranter().m_term, termFloor(1));
  EXPECT_EQ(m_store.m_ownership.m_record.m_granter, "h1");
  EXPECT_EQ(m_store.m_ownership.m_record.m_ranges[0].m_owner.m_id, "a");
  EXPECT_EQ(m_maps.back().holderOf(5), "a");
  for (const GrantCall &Call : m_servers.m_calls)
    EXPECT_EQ(Call.m_server.m_id, "a");
}

TEST_F(GranterRunnerTest, StoreIsRestoredFromCopy_AnotherTookOver_StepsDown) {
  m_context.run_for(Millis(700));
  ASSERT_TRUE(m_subject.isGranter());
  addPeerHeartbeat(0);
  m_store.restoreFromCopy({termFloor(1) + 1, "h2", 50, {}, {}});
  m_context.run_for(Millis(700));
  EXPECT_FALSE(m_subject.isGranter());
  EXPECT_EQ(m_subject.knownGranter().m_host, "h2");
}

// The deadline of a call counts from the step that decided on it, not from the
// time at which a busy process begins it.
TEST_F(GranterRunnerTest, Call_ProcessIsBusy_DeadlineCountsFromTheStep) {
  ServerEntry Entry = m_entries["a"];
  Entry.m_id = "b";
  m_entries["b"] = Entry;
  m_servers.m_busyTime = Millis(50);
  m_context.run_for(Millis(700));
  ASSERT_GE(m_servers.m_deadlines.size(), 2U);
  EXPECT_EQ(m_servers.m_deadlines[0], m_servers.m_deadlines[1]);
}

// A failed write of a takeover that has been given up must not end the write of
// the next one: two writes would be under way with the same condition.
TEST_F(GranterRunnerTest, WriteFails_NextTakeOverWrites_OneWriteAtATime) {
  m_store.m_acceptsWrites = false;
  m_store.m_writeTime = Millis(200);
  for (int I = 0; I < 40; ++I) {
    m_context.run_for(Millis(50));
    EXPECT_LE(m_store.m_writesUnderWay, 1U);
  }
}

// The next granter waits for the longest hold unless the process that ends has
// announced a newer term before.
TEST_F(GranterRunnerTest, PrepareExit_HoldsAreExtended_AnnouncesNoNewerTerm) {
  m_context.run_for(Millis(700));
  addPeerHeartbeat(500);
  m_storeLost = Millis(500);
  m_subject.prepareExit();
  m_subject.noteKnownGranter({9, "h2", 50});
  EXPECT_FALSE(m_subject.isGranter());
  EXPECT_EQ(m_subject.knownGranter().m_term, 1U);
}

TEST_F(GranterRunnerTest, PrepareExit_StoreIsReachable_AnnouncesNewerTerm) {
  m_context.run_for(Millis(700));
  addPeerHeartbeat(0);
  m_subject.prepareExit();
  m_subject.noteKnownGranter({9, "h2", 50});
  EXPECT_EQ(m_subject.knownGranter().m_term, 9U);
}

} // namespace
} // namespace tamarackdrum::gateway::test

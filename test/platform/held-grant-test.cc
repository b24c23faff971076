#include "platform/key-server-client.h"

#include "../gateway/fake-platform.h"
#include "fault-proxy.h"
#include "platform/standin/key-server.h"
#include "tamarackdrum/gateway/granter-runner.h"
#include "tamarackdrum/worker-context.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <fcntl.h>

namespace tamarackdrum::platform {
namespace {

namespace asio = boost::asio;
using namespace gateway;
using namespace standin;
using gateway::test::FakeStore;
using soak::FaultProxy;
using soak::LinkFault;

constexpr Millis WaitTimeout{30000};

/// A granter that goes on throughout, and two key servers behind paths that can
/// hold bytes back.
class HeldGrantTest : public testing::Test {
protected:
  HeldGrantTest()
      : m_log(LogPolicy{}, "test", ::open("/dev/null", O_WRONLY)),
        m_subject(m_context.get_executor(), "stock", runnerPolicy(),
                  GrantPolicy{}, m_store, m_client, m_hosts, m_log, m_metrics,
                  context()) {
    for (const char *Id : {"a", "b"})
      addServer(Id);
    asio::co_spawn(m_context, m_subject.run(), asio::detached);
  }
  ~HeldGrantTest() override { m_context.dropPending(); }

  static GranterRunnerPolicy runnerPolicy() {
    GranterRunnerPolicy Out;
    Out.m_startDelay = Millis(0);
    Out.m_minStartDelay = Millis(0);
    return Out;
  }

  GranterContext context() {
    GranterContext Out;
    Out.m_storeLostFor = [] { return Millis(0); };
    Out.m_storeAvailableFor = [] { return Millis(60000); };
    Out.m_servers = [this]() -> const std::map<std::string, ServerEntry> & {
      return m_entries;
    };
    Out.m_serverCapacity = [](const std::string &) { return 10.0; };
    Out.m_keyDemand = [] {
      return std::vector<KeyRate>{{100, 5.0}, {60000, 5.0}};
    };
    Out.m_onStoreCall = [](bool, TimePoint) {};
    Out.m_onKeyMap = [](const KeyMap &) {};
    Out.m_requestKeyMaps = [] {};
    Out.m_onRecordedMap = [](const KeyMap &) {};
    return Out;
  }

  void addServer(const std::string &Id) {
    const Endpoint AnyPort{asio::ip::address_v4::loopback(), 0};
    KeyServerOptions Options;
    Options.m_entry.m_id = Id;
    Options.m_entry.m_startMs = 1;
    Options.m_entry.m_slots = 2;
    Options.m_isKeyed = true;
    m_servers[Id] =
        std::make_unique<KeyServer>(m_context, AnyPort, Options, m_records);
    m_paths[Id] = std::make_unique<FaultProxy>(m_context, AnyPort,
                                               m_servers[Id]->address());
    ServerEntry Entry = Options.m_entry;
    Entry.m_service = "stock";
    Entry.m_address =
        "127.0.0.1:" + std::to_string(m_paths[Id]->address().port());
    m_entries[Id] = Entry;
  }

  /// Returns the number of keys that \p Server holds by the recorded grants.
  std::size_t heldKeys(const std::string &Server) const {
    std::vector<bool> IsHeld(KeyCount);
    const TimePoint Now = BootClock::now();
    for (const GrantRecord &Item : m_records.m_grants) {
      if (Item.m_server != Server || !Item.m_isApplied)
        continue;
      const bool Holds = !Item.m_isRelease && Item.m_holdEnd > Now;
      std::fill(IsHeld.begin() + Item.m_from, IsHeld.begin() + Item.m_to + 1,
                Holds);
    }
    return static_cast<std::size_t>(
        std::count(IsHeld.begin(), IsHeld.end(), true));
  }

  /// Returns the grants that a server took although another server had held one
  /// of their keys with a higher token.
  std::vector<GrantRecord> outdatedGrants() const {
    std::vector<std::uint64_t> Highest(KeyCount);
    std::vector<std::string> Holder(KeyCount);
    std::vector<GrantRecord> Out;
    for (const GrantRecord &Item : m_records.m_grants) {
      if (Item.m_isRelease || !Item.m_isApplied)
        continue;
      bool IsOutdated = false;
      for (std::uint32_t I = Item.m_from; I <= Item.m_to; ++I) {
        IsOutdated = IsOutdated ||
                     (Highest[I] > Item.m_fence && Holder[I] != Item.m_server);
        if (Item.m_fence < Highest[I])
          continue;
        Highest[I] = Item.m_fence;
        Holder[I] = Item.m_server;
      }
      if (IsOutdated)
        Out.push_back(Item);
    }
    return Out;
  }

  template <typename Condition> bool waitFor(Condition IsMet) {
    const TimePoint End = BootClock::now() + WaitTimeout;
    while (!IsMet() && BootClock::now() < End)
      m_context.run_for(Millis(10));
    return IsMet();
  }

  WorkerContext m_context{1};
  ServerRecords m_records;
  std::map<std::string, std::unique_ptr<KeyServer>> m_servers;
  std::map<std::string, std::unique_ptr<FaultProxy>> m_paths;
  FakeStore m_store;
  KeyServerClient m_client;
  std::map<std::string, ServerEntry> m_entries;
  Roster m_hosts{RosterPolicy{}, {"h1", "10.0.0.1", "zone-a", 100, 20}};
  EventLog m_log;
  GatewayMetrics m_metrics;
  GranterRunner m_subject;
};

// Renewals that a failed path holds back after the granter has given them up
// must not reach their server once other servers have the keys.
TEST_F(HeldGrantTest, PathHeals_KeysWereMoved_GivenUpRenewalsDoNotArrive) {
  ASSERT_TRUE(waitFor([this] {
    return heldKeys("a") > 0 && heldKeys("a") + heldKeys("b") == KeyCount;
  }));
  const std::size_t Before = heldKeys("b");
  m_paths["a"]->setFault(LinkFault::Held);
  ASSERT_TRUE(waitFor([&] { return heldKeys("b") > Before; }));
  EXPECT_NE(m_metrics.toText().find("result=\"no-answer\""), std::string::npos);
  m_paths["a"]->setFault(LinkFault::None);
  m_context.run_for(Millis(500));
  const std::vector<GrantRecord> Outdated = outdatedGrants();
  for (const GrantRecord &Item : Outdated)
    ADD_FAILURE() << Item.m_server << " took " << Item.m_from << "-"
                  << Item.m_to << " with token " << Item.m_fence;
}

} // namespace
} // namespace tamarackdrum::platform

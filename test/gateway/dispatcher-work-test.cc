// The work of a dispatcher with hundreds of servers. The host that decides on
// all requests of a service has a part of a processor core for it.

#include "tamarackdrum/gateway/dispatcher.h"

#include <gtest/gtest.h>

namespace tamarackdrum::gateway {
namespace {

class DispatcherWorkTest : public testing::Test {
protected:
  static constexpr std::uint32_t ServerCount = 400;
  static constexpr std::uint32_t HotServers = 20;
  static constexpr std::uint32_t WaitingPerHolder = 50;
  static constexpr std::uint32_t WaitingCount = HotServers * WaitingPerHolder;
  static constexpr std::uint32_t KeysPerServer = KeyCount / ServerCount;

  void SetUp() override {
    std::vector<ServerEntry> Servers;
    std::vector<KeyRange> Ranges;
    for (std::uint32_t I = 0; I < ServerCount; ++I) {
      ServerEntry Entry;
      Entry.m_id = serverName(I);
      Entry.m_service = "stock";
      Entry.m_zone = "zone-a";
      Entry.m_slots = 2;
      Entry.m_startMs = 1;
      Servers.push_back(Entry);
      const std::uint32_t End =
          I + 1 == ServerCount ? KeyCount : (I + 1) * KeysPerServer;
      Ranges.push_back({static_cast<Key>(I * KeysPerServer),
                        static_cast<Key>(End - 1), Entry.m_id});
    }
    m_subject.setServers(Servers, m_now, m_decisions);
    m_subject.setKeyMap(KeyMap(1, Ranges), m_now, m_decisions);
    for (std::uint32_t I = 0; I < HotServers; ++I)
      for (std::uint32_t J = 0; J < WaitingPerHolder + 2; ++J)
        submit(I);
    ASSERT_EQ(m_subject.load().m_waiting, WaitingCount);
  }

  static std::string serverName(std::uint32_t Number) {
    std::string Out("server-");
    Out += std::to_string(Number);
    return Out;
  }

  /// Submits a request for a key of server \p Holder and returns its number.
  std::uint32_t submit(std::uint32_t Holder) {
    DispatchRequest Request;
    Request.m_id = {0, ++m_lastNumber};
    Request.m_zone = "zone-a";
    Request.m_key = static_cast<Key>(Holder * KeysPerServer);
    Request.m_objectiveLeft = std::chrono::minutes(10);
    Request.m_timeLeft = std::chrono::minutes(20);
    m_subject.submit(Request, m_now, m_decisions);
    return m_lastNumber;
  }

  /// Returns the looks at waiting requests since the last call.
  std::uint64_t takeLooks() {
    const std::uint64_t All = m_subject.load().m_looks;
    return All - std::exchange(m_counted, All);
  }

  Dispatcher m_subject{DispatchPolicy{}};
  DispatchDecisions m_decisions;
  TimePoint m_now{std::chrono::seconds(100)};
  std::uint32_t m_lastNumber = 0;
  std::uint64_t m_counted = 0;
};

// Guards against a coordinator that stands still while a range is hot.
TEST_F(DispatcherWorkTest, Tick_ManyFreeServers_LooksAtEachRequestFewTimes) {
  takeLooks();
  m_subject.tick(m_now, m_decisions);
  EXPECT_LE(takeLooks(), 3 * WaitingCount);
}

TEST_F(DispatcherWorkTest, Finish_OtherHoldersAreHot_LooksAtNoRequest) {
  const std::uint32_t Number = submit(ServerCount - 1);
  takeLooks();
  m_subject.finish({0, Number}, DispatchResult::Served, Millis(100), m_now,
                   m_decisions);
  EXPECT_EQ(takeLooks(), 0U);
}

TEST_F(DispatcherWorkTest, Submit_HolderIsHot_LooksAtRequestsOfHolderOnly) {
  takeLooks();
  submit(0);
  EXPECT_LE(takeLooks(), WaitingPerHolder);
}

TEST_F(DispatcherWorkTest, SetKeyMap_RangeIsMoved_WaitingRequestsMoveAlong) {
  std::vector<KeyRange> Ranges = m_subject.keyMap().ranges();
  std::swap(Ranges[0].m_server, Ranges[ServerCount - 1].m_server);
  m_decisions.clear();
  m_subject.setKeyMap(KeyMap(2, Ranges), m_now, m_decisions);
  ASSERT_EQ(m_decisions.size(), 2U);
  // The first to have arrived are the first to be served.
  EXPECT_EQ(m_decisions[0].m_id.m_number, 3U);
  EXPECT_EQ(m_decisions[0].m_server, serverName(ServerCount - 1));
  EXPECT_EQ(m_subject.waitingFor(serverName(0)), 0U);
  EXPECT_EQ(m_subject.waitingFor(serverName(ServerCount - 1)),
            WaitingPerHolder - 2);
}

} // namespace
} // namespace tamarackdrum::gateway

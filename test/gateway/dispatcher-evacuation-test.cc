#include "tamarackdrum/gateway/dispatcher.h"

#include <gtest/gtest.h>

namespace tamarackdrum::gateway {
namespace {

/// Servers "a" of zone-a and "b" of zone-b with one slot each.
class DispatcherEvacuationTest : public testing::Test {
protected:
  static ServerEntry makeServer(std::string Id, std::string Zone,
                                bool IsEvacuated) {
    ServerEntry Out;
    Out.m_id = std::move(Id);
    Out.m_zone = std::move(Zone);
    Out.m_slots = 1;
    Out.m_startMs = 1;
    Out.m_isEvacuated = IsEvacuated;
    return Out;
  }

  void setServers(bool IsAEvacuated, bool IsBEvacuated = false) {
    m_decisions.clear();
    m_subject.setServers({makeServer("a", "zone-a", IsAEvacuated),
                          makeServer("b", "zone-b", IsBEvacuated)},
                         m_now, m_decisions);
  }

  void submit(std::uint32_t Number, std::optional<Key> Value = std::nullopt,
              std::vector<std::string> Tried = {}) {
    DispatchRequest Request;
    Request.m_id = {0, Number};
    Request.m_zone = "zone-a";
    Request.m_key = Value;
    Request.m_objectiveLeft = Millis(2000);
    Request.m_timeLeft = Millis(3000);
    Request.m_triedServers = std::move(Tried);
    m_decisions.clear();
    m_subject.submit(Request, m_now, m_decisions);
  }

  /// Returns the server or the refusal of request \p Number.
  std::string outcomeOf(std::uint32_t Number) const {
    for (const DispatchDecision &Item : m_decisions)
      if (Item.m_id.m_number == Number)
        return Item.m_server.empty() ? toText(Item.m_reason) : Item.m_server;
    return "waits";
  }

  Dispatcher m_subject{DispatchPolicy{}};
  DispatchDecisions m_decisions;
  TimePoint m_now{std::chrono::seconds(100)};
};

// Load pattern: a zone is evacuated while requests wait for a slot in it.
TEST_F(DispatcherEvacuationTest, SetServers_WaitsForOwnZone_OtherZoneGetsIt) {
  setServers(false);
  submit(1);
  ASSERT_EQ(outcomeOf(1), "a");
  submit(2);
  ASSERT_EQ(outcomeOf(2), "waits");
  setServers(true);
  EXPECT_EQ(outcomeOf(2), "b");
}

TEST_F(DispatcherEvacuationTest, SetServers_NoZoneIsLeft_WaitingIsRefused) {
  setServers(false);
  submit(1);
  submit(2);
  ASSERT_EQ(outcomeOf(2), "waits");
  setServers(true, true);
  EXPECT_EQ(outcomeOf(2), "no-server");
  submit(3);
  EXPECT_EQ(outcomeOf(3), "no-server");
}

TEST_F(DispatcherEvacuationTest, Submit_OnlyServerLeftIsEvacuated_IsRefused) {
  setServers(true);
  submit(1, std::nullopt, {"b"});
  EXPECT_EQ(outcomeOf(1), "no-server");
}

TEST_F(DispatcherEvacuationTest, KeyedRequest_HolderIsEvacuated_WaitsForMove) {
  m_subject.setKeyMap(KeyMap(1, {{0, 65535, "a"}}), m_now, m_decisions);
  setServers(true);
  submit(1, Key(7));
  EXPECT_EQ(outcomeOf(1), "waits");
  m_subject.setKeyMap(KeyMap(2, {{0, 65535, "b"}}), m_now, m_decisions);
  EXPECT_EQ(outcomeOf(1), "b");
}

} // namespace
} // namespace tamarackdrum::gateway

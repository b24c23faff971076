#include "tamarackdrum/gateway/dispatcher-registry.h"

#include <gtest/gtest.h>

namespace tamarackdrum::gateway {
namespace {

class DispatcherRegistryTest : public testing::Test {
protected:
  DispatcherRegistryTest() {
    ServerEntry Made;
    Made.m_id = "a";
    Made.m_service = "cart";
    Made.m_slots = 8;
    Made.m_startMs = 1;
    m_subject.setServers({{"a", Made}}, m_now);
  }

  /// Returns how many of ten requests get a slot.
  int submitTen() {
    m_assigned = 0;
    for (int I = 0; I < 10; ++I) {
      DispatchRequest Request;
      Request.m_id = {0, ++m_lastNumber};
      Request.m_objectiveLeft = Millis(600);
      Request.m_timeLeft = Millis(2500);
      m_subject.submit("cart", Request, m_now);
    }
    return m_assigned;
  }

  TimePoint m_now{std::chrono::seconds(100)};
  int m_assigned = 0;
  std::vector<DispatchId> m_running;
  std::uint32_t m_lastNumber = 0;
  DispatcherRegistry m_subject{
      DispatchPolicy{},
      [this](const std::string &, const DispatchDecision &Made) {
        if (Made.m_server.empty())
          return;
        ++m_assigned;
        m_running.push_back(Made.m_id);
      }};
};

// A host that used its fallback before it knew the other hosts took all slots
// of each server for as long as it ran.
TEST_F(DispatcherRegistryTest, SetPolicy_DispatcherExists_HasTheNewShare) {
  m_subject.dispatcher("cart", m_now);
  DispatchPolicy Shared;
  Shared.m_slotShare = 0.25;
  m_subject.setPolicy(Shared, m_now);
  EXPECT_EQ(submitTen(), 2);
}

TEST_F(DispatcherRegistryTest, SetPolicy_DispatcherHasLimit_ShareIsOfTheLimit) {
  m_subject.noteLimit("cart", "a", {2}, m_now, m_now);
  DispatchPolicy Shared;
  Shared.m_rateShare = 0.25;
  m_subject.setPolicy(Shared, m_now);
  int Count = 0;
  for (int I = 0; I < 200; ++I, m_now += Millis(100)) {
    Count += submitTen();
    for (const DispatchId &Id : std::exchange(m_running, {}))
      m_subject.finish("cart", Id, DispatchResult::Served, Millis(50), m_now);
  }
  EXPECT_GE(Count, 9);
  EXPECT_LE(Count, 11);
}

} // namespace
} // namespace tamarackdrum::gateway

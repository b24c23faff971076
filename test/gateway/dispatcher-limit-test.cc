// Load pattern: servers that take fewer requests a second than their slots
// could run, from all hosts together.

#include "tamarackdrum/gateway/dispatcher.h"

#include <gtest/gtest.h>

namespace tamarackdrum::gateway {
namespace {

class DispatcherLimitTest : public testing::Test {
protected:
  static constexpr Millis ServiceTime{50};
  static constexpr Millis Step{10};

  void setServers(const std::vector<std::string> &Ids) {
    std::vector<ServerEntry> Servers;
    for (const std::string &Id : Ids) {
      ServerEntry Made;
      Made.m_id = Id;
      Made.m_zone = "zone-a";
      Made.m_slots = 4;
      Made.m_startMs = 1;
      Servers.push_back(Made);
    }
    m_subject.setServers(Servers, m_now, m_decisions);
  }

  void setHolders(const std::string &First, const std::string &Second) {
    m_subject.setKeyMap(KeyMap(1, {{0, 32767, First}, {32768, 65535, Second}}),
                        m_now, m_decisions);
  }

  void limit(const std::string &Server, double PerSecond) {
    m_subject.noteLimit(Server, {PerSecond}, m_now, m_now);
  }

  /// Submits a request, finishes those that have run for ServiceTime, and lets
  /// \p Pause pass.
  void submit(std::optional<Key> Wanted, Millis Pause,
              Millis Deadline = Millis(3000)) {
    DispatchRequest Request;
    Request.m_id = {0, ++m_lastNumber};
    Request.m_zone = "zone-a";
    Request.m_key = Wanted;
    Request.m_objectiveLeft = Deadline / 3;
    Request.m_timeLeft = Deadline;
    m_submitted[Request.m_id.m_number] = m_now;
    m_subject.submit(Request, m_now, m_decisions);
    for (const TimePoint End = m_now + Pause; m_now < End;) {
      apply();
      m_now += std::min(Step, std::chrono::duration_cast<Millis>(End - m_now));
      finishDue();
      m_subject.tick(m_now, m_decisions);
    }
    apply();
  }

  void apply() {
    for (const DispatchDecision &Item : std::exchange(m_decisions, {})) {
      if (Item.m_server.empty()) {
        m_refusals.push_back({m_now, Item});
        continue;
      }
      ++m_assigned[Item.m_server];
      m_ends.push_back({m_now + ServiceTime, Item.m_id});
    }
  }

  void finishDue() {
    while (!m_ends.empty() && m_ends.front().first <= m_now) {
      const DispatchId Id = m_ends.front().second;
      m_ends.pop_front();
      m_subject.finish(Id, DispatchResult::Served, ServiceTime, m_now,
                       m_decisions);
    }
  }

  DispatchPolicy m_policy;
  Dispatcher m_subject{m_policy};
  DispatchDecisions m_decisions;
  TimePoint m_now{std::chrono::seconds(100)};
  std::uint32_t m_lastNumber = 0;
  std::deque<std::pair<TimePoint, DispatchId>> m_ends;
  std::map<std::string, int> m_assigned;
  std::map<std::uint32_t, TimePoint> m_submitted; ///< By number.
  std::vector<std::pair<TimePoint, DispatchDecision>> m_refusals;
};

TEST_F(DispatcherLimitTest, Submit_OneServerIsLimited_OthersGetTheRest) {
  setServers({"a", "b"});
  limit("a", 2);
  for (int I = 0; I < 1000; ++I)
    submit({}, Millis(10));
  EXPECT_NEAR(m_assigned["a"], 20, 2);
  EXPECT_GT(m_assigned["b"], 700);
  EXPECT_GT(m_subject.limits(m_now)[0].m_heldBack, 0U);
}

TEST_F(DispatcherLimitTest, Submit_AllServersAreLimited_TheRateIsUsed) {
  setServers({"a", "b"});
  limit("a", 4);
  limit("b", 6);
  for (int I = 0; I < 1000; ++I)
    submit({}, Millis(20));
  EXPECT_NEAR(m_assigned["a"], 80, 4);
  EXPECT_NEAR(m_assigned["b"], 120, 6);
  ASSERT_FALSE(m_refusals.empty());
  EXPECT_EQ(m_refusals.front().second.m_reason, RefusalReason::ServerLimit);
}

TEST_F(DispatcherLimitTest, Submit_HolderIsLimited_RateIsUsedAndRestIsRefused) {
  setServers({"a", "b"});
  setHolders("a", "b");
  limit("a", 2);
  for (int I = 0; I < 500; ++I)
    submit(static_cast<Key>(7), Millis(40));
  EXPECT_NEAR(m_assigned["a"], 40, 2);
  EXPECT_EQ(m_assigned["b"], 0);
  EXPECT_EQ(m_refusals.back().second.m_reason, RefusalReason::ServerLimit);
}

// A request that the limit leaves no time for is refused when it arrives.
TEST_F(DispatcherLimitTest, Submit_NoPermitInTime_IsRefusedAtOnce) {
  setServers({"a", "b"});
  setHolders("a", "b");
  limit("a", 0.5);
  submit(static_cast<Key>(7), Millis(0), Millis(1500));
  ASSERT_EQ(m_refusals.size(), 1U);
  EXPECT_EQ(m_refusals[0].second.m_retryAfter, Millis(2000));
}

// Whatever the limit leaves no time for is known when it arrives.
TEST_F(DispatcherLimitTest,
       Submit_LimitedHolderIsOverloaded_NobodyWaitsInVain) {
  setServers({"a", "b"});
  setHolders("a", "b");
  for (const double Rate : {0.5, 1.4, 2.0, 8.0, 20.0}) {
    limit("a", Rate);
    m_refusals.clear();
    for (int I = 0; I < 500; ++I)
      submit(static_cast<Key>(7), Millis(40));
    std::size_t Late = 0;
    for (const auto &[At, Decision] : m_refusals)
      Late += At - m_submitted.at(Decision.m_id.m_number) > Millis(300) ? 1 : 0;
    EXPECT_EQ(Late, 0U) << "of " << m_refusals.size() << " at " << Rate;
    EXPECT_GT(m_refusals.size(), 50U) << Rate;
  }
}

TEST_F(DispatcherLimitTest, Submit_RetryAfterHasPassed_RequestIsServed) {
  setServers({"a", "b"});
  setHolders("a", "b");
  limit("a", 0.5);
  submit(static_cast<Key>(7), Millis(0), Millis(1500));
  ASSERT_EQ(m_refusals.size(), 1U);
  m_now += m_refusals[0].second.m_retryAfter;
  submit(static_cast<Key>(7), Millis(0), Millis(1500));
  EXPECT_EQ(m_assigned["a"], 1);
}

TEST_F(DispatcherLimitTest, Submit_SeveralAreRefused_ReturnOneAfterTheOther) {
  setServers({"a", "b"});
  setHolders("a", "b");
  limit("a", 0.5);
  for (int I = 0; I < 4; ++I)
    submit(static_cast<Key>(7), Millis(0), Millis(I < 3 ? 2100 : 9000));
  // Only the first could return in time; the last is queued.
  ASSERT_EQ(m_refusals.size(), 3U);
  EXPECT_EQ(m_refusals[0].second.m_retryAfter, Millis(2000));
  EXPECT_EQ(m_refusals[1].second.m_retryAfter, Millis(4000));
  EXPECT_EQ(m_refusals[2].second.m_retryAfter, Millis(4000));
}

TEST_F(DispatcherLimitTest, Submit_ReturnsHavePassed_WaitIsThatOfTheRate) {
  setServers({"a", "b"});
  setHolders("a", "b");
  limit("a", 0.5);
  submit(static_cast<Key>(7), Millis(0), Millis(2100));
  m_now += Millis(10000);
  submit(static_cast<Key>(7), Millis(0), Millis(2100));
  submit(static_cast<Key>(7), Millis(0), Millis(2100));
  ASSERT_EQ(m_refusals.size(), 2U);
  EXPECT_EQ(m_refusals[1].second.m_retryAfter, Millis(2000));
}

TEST_F(DispatcherLimitTest, Submit_PermitFallsDue_WaitingRequestIsFirst) {
  setServers({"a"});
  limit("a", 2);
  submit({}, Millis(0));
  EXPECT_TRUE(m_assigned.empty());
  m_now += Millis(500);
  DispatchRequest Late;
  Late.m_id = {0, 99};
  Late.m_zone = "zone-a";
  Late.m_objectiveLeft = Millis(1000);
  Late.m_timeLeft = Millis(3000);
  m_subject.submit(Late, m_now, m_decisions);
  ASSERT_EQ(m_decisions.size(), 1U);
  EXPECT_EQ(m_decisions[0].m_id.m_number, 1U);
}

TEST_F(DispatcherLimitTest, Finish_LimitIsWithdrawn_SlotsAreUsedAgain) {
  setServers({"a"});
  limit("a", 0.5);
  limit("a", 0);
  for (int I = 0; I < 100; ++I)
    submit({}, Millis(20));
  EXPECT_EQ(m_assigned["a"], 100);
}

TEST_F(DispatcherLimitTest, SetServers_ServerStartsAgain_HasNoLimit) {
  setServers({"a"});
  limit("a", 0.5);
  ServerEntry Next;
  Next.m_id = "a";
  Next.m_slots = 4;
  Next.m_startMs = 2;
  m_subject.setServers({Next}, m_now, m_decisions);
  EXPECT_TRUE(m_subject.limits(m_now).empty());
}

// A server whose registry entry lapses for a while, e.g. since it is cut from
// the store, runs on and still needs its limit.
TEST_F(DispatcherLimitTest, SetServers_ServerReturns_LimitIsKept) {
  setServers({"a", "b"});
  limit("a", 0.5);
  setServers({"b"});
  m_now += Millis(10000);
  setServers({"a", "b"});
  ASSERT_EQ(m_subject.limits(m_now).size(), 1U);
  EXPECT_EQ(m_subject.limits(m_now)[0].m_perSecond, 0.5);
  setServers({"b"});
  m_now += Millis(61000);
  setServers({"a", "b"});
  EXPECT_TRUE(m_subject.limits(m_now).empty());
}

TEST_F(DispatcherLimitTest, CapacityOf_LimitedServer_IsItsLimit) {
  setServers({"a", "b"});
  limit("a", 2);
  EXPECT_EQ(m_subject.capacityOf("a"), 2);
  EXPECT_GT(m_subject.capacityOf("b"), 2);
}

// A host that becomes the coordinator has sent the server nothing itself.
TEST_F(DispatcherLimitTest, AdoptLimit_HostKnowsNothing_LimitIsKept) {
  setServers({"a"});
  EXPECT_TRUE(m_subject.adoptLimit("a", 2, Millis(300), m_now));
  EXPECT_EQ(m_subject.limits(m_now)[0].m_age, Millis(300));
  for (int I = 0; I < 200; ++I)
    submit({}, Millis(20));
  EXPECT_LE(m_assigned["a"], 9);
}

TEST_F(DispatcherLimitTest, AdoptLimit_HigherOrOlder_IsIgnored) {
  setServers({"a", "b"});
  limit("a", 2);
  EXPECT_FALSE(m_subject.adoptLimit("a", 5, Millis(0), m_now));
  EXPECT_TRUE(m_subject.adoptLimit("a", 1, Millis(5000), m_now));
  limit("b", 0);
  EXPECT_FALSE(m_subject.adoptLimit("b", 5, Millis(100), m_now));
}

TEST_F(DispatcherLimitTest, NoteLimit_AnswerAfterAdoption_Corrects) {
  setServers({"a"});
  m_subject.adoptLimit("a", 2, Millis(300), m_now);
  limit("a", 0);
  EXPECT_TRUE(m_subject.limits(m_now).empty());
}

// A coordinator that was paused hears of answers from before the limit.
TEST_F(DispatcherLimitTest, NoteLimit_AnswerToAdoptedDispatch_OnlyLowers) {
  setServers({"a"});
  limit("a", 2);
  m_now += Millis(100);
  m_subject.addRunning({3, 1}, "a", "", Millis(1000), m_now);
  EXPECT_FALSE(m_subject.noteLimit(DispatchId{3, 1}, NamedLimit{}, m_now));
  EXPECT_FALSE(m_subject.noteLimit(DispatchId{3, 1}, NamedLimit{9}, m_now));
  EXPECT_TRUE(m_subject.noteLimit(DispatchId{3, 1}, NamedLimit{1}, m_now));
}

} // namespace
} // namespace tamarackdrum::gateway

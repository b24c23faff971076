#include "tamarackdrum/gateway/dispatcher.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace tamarackdrum::gateway {
namespace {

class DispatcherTest : public testing::Test {
protected:
  static ServerEntry makeServer(std::string Id, unsigned Slots = 1,
                                std::string Zone = "zone-a") {
    ServerEntry Out;
    Out.m_id = std::move(Id);
    Out.m_service = "cart";
    Out.m_zone = std::move(Zone);
    Out.m_slots = Slots;
    Out.m_startMs = 1;
    return Out;
  }

  void setServers(const std::vector<ServerEntry> &Servers) {
    m_subject.setServers(Servers, m_now, m_made);
  }

  DispatchRequest makeAsk(std::uint32_t Number, Millis Objective = Millis(600),
                          Millis Left = Millis(2500)) const {
    DispatchRequest Out;
    Out.m_id = {0, Number};
    Out.m_zone = "zone-a";
    Out.m_objectiveLeft = Objective;
    Out.m_timeLeft = Left;
    return Out;
  }

  static DispatchRequest withPriority(DispatchRequest Ask, unsigned Priority) {
    Ask.m_priority = Priority;
    return Ask;
  }

  /// Asks and returns the decision, or null while the request waits.
  const DispatchDecision *submit(const DispatchRequest &Ask) {
    m_made.clear();
    m_subject.submit(Ask, m_now, m_made);
    return find(Ask.m_id.m_number);
  }

  const DispatchDecision *find(std::uint32_t Number) const {
    for (const DispatchDecision &Item : m_made)
      if (Item.m_id.m_number == Number)
        return &Item;
    return nullptr;
  }

  void finish(std::uint32_t Number,
              DispatchResult Outcome = DispatchResult::Served,
              Millis Time = Millis(100)) {
    m_made.clear();
    m_subject.finish({0, Number}, Outcome, Time, m_now, m_made);
  }

  DispatchPolicy m_policy;
  Dispatcher m_subject{m_policy};
  DispatchDecisions m_made;
  TimePoint m_now{std::chrono::seconds(100)};
  std::uint32_t m_last = 1; ///< The request that runs.
};

TEST_F(DispatcherTest, Ask_NoServers_IsRefusedAtOnce) {
  const DispatchDecision *Made = submit(makeAsk(1));
  ASSERT_NE(Made, nullptr);
  EXPECT_EQ(Made->m_reason, RefusalReason::NoServer);
  EXPECT_GT(Made->m_retryAfter, Millis(0));
}

TEST_F(DispatcherTest, Ask_MoreThanSlots_WaitsForAFreeOne) {
  setServers({makeServer("a", 2)});
  EXPECT_NE(submit(makeAsk(1)), nullptr);
  EXPECT_NE(submit(makeAsk(2)), nullptr);
  EXPECT_EQ(submit(makeAsk(3)), nullptr);
  finish(1);
  ASSERT_NE(find(3), nullptr);
  EXPECT_EQ(find(3)->m_server, "a");
}

TEST_F(DispatcherTest, Finish_SeveralWait_MostUrgentIsNext) {
  setServers({makeServer("a")});
  submit(makeAsk(1));
  submit(makeAsk(2, Millis(900)));
  submit(makeAsk(3, Millis(500)));
  finish(1);
  EXPECT_NE(find(3), nullptr);
  EXPECT_EQ(find(2), nullptr);
}

// Load pattern: the links of the hosts are busy, so that a server with 6 slots
// has one idle on average while decisions and reports are on their way.
TEST_F(DispatcherTest, Finish_ReportsComeLate_ServerIsGivenMoreThanItsSlots) {
  setServers({makeServer("a", 6)});
  std::uint32_t Number = 0;
  for (; Number < 400; ++Number) {
    submit(makeAsk(Number));
    m_now += Millis(120);
    finish(Number, DispatchResult::Served, Millis(100));
  }
  for (int I = 0; I < 9; ++I)
    submit(makeAsk(Number++));
  m_subject.tick(m_now, m_made);
  EXPECT_EQ(m_subject.load().m_running, 7U);
  EXPECT_EQ(m_subject.load().m_waiting, 2U);
}

TEST_F(DispatcherTest, Finish_ReportsComeAtOnce_SlotsAreNotExceeded) {
  setServers({makeServer("a", 6)});
  std::uint32_t Number = 0;
  for (; Number < 400; ++Number) {
    submit(makeAsk(Number));
    m_now += Millis(103);
    finish(Number, DispatchResult::Served, Millis(100));
  }
  for (int I = 0; I < 9; ++I)
    submit(makeAsk(Number++));
  m_subject.tick(m_now, m_made);
  EXPECT_EQ(m_subject.load().m_running, 6U);
}

TEST_F(DispatcherTest, Finish_SeveralPriorities_HighestIsNext) {
  setServers({makeServer("a")});
  submit(makeAsk(1));
  submit(withPriority(makeAsk(2, Millis(400)), 1));
  submit(withPriority(makeAsk(3, Millis(900)), 0));
  submit(withPriority(makeAsk(4, Millis(700)), 0));
  for (std::uint32_t Next : {4, 3, 2}) {
    finish(m_last);
    ASSERT_NE(find(Next), nullptr) << Next;
    m_last = Next;
  }
}

TEST_F(DispatcherTest, Finish_HighestPriorityIsLate_OneInTimeIsNext) {
  setServers({makeServer("a")});
  submit(makeAsk(1));
  submit(withPriority(makeAsk(2, Millis(300)), 0));
  submit(withPriority(makeAsk(3, Millis(1500)), 1));
  m_now += Millis(290);
  finish(1);
  EXPECT_NE(find(3), nullptr);
}

TEST_F(DispatcherTest, Ask_LowerPrioritiesFillTheQueue_HigherOneWaits) {
  setServers({makeServer("a")});
  std::uint32_t Number = 1;
  const DispatchDecision *Made = submit(withPriority(makeAsk(Number), 1));
  while (Made == nullptr || !Made->m_server.empty())
    Made = submit(withPriority(makeAsk(++Number), 1));
  EXPECT_EQ(submit(withPriority(makeAsk(++Number), 0)), nullptr);
  finish(1);
  EXPECT_NE(find(Number), nullptr);
}

TEST_F(DispatcherTest, Finish_OneIsTooLate_OneInTimeIsNext) {
  setServers({makeServer("a")});
  submit(makeAsk(1));
  submit(makeAsk(2, Millis(300)));
  submit(makeAsk(3, Millis(1500)));
  m_now += Millis(290);
  finish(1);
  EXPECT_NE(find(3), nullptr);
}

// Load pattern: far more work than slots. What cannot be served in its time
// is told so at its arrival.
TEST_F(DispatcherTest, Ask_LongQueue_IsRefusedWithTheExpectedWait) {
  setServers({makeServer("a")});
  std::uint32_t Number = 1;
  const DispatchDecision *Made = submit(makeAsk(Number));
  while (Made == nullptr || !Made->m_server.empty())
    Made = submit(makeAsk(++Number));
  EXPECT_EQ(Made->m_reason, RefusalReason::Overloaded);
  EXPECT_GE(Made->m_retryAfter, Millis(500));
  EXPECT_LT(Number, 20U);
}

TEST_F(DispatcherTest, Tick_TimeOfAWaitingRequestIsOver_IsRefused) {
  setServers({makeServer("a")});
  submit(makeAsk(1));
  submit(makeAsk(2, Millis(300), Millis(600)));
  m_now += Millis(590);
  m_made.clear();
  m_subject.tick(m_now, m_made);
  ASSERT_NE(find(2), nullptr);
  EXPECT_TRUE(find(2)->m_server.empty());
}

TEST_F(DispatcherTest, Ask_EqualServers_OwnZoneIsChosen) {
  setServers({makeServer("a", 1, "zone-b"), makeServer("b", 1, "zone-a")});
  EXPECT_EQ(submit(makeAsk(1))->m_server, "b");
}

// Load pattern: servers of unlike speed.
TEST_F(DispatcherTest, Ask_OneServerIsMuchSlower_TheOtherIsChosen) {
  setServers({makeServer("a", 4), makeServer("b", 4)});
  std::uint32_t Number = 0;
  for (int I = 0; I < 30; ++I) {
    const DispatchDecision Made = *submit(makeAsk(++Number));
    finish(Number, DispatchResult::Served,
           Made.m_server == "a" ? Millis(900) : Millis(100));
  }
  EXPECT_EQ(submit(makeAsk(++Number))->m_server, "b");
}

// Load pattern: a server that answers but refuses part of its work.
TEST_F(DispatcherTest, Ask_OneServerRefusesOften_TheOtherIsChosen) {
  setServers({makeServer("a", 4), makeServer("b", 4)});
  std::uint32_t Number = 0;
  for (int I = 0; I < 30; ++I) {
    const DispatchDecision Made = *submit(makeAsk(++Number));
    finish(Number, Made.m_server == "a" ? DispatchResult::Refused
                                        : DispatchResult::Served);
  }
  EXPECT_EQ(submit(makeAsk(++Number))->m_server, "b");
}

// Load pattern: one of two servers is overloaded and wants nothing from a host
// for a while.
TEST_F(DispatcherTest, Ask_ServerRestsForTheHost_AnotherIsChosen) {
  setServers({makeServer("a"), makeServer("b")});
  DispatchRequest Ask = makeAsk(1);
  Ask.m_backoffs = {{"a", Millis(2000)}};
  EXPECT_EQ(submit(Ask)->m_server, "b");
  // It waits for the other one, though the resting one has room.
  Ask.m_id.m_number = 3;
  EXPECT_EQ(submit(Ask), nullptr);
  m_subject.tick(m_now, m_made);
  EXPECT_EQ(find(3), nullptr);
  // It rests for that host only.
  EXPECT_EQ(submit(makeAsk(4))->m_server, "a");
  finish(1);
  EXPECT_EQ(find(3)->m_server, "b");
}

TEST_F(DispatcherTest, Ask_AllServersRest_IsRefusedUntilTheFirstIsBack) {
  setServers({makeServer("a"), makeServer("b")});
  DispatchRequest Ask = makeAsk(1);
  Ask.m_backoffs = {{"a", Millis(2000)}, {"b", Millis(700)}};
  const DispatchDecision *Made = submit(Ask);
  ASSERT_NE(Made, nullptr);
  EXPECT_EQ(Made->m_reason, RefusalReason::ServerBackoff);
  EXPECT_EQ(Made->m_retryAfter, Millis(700));
}

TEST_F(DispatcherTest, Ask_HolderOfTheKeyRests_IsRefusedAtOnce) {
  setServers({makeServer("a"), makeServer("b")});
  m_subject.setKeyMap(KeyMap(1, {{0, 99, "a"}, {100, 65535, "b"}}), m_now,
                      m_made);
  DispatchRequest Ask = makeAsk(1);
  Ask.m_backoffs = {{"a", Millis(2000)}};
  Ask.m_key = 100;
  EXPECT_EQ(submit(Ask)->m_server, "b");
  Ask.m_id.m_number = 2;
  Ask.m_key = 7;
  const DispatchDecision *Made = submit(Ask);
  ASSERT_NE(Made, nullptr);
  EXPECT_EQ(Made->m_reason, RefusalReason::ServerBackoff);
  EXPECT_EQ(Made->m_retryAfter, Millis(2000));
}

TEST_F(DispatcherTest, Finish_ServerUnreachable_IsPausedAndTriedOnceLater) {
  setServers({makeServer("a", 2)});
  submit(makeAsk(1));
  finish(1, DispatchResult::Unreachable);
  EXPECT_EQ(submit(makeAsk(2, Millis(2000))), nullptr);
  EXPECT_EQ(submit(makeAsk(3, Millis(2000))), nullptr);
  m_now += m_policy.m_initialPause;
  m_made.clear();
  m_subject.tick(m_now, m_made);
  EXPECT_EQ(m_made.size(), 1U);
}

TEST_F(DispatcherTest, Ask_ServerHasFailedIt_AnotherIsChosen) {
  setServers({makeServer("a"), makeServer("b")});
  DispatchRequest Ask = makeAsk(1);
  Ask.m_triedServers = {"a"};
  Ask.m_isRetry = true;
  EXPECT_EQ(submit(Ask)->m_server, "b");
}

TEST_F(DispatcherTest, Ask_RepeatsBeyondTheBudget_AreRefused) {
  setServers({makeServer("a", 1000)});
  unsigned Taken = 0;
  for (std::uint32_t I = 1; I <= 200; ++I) {
    DispatchRequest Ask = makeAsk(I);
    Ask.m_isRetry = true;
    const DispatchDecision *Made = submit(Ask);
    if (!Made->m_server.empty())
      ++Taken;
    else
      EXPECT_EQ(Made->m_reason, RefusalReason::NoRetryBudget);
  }
  EXPECT_LE(Taken, m_policy.m_retries.m_baseRetries);
}

// Hosts that were gone, or that reported to another coordinator, left slots
// taken for good.
TEST_F(DispatcherTest, Tick_EndIsNeverReported_SlotIsFreeAfterItsTime) {
  setServers({makeServer("a")});
  ASSERT_EQ(submit(makeAsk(1, Millis(600), Millis(2000)))->m_server, "a");
  m_now += Millis(2000) + m_policy.m_reportGrace;
  m_made.clear();
  m_subject.tick(m_now, m_made);
  EXPECT_EQ(submit(makeAsk(2))->m_server, "a");
}

TEST_F(DispatcherTest, ForgetRunning_CoordinatorAgain_CountsWhatIsReported) {
  setServers({makeServer("a", 2)});
  submit(makeAsk(1));
  submit(makeAsk(2));
  m_subject.clearRunning();
  m_subject.addRunning({9, 1}, "a", "", Millis(1000), m_now);
  EXPECT_EQ(submit(makeAsk(3))->m_server, "a");
  EXPECT_EQ(submit(makeAsk(4)), nullptr);
}

// A request that was ended early says only that it would have taken longer.
TEST_F(DispatcherTest, Finish_TimedOutEarly_DoesNotMakeAServerLookFast) {
  setServers({makeServer("a", 1)});
  const double Before = m_subject.capacityOf("a");
  for (std::uint32_t I = 1; I <= 50; ++I) {
    submit(makeAsk(I));
    finish(I, DispatchResult::TimedOut, Millis(5));
  }
  EXPECT_LE(m_subject.capacityOf("a"), Before);
}

TEST_F(DispatcherTest, Tick_LessTimeThanTheServiceTakes_IsRefused) {
  setServers({makeServer("a", 1)});
  submit(makeAsk(1));
  EXPECT_EQ(submit(makeAsk(2, Millis(600), Millis(400))), nullptr);
  m_now += Millis(400) - m_policy.m_initialServiceTime;
  m_made.clear();
  m_subject.tick(m_now, m_made);
  ASSERT_NE(find(2), nullptr);
  EXPECT_EQ(find(2)->m_reason, RefusalReason::Overloaded);
}

// Servers that shed part of their work have room for the client's return.
TEST_F(DispatcherTest, Ask_NoBudgetButFreeSlots_MayComeBackAtOnce) {
  setServers({makeServer("a", 1000)});
  DispatchRequest Ask = makeAsk(1);
  Ask.m_isRetry = true;
  const DispatchDecision *Made = submit(Ask);
  for (std::uint32_t I = 2; !Made->m_server.empty(); ++I) {
    Ask.m_id.m_number = I;
    Made = submit(Ask);
  }
  ASSERT_EQ(Made->m_reason, RefusalReason::NoRetryBudget);
  EXPECT_LT(Made->m_retryAfter, m_policy.m_initialServiceTime);
}

TEST_F(DispatcherTest, Ask_OwnZoneIsFull_WaitsThereBeforeItCrosses) {
  setServers({makeServer("a", 1, "zone-a"), makeServer("b", 1, "zone-b")});
  EXPECT_EQ(submit(makeAsk(1, Millis(2000)))->m_server, "a");
  EXPECT_EQ(submit(makeAsk(2, Millis(2000))), nullptr);
  m_now += std::chrono::duration_cast<Millis>(Millis(2000) *
                                              m_policy.m_zoneWaitShare);
  m_made.clear();
  m_subject.tick(m_now, m_made);
  ASSERT_EQ(m_made.size(), 1U);
  EXPECT_EQ(m_made[0].m_server, "b");
}

TEST_F(DispatcherTest, Ask_NoTimeToWaitForItsZone_CrossesAtOnce) {
  setServers({makeServer("a", 1, "zone-a"), makeServer("b", 1, "zone-b")});
  EXPECT_EQ(submit(makeAsk(1))->m_server, "a");
  EXPECT_EQ(submit(makeAsk(2, Millis(200)))->m_server, "b");
}

TEST_F(DispatcherTest, Ask_KeyedService_GoesToTheHolder) {
  setServers({makeServer("a"), makeServer("b")});
  m_subject.setKeyMap(KeyMap(1, {{0, 99, "a"}, {100, 65535, "b"}}), m_now,
                      m_made);
  DispatchRequest Ask = makeAsk(1);
  Ask.m_key = 100;
  EXPECT_EQ(submit(Ask)->m_server, "b");
}

TEST_F(DispatcherTest, Ask_KeysMove_WaitsForTheNewHolder) {
  setServers({makeServer("a"), makeServer("b")});
  m_subject.setKeyMap(KeyMap(1, {{0, 65535, ""}}), m_now, m_made);
  DispatchRequest Ask = makeAsk(1, Millis(1500));
  Ask.m_key = 7;
  EXPECT_EQ(submit(Ask), nullptr);
  m_made.clear();
  m_subject.setKeyMap(KeyMap(2, {{0, 65535, "b"}}), m_now, m_made);
  ASSERT_NE(find(1), nullptr);
  EXPECT_EQ(find(1)->m_server, "b");
}

// A granter was gone while the store was away: each request that met a lapsed
// hold was sent again, past the retry budget.
TEST_F(DispatcherTest, Finish_ServerDoesNotHoldTheKey_OthersWait) {
  setServers({makeServer("a", 4)});
  m_subject.setKeyMap(KeyMap(1, {{0, 65535, "a"}}), m_now, m_made);
  DispatchRequest Ask = makeAsk(1);
  Ask.m_key = 7;
  ASSERT_NE(submit(Ask), nullptr);
  finish(1, DispatchResult::NotHeld);
  Ask.m_id.m_number = 2;
  EXPECT_EQ(submit(Ask), nullptr);
}

// Load pattern: all hosts were lost and servers still hold some of their keys.
TEST_F(DispatcherTest, Finish_RecordedHolderHasNothing_IsAskedOnceOnly) {
  setServers({makeServer("a", 4)});
  m_subject.setKeyMap(KeyMap(0, {{0, 65535, "a"}}), m_now, m_made);
  DispatchRequest Ask = makeAsk(1, Millis(1500));
  Ask.m_key = 7;
  EXPECT_NE(submit(Ask), nullptr);
  finish(1, DispatchResult::NotHeld);
  m_now += Millis(300);
  Ask.m_id.m_number = 2;
  EXPECT_EQ(submit(Ask), nullptr);
  m_made.clear();
  m_subject.setKeyMap(KeyMap(5, {{0, 99, "a"}, {100, 65535, ""}}), m_now,
                      m_made);
  EXPECT_NE(find(2), nullptr);
}

TEST_F(DispatcherTest, DropLink_HostIsLost_ItsSlotsComeBack) {
  setServers({makeServer("a")});
  DispatchRequest Ask = makeAsk(1);
  Ask.m_id.m_link = 5;
  m_subject.submit(Ask, m_now, m_made);
  EXPECT_EQ(submit(makeAsk(2, Millis(2000))), nullptr);
  m_subject.dropLink(5, m_now);
  m_now += Millis(400);
  m_made.clear();
  m_subject.tick(m_now, m_made);
  EXPECT_NE(find(2), nullptr);
}

TEST_F(DispatcherTest, Adopt_DispatchOfAnotherCoordinator_TakesItsSlot) {
  setServers({makeServer("a")});
  m_subject.addRunning({3, 9}, "a", "", Millis(1000), m_now);
  EXPECT_EQ(submit(makeAsk(1)), nullptr);
  m_made.clear();
  m_subject.finish({3, 9}, DispatchResult::Served, Millis(10), m_now, m_made);
  EXPECT_NE(find(1), nullptr);
}

TEST_F(DispatcherTest, SetServers_ServerDrains_GetsNothingMore) {
  ServerEntry Draining = makeServer("a");
  Draining.m_isDraining = true;
  setServers({Draining, makeServer("b", 5)});
  for (std::uint32_t I = 1; I <= 3; ++I)
    EXPECT_EQ(submit(makeAsk(I))->m_server, "b");
}

// Load pattern: downloads and short reads with little time share a service.
TEST_F(DispatcherTest, Route_ShortAmongLong_IsNotTakenForLate) {
  setServers({makeServer("a")});
  const auto WithRoute = [this](std::uint32_t Number, const char *Route,
                                Millis Objective) {
    DispatchRequest Out = makeAsk(Number, Objective);
    Out.m_route = Route;
    return Out;
  };
  std::uint32_t Number = 0;
  for (int I = 0; I < 60; ++I)
    for (const char *Route : {"short", "long"}) {
      submit(WithRoute(++Number, Route, Millis(2000)));
      finish(Number, DispatchResult::Served, Millis(*Route == 's' ? 40 : 400));
    }
  // One runs; of those that wait, only the short one can still be in time.
  submit(WithRoute(1000, "long", Millis(2000)));
  DispatchRequest Late = WithRoute(1001, "long", Millis(10));
  Late.m_timeLeft = Millis(1500);
  submit(Late);
  submit(WithRoute(1002, "short", Millis(350)));
  finish(1000, DispatchResult::Served, Millis(40));
  EXPECT_NE(find(1002), nullptr);
}

} // namespace
} // namespace tamarackdrum::gateway

#include "tamarackdrum/gateway/dispatcher.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <random>

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
    m_subject.setServers(Servers, m_now, m_decisions);
  }

  DispatchRequest makeRequest(std::uint32_t Number,
                              Millis Objective = Millis(600),
                              Millis Left = Millis(2500)) const {
    DispatchRequest Out;
    Out.m_id = {0, Number};
    Out.m_zone = "zone-a";
    Out.m_objectiveLeft = Objective;
    Out.m_timeLeft = Left;
    return Out;
  }

  static DispatchRequest withPriority(DispatchRequest Request,
                                      unsigned Priority) {
    Request.m_priority = Priority;
    return Request;
  }

  /// Submits a request. Returns the decision, or null while the request waits.
  const DispatchDecision *submit(const DispatchRequest &Request) {
    m_decisions.clear();
    m_subject.submit(Request, m_now, m_decisions);
    return find(Request.m_id.m_number);
  }

  const DispatchDecision *find(std::uint32_t Number) const {
    for (const DispatchDecision &Item : m_decisions)
      if (Item.m_id.m_number == Number)
        return &Item;
    return nullptr;
  }

  void finish(std::uint32_t Number,
              DispatchResult Outcome = DispatchResult::Served,
              Millis Time = Millis(100)) {
    m_decisions.clear();
    m_subject.finish({0, Number}, Outcome, Time, m_now, m_decisions);
  }

  DispatchPolicy m_policy;
  Dispatcher m_subject{m_policy};
  DispatchDecisions m_decisions;
  TimePoint m_now{std::chrono::seconds(100)};
  std::uint32_t m_runningNumber = 1;
};

TEST_F(DispatcherTest, Submit_NoServers_IsRefusedAtOnce) {
  const DispatchDecision *Decision = submit(makeRequest(1));
  ASSERT_NE(Decision, nullptr);
  EXPECT_EQ(Decision->m_reason, RefusalReason::NoServer);
  EXPECT_GT(Decision->m_retryAfter, Millis(0));
}

TEST_F(DispatcherTest, Submit_NoFreeSlot_WaitsForOne) {
  setServers({makeServer("a", 2)});
  EXPECT_NE(submit(makeRequest(1)), nullptr);
  EXPECT_NE(submit(makeRequest(2)), nullptr);
  EXPECT_EQ(submit(makeRequest(3)), nullptr);
  finish(1);
  ASSERT_NE(find(3), nullptr);
  EXPECT_EQ(find(3)->m_server, "a");
}

TEST_F(DispatcherTest, Finish_SeveralWait_MostUrgentIsNext) {
  setServers({makeServer("a")});
  submit(makeRequest(1));
  submit(makeRequest(2, Millis(900)));
  submit(makeRequest(3, Millis(500)));
  finish(1);
  EXPECT_NE(find(3), nullptr);
  EXPECT_EQ(find(2), nullptr);
}

// Load pattern: slow links between hosts. On average one of the 6 slots of a
// server is idle while decisions and reports are in transit.
TEST_F(DispatcherTest, Finish_LateReports_ServerGetsMoreThanItsSlots) {
  setServers({makeServer("a", 6)});
  std::uint32_t Number = 0;
  for (; Number < 400; ++Number) {
    submit(makeRequest(Number));
    m_now += Millis(120);
    finish(Number, DispatchResult::Served, Millis(100));
  }
  for (int I = 0; I < 9; ++I)
    submit(makeRequest(Number++));
  m_subject.tick(m_now, m_decisions);
  EXPECT_EQ(m_subject.load().m_running, 7U);
  EXPECT_EQ(m_subject.load().m_waiting, 2U);
}

TEST_F(DispatcherTest, Finish_PromptReports_SlotsAreNotExceeded) {
  setServers({makeServer("a", 6)});
  std::uint32_t Number = 0;
  for (; Number < 400; ++Number) {
    submit(makeRequest(Number));
    m_now += Millis(103);
    finish(Number, DispatchResult::Served, Millis(100));
  }
  for (int I = 0; I < 9; ++I)
    submit(makeRequest(Number++));
  m_subject.tick(m_now, m_decisions);
  EXPECT_EQ(m_subject.load().m_running, 6U);
}

TEST_F(DispatcherTest, Finish_SeveralPriorities_HighestIsNext) {
  setServers({makeServer("a")});
  submit(makeRequest(1));
  submit(withPriority(makeRequest(2, Millis(400)), 1));
  submit(withPriority(makeRequest(3, Millis(900)), 0));
  submit(withPriority(makeRequest(4, Millis(700)), 0));
  for (std::uint32_t Next : {4, 3, 2}) {
    finish(m_runningNumber);
    ASSERT_NE(find(Next), nullptr) << Next;
    m_runningNumber = Next;
  }
}

TEST_F(DispatcherTest, Finish_HighestPriorityIsLate_OneInTimeIsNext) {
  setServers({makeServer("a")});
  submit(makeRequest(1));
  submit(withPriority(makeRequest(2, Millis(300)), 0));
  submit(withPriority(makeRequest(3, Millis(1500)), 1));
  m_now += Millis(290);
  finish(1);
  EXPECT_NE(find(3), nullptr);
}

TEST_F(DispatcherTest, Submit_QueueFullOfLowerPriority_HigherPriorityWaits) {
  setServers({makeServer("a")});
  std::uint32_t Number = 1;
  const DispatchDecision *Decision =
      submit(withPriority(makeRequest(Number), 1));
  while (Decision == nullptr || !Decision->m_server.empty())
    Decision = submit(withPriority(makeRequest(++Number), 1));
  EXPECT_EQ(submit(withPriority(makeRequest(++Number), 0)), nullptr);
  finish(1);
  EXPECT_NE(find(Number), nullptr);
}

TEST_F(DispatcherTest, Finish_MostUrgentIsLate_OneInTimeIsNext) {
  setServers({makeServer("a")});
  submit(makeRequest(1));
  submit(makeRequest(2, Millis(300)));
  submit(makeRequest(3, Millis(1500)));
  m_now += Millis(290);
  finish(1);
  EXPECT_NE(find(3), nullptr);
}

// Load pattern: far more requests than slots. A request that cannot be served
// in time is refused when it arrives.
TEST_F(DispatcherTest, Submit_LongQueue_IsRefusedWithTheExpectedWait) {
  setServers({makeServer("a")});
  std::uint32_t Number = 1;
  const DispatchDecision *Decision = submit(makeRequest(Number));
  while (Decision == nullptr || !Decision->m_server.empty())
    Decision = submit(makeRequest(++Number));
  EXPECT_EQ(Decision->m_reason, RefusalReason::Overloaded);
  EXPECT_GE(Decision->m_retryAfter, Millis(500));
  EXPECT_LT(Number, 20U);
}

TEST_F(DispatcherTest, Tick_WaitingRequestOutOfTime_IsRefused) {
  setServers({makeServer("a")});
  submit(makeRequest(1));
  submit(makeRequest(2, Millis(300), Millis(600)));
  m_now += Millis(590);
  m_decisions.clear();
  m_subject.tick(m_now, m_decisions);
  ASSERT_NE(find(2), nullptr);
  EXPECT_TRUE(find(2)->m_server.empty());
}

TEST_F(DispatcherTest, Submit_EqualServers_OwnZoneIsChosen) {
  setServers({makeServer("a", 1, "zone-b"), makeServer("b", 1, "zone-a")});
  EXPECT_EQ(submit(makeRequest(1))->m_server, "b");
}

// Load pattern: servers of different speed.
TEST_F(DispatcherTest, Submit_OneServerIsMuchSlower_TheOtherIsChosen) {
  setServers({makeServer("a", 4), makeServer("b", 4)});
  std::uint32_t Number = 0;
  for (int I = 0; I < 30; ++I) {
    const DispatchDecision Decision = *submit(makeRequest(++Number));
    finish(Number, DispatchResult::Served,
           Decision.m_server == "a" ? Millis(900) : Millis(100));
  }
  EXPECT_EQ(submit(makeRequest(++Number))->m_server, "b");
}

// Load pattern: a server that refuses part of its requests.
TEST_F(DispatcherTest, Submit_OneServerRefusesOften_TheOtherIsChosen) {
  setServers({makeServer("a", 4), makeServer("b", 4)});
  std::uint32_t Number = 0;
  for (int I = 0; I < 30; ++I) {
    const DispatchDecision Decision = *submit(makeRequest(++Number));
    finish(Number, Decision.m_server == "a" ? DispatchResult::Refused
                                            : DispatchResult::Served);
  }
  EXPECT_EQ(submit(makeRequest(++Number))->m_server, "b");
}

// Load pattern: one of two servers is overloaded and has asked one host to send
// nothing for some time.
TEST_F(DispatcherTest, Submit_ServerInBackoffForTheHost_AnotherIsChosen) {
  setServers({makeServer("a"), makeServer("b")});
  DispatchRequest Request = makeRequest(1);
  Request.m_backoffs = {{"a", Millis(2000)}};
  EXPECT_EQ(submit(Request)->m_server, "b");
  // The request waits for "b" although "a" has a free slot.
  Request.m_id.m_number = 3;
  EXPECT_EQ(submit(Request), nullptr);
  m_subject.tick(m_now, m_decisions);
  EXPECT_EQ(find(3), nullptr);
  // The backoff concerns requests of that host only.
  EXPECT_EQ(submit(makeRequest(4))->m_server, "a");
  finish(1);
  EXPECT_EQ(find(3)->m_server, "b");
}

TEST_F(DispatcherTest, Submit_AllServersInBackoff_IsRefusedUntilTheFirstEnds) {
  setServers({makeServer("a"), makeServer("b")});
  DispatchRequest Request = makeRequest(1);
  Request.m_backoffs = {{"a", Millis(2000)}, {"b", Millis(700)}};
  const DispatchDecision *Decision = submit(Request);
  ASSERT_NE(Decision, nullptr);
  EXPECT_EQ(Decision->m_reason, RefusalReason::ServerBackoff);
  EXPECT_EQ(Decision->m_retryAfter, Millis(700));
}

TEST_F(DispatcherTest, Submit_HolderOfTheKeyInBackoff_IsRefusedAtOnce) {
  setServers({makeServer("a"), makeServer("b")});
  m_subject.setKeyMap(KeyMap(1, {{0, 99, "a"}, {100, 65535, "b"}}), m_now,
                      m_decisions);
  DispatchRequest Request = makeRequest(1);
  Request.m_backoffs = {{"a", Millis(2000)}};
  Request.m_key = 100;
  EXPECT_EQ(submit(Request)->m_server, "b");
  Request.m_id.m_number = 2;
  Request.m_key = 7;
  const DispatchDecision *Decision = submit(Request);
  ASSERT_NE(Decision, nullptr);
  EXPECT_EQ(Decision->m_reason, RefusalReason::ServerBackoff);
  EXPECT_EQ(Decision->m_retryAfter, Millis(2000));
}

TEST_F(DispatcherTest, Finish_ServerUnreachable_IsPausedThenProbedOnce) {
  setServers({makeServer("a", 2)});
  submit(makeRequest(1));
  finish(1, DispatchResult::Unreachable);
  EXPECT_EQ(submit(makeRequest(2, Millis(2000))), nullptr);
  EXPECT_EQ(submit(makeRequest(3, Millis(2000))), nullptr);
  m_now += m_policy.m_initialPause;
  m_decisions.clear();
  m_subject.tick(m_now, m_decisions);
  EXPECT_EQ(m_decisions.size(), 1U);
}

TEST_F(DispatcherTest, Submit_ServerAlreadyTried_AnotherIsChosen) {
  setServers({makeServer("a"), makeServer("b")});
  DispatchRequest Request = makeRequest(1);
  Request.m_triedServers = {"a"};
  Request.m_isRetry = true;
  EXPECT_EQ(submit(Request)->m_server, "b");
}

TEST_F(DispatcherTest, Submit_RetriesBeyondTheBudget_AreRefused) {
  setServers({makeServer("a", 1000)});
  unsigned Taken = 0;
  for (std::uint32_t I = 1; I <= 200; ++I) {
    DispatchRequest Request = makeRequest(I);
    Request.m_isRetry = true;
    const DispatchDecision *Decision = submit(Request);
    if (!Decision->m_server.empty())
      ++Taken;
    else
      EXPECT_EQ(Decision->m_reason, RefusalReason::NoRetryBudget);
  }
  EXPECT_LE(Taken, m_policy.m_retries.m_baseRetries);
}

// A host that has ended or reports to another coordinator never reports the end
// of a dispatch. Its slot must not stay taken forever.
TEST_F(DispatcherTest, Tick_EndIsNeverReported_SlotIsFreedAfterTheDeadline) {
  setServers({makeServer("a")});
  ASSERT_EQ(submit(makeRequest(1, Millis(600), Millis(2000)))->m_server, "a");
  m_now += Millis(2000) + m_policy.m_reportGrace;
  m_decisions.clear();
  m_subject.tick(m_now, m_decisions);
  EXPECT_EQ(submit(makeRequest(2))->m_server, "a");
}

TEST_F(DispatcherTest, ClearRunning_CoordinatorAgain_CountsReportedDispatches) {
  setServers({makeServer("a", 2)});
  submit(makeRequest(1));
  submit(makeRequest(2));
  m_subject.clearRunning();
  m_subject.addRunning({9, 1}, "a", "", Millis(1000), m_now);
  EXPECT_EQ(submit(makeRequest(3))->m_server, "a");
  EXPECT_EQ(submit(makeRequest(4)), nullptr);
}

// The time of a request that ended early is only a lower bound of its service
// time.
TEST_F(DispatcherTest, Finish_TimedOutEarly_DoesNotRaiseTheCapacity) {
  setServers({makeServer("a", 1)});
  const double Before = m_subject.capacityOf("a");
  for (std::uint32_t I = 1; I <= 50; ++I) {
    submit(makeRequest(I));
    finish(I, DispatchResult::TimedOut, Millis(5));
  }
  EXPECT_LE(m_subject.capacityOf("a"), Before);
}

TEST_F(DispatcherTest, Tick_LessTimeThanServiceTime_IsRefused) {
  setServers({makeServer("a", 1)});
  submit(makeRequest(1));
  EXPECT_EQ(submit(makeRequest(2, Millis(600), Millis(400))), nullptr);
  m_now += Millis(400) - m_policy.m_initialServiceTime;
  m_decisions.clear();
  m_subject.tick(m_now, m_decisions);
  ASSERT_NE(find(2), nullptr);
  EXPECT_EQ(find(2)->m_reason, RefusalReason::Overloaded);
}

// Servers that refuse part of their requests have free slots when the client
// sends its request again.
TEST_F(DispatcherTest, Submit_NoBudgetButFreeSlots_RetryAfterIsShort) {
  setServers({makeServer("a", 1000)});
  DispatchRequest Request = makeRequest(1);
  Request.m_isRetry = true;
  const DispatchDecision *Decision = submit(Request);
  for (std::uint32_t I = 2; !Decision->m_server.empty(); ++I) {
    Request.m_id.m_number = I;
    Decision = submit(Request);
  }
  ASSERT_EQ(Decision->m_reason, RefusalReason::NoRetryBudget);
  EXPECT_LT(Decision->m_retryAfter, m_policy.m_initialServiceTime);
}

TEST_F(DispatcherTest, Submit_OwnZoneIsFull_WaitsBeforeItUsesAnotherZone) {
  setServers({makeServer("a", 1, "zone-a"), makeServer("b", 1, "zone-b")});
  EXPECT_EQ(submit(makeRequest(1, Millis(2000)))->m_server, "a");
  EXPECT_EQ(submit(makeRequest(2, Millis(2000))), nullptr);
  m_now += std::chrono::duration_cast<Millis>(Millis(2000) *
                                              m_policy.m_zoneWaitShare);
  m_decisions.clear();
  m_subject.tick(m_now, m_decisions);
  ASSERT_EQ(m_decisions.size(), 1U);
  EXPECT_EQ(m_decisions[0].m_server, "b");
}

TEST_F(DispatcherTest, Submit_NoTimeToWaitForOwnZone_UsesAnotherAtOnce) {
  setServers({makeServer("a", 1, "zone-a"), makeServer("b", 1, "zone-b")});
  EXPECT_EQ(submit(makeRequest(1))->m_server, "a");
  EXPECT_EQ(submit(makeRequest(2, Millis(200)))->m_server, "b");
}

TEST_F(DispatcherTest, Submit_KeyedService_GoesToTheHolder) {
  setServers({makeServer("a"), makeServer("b")});
  m_subject.setKeyMap(KeyMap(1, {{0, 99, "a"}, {100, 65535, "b"}}), m_now,
                      m_decisions);
  DispatchRequest Request = makeRequest(1);
  Request.m_key = 100;
  EXPECT_EQ(submit(Request)->m_server, "b");
}

TEST_F(DispatcherTest, Submit_KeysMove_WaitsForTheNewHolder) {
  setServers({makeServer("a"), makeServer("b")});
  m_subject.setKeyMap(KeyMap(1, {{0, 65535, ""}}), m_now, m_decisions);
  DispatchRequest Request = makeRequest(1, Millis(1500));
  Request.m_key = 7;
  EXPECT_EQ(submit(Request), nullptr);
  m_decisions.clear();
  m_subject.setKeyMap(KeyMap(2, {{0, 65535, "b"}}), m_now, m_decisions);
  ASSERT_NE(find(1), nullptr);
  EXPECT_EQ(find(1)->m_server, "b");
}

// Without a granter, while the store is unavailable, holds lapse. If each
// request for a lapsed key were sent to the server and then again, the retries
// would exceed the budget.
TEST_F(DispatcherTest, Finish_ServerDoesNotHoldTheKey_OthersWait) {
  setServers({makeServer("a", 4)});
  m_subject.setKeyMap(KeyMap(1, {{0, 65535, "a"}}), m_now, m_decisions);
  DispatchRequest Request = makeRequest(1);
  Request.m_key = 7;
  ASSERT_NE(submit(Request), nullptr);
  finish(1, DispatchResult::NotHeld);
  Request.m_id.m_number = 2;
  EXPECT_EQ(submit(Request), nullptr);
}

// Load pattern: all hosts have ended, and servers still hold some of their
// keys. Until a granter tells the holders, the last recorded ones are used.
TEST_F(DispatcherTest, Finish_RecordedHolderLacksTheKey_IsTriedOnce) {
  setServers({makeServer("a", 4)});
  m_subject.setKeyMap(KeyMap(0, {{0, 65535, "a"}}), m_now, m_decisions);
  DispatchRequest Request = makeRequest(1, Millis(1500));
  Request.m_key = 7;
  EXPECT_NE(submit(Request), nullptr);
  finish(1, DispatchResult::NotHeld);
  m_now += Millis(300);
  Request.m_id.m_number = 2;
  EXPECT_EQ(submit(Request), nullptr);
  m_decisions.clear();
  m_subject.setKeyMap(KeyMap(5, {{0, 99, "a"}, {100, 65535, ""}}), m_now,
                      m_decisions);
  EXPECT_NE(find(2), nullptr);
}

TEST_F(DispatcherTest, DropLink_HostIsLost_ItsSlotsAreFreed) {
  setServers({makeServer("a")});
  DispatchRequest Request = makeRequest(1);
  Request.m_id.m_link = 5;
  m_subject.submit(Request, m_now, m_decisions);
  EXPECT_EQ(submit(makeRequest(2, Millis(2000))), nullptr);
  m_subject.dropLink(5, m_now);
  m_now += Millis(400);
  m_decisions.clear();
  m_subject.tick(m_now, m_decisions);
  EXPECT_NE(find(2), nullptr);
}

TEST_F(DispatcherTest, AddRunning_DispatchOfAnotherCoordinator_TakesASlot) {
  setServers({makeServer("a")});
  m_subject.addRunning({3, 9}, "a", "", Millis(1000), m_now);
  EXPECT_EQ(submit(makeRequest(1)), nullptr);
  m_decisions.clear();
  m_subject.finish({3, 9}, DispatchResult::Served, Millis(10), m_now,
                   m_decisions);
  EXPECT_NE(find(1), nullptr);
}

TEST_F(DispatcherTest, SetServers_ServerDrains_GetsNoRequests) {
  ServerEntry Draining = makeServer("a");
  Draining.m_isDraining = true;
  setServers({Draining, makeServer("b", 5)});
  for (std::uint32_t I = 1; I <= 3; ++I)
    EXPECT_EQ(submit(makeRequest(I))->m_server, "b");
}

// Load pattern: long downloads and short reads with little time share a
// service.
TEST_F(DispatcherTest, Finish_ShortRouteAmongLong_DoesNotCountAsLate) {
  setServers({makeServer("a")});
  const auto WithRoute = [this](std::uint32_t Number, const char *Route,
                                Millis Objective) {
    DispatchRequest Out = makeRequest(Number, Objective);
    Out.m_route = Route;
    return Out;
  };
  std::uint32_t Number = 0;
  for (int I = 0; I < 60; ++I)
    for (const char *Route : {"short", "long"}) {
      submit(WithRoute(++Number, Route, Millis(2000)));
      finish(Number, DispatchResult::Served, Millis(*Route == 's' ? 40 : 400));
    }
  // One request runs. Of the two that wait, only the short one can still meet
  // its objective.
  submit(WithRoute(1000, "long", Millis(2000)));
  DispatchRequest Late = WithRoute(1001, "long", Millis(10));
  Late.m_timeLeft = Millis(1500);
  submit(Late);
  submit(WithRoute(1002, "short", Millis(350)));
  finish(1000, DispatchResult::Served, Millis(40));
  EXPECT_NE(find(1002), nullptr);
}

// Service times vary: work on shared machines takes three times as long for a
// fifth of the time, and a hundredth of the requests take five times as long.
// An estimate that such requests raise for seconds refuses callers, and moves
// keys, although there is room.
TEST_F(DispatcherTest, CapacityOf_ServiceTimesVary_IsNearTheTrueCapacity) {
  constexpr unsigned Slots = 4;
  setServers({makeServer("a", Slots)});
  std::minstd_rand Random(7);
  std::uniform_int_distribution<int> Percent(0, 99);
  std::multimap<TimePoint, std::pair<std::uint32_t, Millis>> Ends;
  std::uint32_t Number = 0;
  double TotalMs = 0;
  double Lowest = 1e9;
  for (int Step = 0; Step < 3000; ++Step) {
    m_now += Millis(20);
    m_subject.tick(m_now, m_decisions);
    for (auto Next = Ends.begin(); Next != Ends.end() && Next->first <= m_now;
         Next = Ends.erase(Next))
      finish(Next->second.first, DispatchResult::Served, Next->second.second);
    // Half of the slots are busy on average.
    if (Ends.size() < Slots && Percent(Random) < 22) {
      const int Share = Percent(Random);
      const Millis Time(Share < 20 ? 480 : Share == 99 ? 800 : 160);
      TotalMs += static_cast<double>(Time.count());
      submit(makeRequest(++Number));
      Ends.emplace(m_now + Time, std::make_pair(Number, Time));
    }
    if (Step > 500)
      Lowest = std::min(Lowest, m_subject.capacityOf("a"));
  }
  const double True = Slots * 1000.0 * Number / TotalMs;
  EXPECT_GT(m_subject.capacityOf("a"), True / 2);
  EXPECT_GT(Lowest, True / 3);
}

} // namespace
} // namespace tamarackdrum::gateway

// Load pattern: servers that crash if they get many requests right after their
// start, from all hosts together.

#include "tamarackdrum/gateway/cold-server.h"
#include "tamarackdrum/gateway/dispatcher.h"

#include <gtest/gtest.h>
#include <random>

namespace tamarackdrum::gateway {
namespace {

constexpr double ColdPerSecond = 20;
constexpr Millis ColdTime{5000};

ServerEntry makeServer(const std::string &Id, std::uint64_t Report,
                       Millis ColdLeft, std::int64_t StartMs = 1) {
  ServerEntry Out;
  Out.m_id = Id;
  Out.m_zone = "zone-a";
  Out.m_slots = 4;
  Out.m_startMs = StartMs;
  Out.m_reportNumber = Report;
  Out.m_warmUpLeft = ColdLeft;
  return Out;
}

class ColdStateTest : public testing::Test {
protected:
  const TimePoint m_start{std::chrono::seconds(100)};
  ColdState m_subject;
};

// Guards against a cold time that starts again with each read of the registry.
TEST_F(ColdStateTest, NoteReport_SameReportSeenAgain_CountsFromTheFirst) {
  m_subject.noteReport(1, Millis(3000), m_start);
  m_subject.noteReport(1, Millis(3000), m_start + Millis(2000));
  EXPECT_EQ(m_subject.timeLeft(m_start + Millis(2000)), Millis(1000));
  m_subject.noteReport(4, Millis(5000), m_start + Millis(4000));
  EXPECT_TRUE(m_subject.isCold(m_start + Millis(8999)));
}

// The first reports after an event may have been made before it.
TEST_F(ColdStateTest, NoteReport_AfterAnEvent_OnlyTheThirdLaterOneCounts) {
  m_subject.noteEvent(ColdTime, true, m_start);
  for (std::uint64_t Number : {20, 21, 22})
    m_subject.noteReport(Number, Millis(0), m_start + Millis(100));
  EXPECT_TRUE(m_subject.isCold(m_start + Millis(100)));
  m_subject.noteReport(23, Millis(0), m_start + Millis(100));
  EXPECT_FALSE(m_subject.isCold(m_start + Millis(100)));
}

// Guards against a server that counts as cold for ever without the store.
TEST_F(ColdStateTest, NoteEvent_NoReports_EndsWithTheColdTime) {
  m_subject.noteEvent(ColdTime, true, m_start);
  EXPECT_EQ(m_subject.sharedTimeLeft(m_start), ColdTime);
  EXPECT_FALSE(m_subject.isCold(m_start + ColdTime));
}

TEST_F(ColdStateTest, NoteAnswer_Warm_CountsOnlyIfSentAfterTheEvent) {
  m_subject.noteEvent(ColdTime, true, m_start);
  m_subject.noteAnswer(Millis(0), m_start - Millis(1), m_start + Millis(5));
  EXPECT_TRUE(m_subject.isCold(m_start + Millis(5)));
  m_subject.noteAnswer(Millis(0), m_start + Millis(1), m_start + Millis(9));
  EXPECT_FALSE(m_subject.isCold(m_start + Millis(9)));
}

/// Hosts that send requests for one key as fast as they can.
class ColdDispatchTest : public testing::Test {
protected:
  static constexpr std::size_t HostCount = 58;
  static constexpr Millis Step{10};

  DispatchPolicy policy(double RateShare, std::size_t Index) const {
    DispatchPolicy Out;
    Out.m_rateShare = RateShare;
    Out.m_slotShare = RateShare;
    Out.m_rateSeed = hashKey("host-" + std::to_string(Index));
    return Out;
  }

  Dispatcher makeDispatcher(double RateShare, std::size_t Index,
                            bool IsKeyed = true) {
    Dispatcher Out(policy(RateShare, Index));
    Out.setColdPolicy({ColdPerSecond, ColdTime}, 1, m_now);
    Out.setServers(m_servers, m_now, m_decisions);
    if (IsKeyed)
      Out.setKeyMap(KeyMap(1, {{0, 65535, "a"}}), m_now, m_decisions);
    return Out;
  }

  static DispatchRequest makeRequest(std::uint32_t Number,
                                     std::optional<Key> Wanted) {
    DispatchRequest Out;
    Out.m_id = {0, Number};
    Out.m_zone = "zone-a";
    Out.m_key = Wanted;
    Out.m_objectiveLeft = Millis(800);
    Out.m_timeLeft = Millis(3000);
    return Out;
  }

  /// Submits a request that is served at once, and lets it arrive at the server
  /// up to \p Delay later.
  void send(Dispatcher &Subject, Millis Delay) {
    DispatchDecisions Made;
    Subject.submit(makeRequest(++m_lastNumber, Key(7)), m_now, Made);
    Subject.tick(m_now, Made);
    for (std::size_t Next = 0; Next < Made.size(); ++Next) {
      const DispatchDecision Item = Made[Next];
      if (Item.m_server.empty()) {
        m_refusals.push_back(Item);
        continue;
      }
      const auto Drawn = static_cast<std::int64_t>(
          m_random() % static_cast<std::uint64_t>(Delay.count() + 1));
      m_arrivals.push_back(m_now + Millis(Drawn));
      Subject.finish(Item.m_id, DispatchResult::Served, Millis(20), m_now,
                     Made);
    }
  }

  std::size_t mostInASecond() {
    std::sort(m_arrivals.begin(), m_arrivals.end());
    std::size_t Most = 0;
    for (auto First = m_arrivals.begin(); First != m_arrivals.end(); ++First) {
      const auto End = std::lower_bound(First, m_arrivals.end(),
                                        *First + std::chrono::seconds(1));
      Most = std::max(Most, static_cast<std::size_t>(End - First));
    }
    return Most;
  }

  static std::size_t bound() {
    const ColdBound Stated;
    return static_cast<std::size_t>(ColdPerSecond * Stated.m_factor +
                                    Stated.m_slack);
  }

  TimePoint m_now{std::chrono::seconds(100)};
  std::vector<ServerEntry> m_servers{makeServer("a", 1, Millis(9000))};
  DispatchDecisions m_decisions;
  std::vector<DispatchDecision> m_refusals;
  std::vector<TimePoint> m_arrivals;
  std::uint32_t m_lastNumber = 0;
  std::mt19937 m_random{515};
};

// Half of the hosts decide by themselves while a coordinator is replaced, and
// requests arrive up to 400 ms late.
TEST_F(ColdDispatchTest, Submit_CoordinatorChangesAndHostsAlone_KeepTheBound) {
  std::vector<Dispatcher> Hosts;
  Hosts.reserve(HostCount);
  for (std::size_t Index = 0; Index < HostCount; ++Index)
    Hosts.push_back(makeDispatcher(1.0 / HostCount, Index));
  Dispatcher First = makeDispatcher(1, 0);
  Dispatcher Second = makeDispatcher(1.0 / HostCount, 1);
  const TimePoint Change = m_now + Millis(4000);
  for (const TimePoint End = m_now + Millis(8000); m_now < End; m_now += Step) {
    if (m_now == Change) {
      Second.setRateShare(1, m_now);
      First.setRateShare(1.0 / HostCount, m_now);
    }
    send(m_now < Change ? First : Second, Millis(400));
    for (std::size_t Index = 0; Index < HostCount / 2; ++Index)
      send(Hosts[Index], Millis(400));
  }
  EXPECT_LE(mostInASecond(), bound());
  // The limit is used, too.
  EXPECT_GE(m_arrivals.size(), 8 * ColdPerSecond * 0.7);
}

// All hosts lose their coordinators at once.
TEST_F(ColdDispatchTest, Submit_AllHostsDecideByThemselves_KeepTheBound) {
  std::vector<Dispatcher> Hosts;
  Hosts.reserve(HostCount);
  for (std::size_t Index = 0; Index < HostCount; ++Index)
    Hosts.push_back(makeDispatcher(1.0 / HostCount, Index));
  for (const TimePoint End = m_now + Millis(6000); m_now < End; m_now += Step)
    for (Dispatcher &Host : Hosts)
      send(Host, Millis(400));
  EXPECT_LE(mostInASecond(), bound());
}

// Keyed requests can't go elsewhere: nobody waits for the deadline to pass.
TEST_F(ColdDispatchTest, Submit_HolderIsCold_RefusedWithItsTurn) {
  Dispatcher Subject = makeDispatcher(1, 0);
  Subject.setColdPolicy({ColdPerSecond / 4, ColdTime}, 1, m_now);
  for (int Step = 0; Step < 60; ++Step)
    send(Subject, Millis(0));
  ASSERT_GE(m_refusals.size(), 30U);
  EXPECT_EQ(m_refusals.front().m_reason, RefusalReason::ServerLimit);
  EXPECT_GT(m_refusals[29].m_retryAfter, m_refusals[9].m_retryAfter);
}

// The registry shows up to 2.5 s late that a server has become cold.
TEST_F(ColdDispatchTest, Finish_AnswersAgainAfterErrors_IsColdForTheColdTime) {
  m_servers = {makeServer("a", 1, Millis(0))};
  Dispatcher Subject = makeDispatcher(1, 0);
  const double Warm = Subject.capacityOf("a");
  EXPECT_GT(Warm, ColdPerSecond);
  for (int Attempt = 0; Attempt < 2; ++Attempt)
    Subject.recordOutcome("a", "r", DispatchResult::Unreachable, Millis(1),
                          m_now);
  m_now += Millis(3000);
  Subject.recordOutcome("a", "r", DispatchResult::Served, Millis(20), m_now);
  Subject.tick(m_now, m_decisions);
  EXPECT_EQ(Subject.capacityOf("a"), ColdPerSecond);
  EXPECT_EQ(Subject.coldServers(m_now),
            (std::vector<KnownCold>{{"a", ColdTime}}));
  EXPECT_EQ(Subject.takeColdChanges(m_now).size(), 1U);
  m_now += ColdTime;
  Subject.tick(m_now, m_decisions);
  EXPECT_GT(Subject.capacityOf("a"), ColdPerSecond);
}

// A single host may have lost contact by itself.
TEST_F(ColdDispatchTest, Finish_OneErrorOfACoordinator_StaysWarm) {
  m_servers = {makeServer("a", 1, Millis(0))};
  Dispatcher Subject = makeDispatcher(1, 0);
  for (const DispatchResult Outcome :
       {DispatchResult::Unreachable, DispatchResult::Served,
        DispatchResult::Unreachable, DispatchResult::Served})
    Subject.recordOutcome("a", "r", Outcome, Millis(20), m_now);
  EXPECT_TRUE(Subject.takeColdChanges(m_now).empty());
}

TEST_F(ColdDispatchTest, SetServers_ListedOrEvacuationEnded_CountsAsCold) {
  m_servers = {makeServer("a", 1, Millis(0)), makeServer("b", 1, Millis(0))};
  m_servers[1].m_isEvacuated = true;
  Dispatcher Subject = makeDispatcher(1, 0, false);
  EXPECT_TRUE(Subject.takeColdChanges(m_now).empty());
  m_servers[1].m_isEvacuated = false;
  m_servers.push_back(makeServer("c", 9, Millis(0)));
  Subject.setServers(m_servers, m_now, m_decisions);
  const std::vector<ColdChange> Changes = Subject.takeColdChanges(m_now);
  ASSERT_EQ(Changes.size(), 2U);
  EXPECT_EQ(Changes[0], (ColdChange{"b", true, ColdTime}));
  EXPECT_EQ(Changes[1], (ColdChange{"c", true, ColdTime}));
}

// Guards against healthy servers at a quarter of their rate for seconds after
// they were listed again, and against answers from before the event.
TEST_F(ColdDispatchTest, TakeColdProbes_ListedAgain_AnswerGivesTheFullRate) {
  m_servers = {makeServer("a", 1, Millis(0))};
  Dispatcher Subject = makeDispatcher(1, 0);
  const double Warm = Subject.capacityOf("a");
  Subject.setServers({}, m_now, m_decisions);
  m_now += Step;
  Subject.setServers(m_servers, m_now, m_decisions);
  EXPECT_EQ(Subject.capacityOf("a"), ColdPerSecond);
  EXPECT_EQ(Subject.takeColdProbes(m_now), m_servers);
  EXPECT_FALSE(Subject.noteColdTime("a", Millis(0), m_now - Step, m_now));
  EXPECT_TRUE(
      Subject.noteColdTime("a", Millis(0), m_now + Millis(1), m_now + Step));
  EXPECT_EQ(Subject.capacityOf("a"), Warm);
}

// A server that answers that it is cold stays within the bound.
TEST_F(ColdDispatchTest, NoteColdTime_AnswerIsCold_KeepsTheBound) {
  m_servers = {makeServer("a", 1, Millis(0))};
  Dispatcher Subject = makeDispatcher(1, 0);
  Subject.setServers({}, m_now, m_decisions);
  Subject.setServers(m_servers, m_now, m_decisions);
  Subject.noteColdTime("a", Millis(4000), m_now + Millis(1), m_now + Step);
  EXPECT_TRUE(Subject.takeColdProbes(m_now + Step).empty());
  for (const TimePoint End = m_now + Millis(4000); m_now < End; m_now += Step)
    send(Subject, Millis(0));
  EXPECT_LE(mostInASecond(), bound());
}

TEST(ColdProbeScheduleTest, Take_ManyServers_KeepsTheLimits) {
  ColdProbeSchedule Subject;
  const TimePoint Start{std::chrono::seconds(100)};
  EXPECT_EQ(Subject.take({"a"}, Start).size(), 1U);
  EXPECT_TRUE(Subject.take({"a"}, Start + Millis(600)).empty());
  Subject.end("a");
  EXPECT_EQ(Subject.take({"a"}, Start + Millis(600)).size(), 1U);
  Subject.end("a");
  EXPECT_TRUE(Subject.take({"a"}, Start + Millis(1099)).empty());
  std::vector<std::string> Many;
  for (int Number = 100; Number < 200; ++Number)
    Many.push_back(std::to_string(Number));
  EXPECT_EQ(Subject.take(Many, Start + Millis(1099)).size(), 39U);
  EXPECT_EQ(Subject.take(Many, Start + Millis(1600)).size(), 1U);
}

// A zone's servers come back cold together; requests without keys go elsewhere.
TEST_F(ColdDispatchTest, Submit_ZoneIsCold_WarmServersAreChosen) {
  m_servers = {makeServer("a", 1, Millis(9000)),
               makeServer("b", 1, Millis(9000)), makeServer("c", 1, Millis(0))};
  Dispatcher Subject = makeDispatcher(1, 0, false);
  m_now += Millis(1000);
  for (std::uint32_t Number = 1; Number <= 4; ++Number)
    Subject.submit(makeRequest(Number, std::nullopt), m_now, m_decisions);
  for (const DispatchDecision &Item : m_decisions)
    EXPECT_EQ(Item.m_server, "c");
  EXPECT_EQ(m_decisions.size(), 4U);
}

// Earlier deployments have no limit on cold servers.
TEST_F(ColdDispatchTest, Submit_NoLimitConfigured_ServedAsBefore) {
  Dispatcher Subject = makeDispatcher(1, 0);
  Subject.setColdPolicy({}, 1, m_now);
  for (int Number = 0; Number < 100; ++Number)
    send(Subject, Millis(0));
  EXPECT_EQ(m_arrivals.size(), 100U);
}

} // namespace
} // namespace tamarackdrum::gateway

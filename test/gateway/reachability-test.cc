#include "tamarackdrum/gateway/reachability.h"

#include <gtest/gtest.h>

namespace tamarackdrum::gateway {
namespace {

/// A host at a site of three zones and two services with two servers each.
class ReachabilityTest : public testing::Test {
protected:
  ReachabilityTest() {
    for (const char *Zone : {"a", "b", "c"})
      for (const char *Service : {"cart", "stock"})
        for (const char *Number : {"0", "1"}) {
          ServerEntry Entry;
          Entry.m_id = std::string(Zone) + Service + Number;
          Entry.m_zone = Zone;
          Entry.m_service = Service;
          m_servers[Entry.m_id] = Entry;
        }
    m_subject.recordReached("acart0", m_now);
  }

  /// Runs for \p Time: probes are answered, and one attempt each
  /// \p RequestInterval fails or succeeds, as \p IsUp tells of the server.
  /// Returns the time until the host counts as cut off, or nothing.
  template <typename Predicate>
  std::optional<Millis> run(Millis Time, Millis RequestInterval,
                            Predicate IsUp) {
    const TimePoint Start = m_now;
    auto Next = m_servers.begin();
    while (m_now < Start + Time) {
      if ((m_now - Start) % RequestInterval == BootClock::duration(0)) {
        attempt(Next->first, IsUp(Next->second));
        Next = std::next(Next) == m_servers.end() ? m_servers.begin()
                                                  : std::next(Next);
      }
      for (const std::string &Id :
           m_subject.takeDueProbes(m_servers, m_now, m_now))
        attempt(Id, IsUp(m_servers.at(Id)));
      m_subject.update(m_servers, m_othersReach, m_now);
      if (m_subject.isCutOff())
        return std::chrono::duration_cast<Millis>(m_now - Start);
      m_now += Millis(50);
    }
    return std::nullopt;
  }

  void attempt(const std::string &Server, bool IsReached) {
    if (IsReached)
      m_subject.recordReached(Server, m_now);
    else
      m_subject.recordFailed(Server, m_now);
  }

  std::map<std::string, ServerEntry> m_servers;
  Reachability m_subject;
  bool m_othersReach = true;
  TimePoint m_now{std::chrono::hours(1)};
};

TEST_F(ReachabilityTest, NoServerAnswers_AnyRequestRate_IsCutOffSoon) {
  for (const Millis Interval : {Millis(50), Millis(1000)}) {
    m_subject = Reachability();
    m_subject.recordReached("acart0", m_now);
    const auto Took =
        run(Millis(3000), Interval, [](const ServerEntry &) { return false; });
    ASSERT_TRUE(Took);
    EXPECT_LE(*Took, Millis(1000));
  }
}

// The first attempts may hang until their deadline.
TEST_F(ReachabilityTest, Attempt_StaysWithoutAnswer_CausesProbes) {
  const TimePoint Start = m_now;
  EXPECT_TRUE(m_subject.takeDueProbes(m_servers, Start, m_now).empty());
  m_now += Millis(600);
  EXPECT_EQ(m_subject.takeDueProbes(m_servers, Start, m_now).size(), 6U);
}

TEST_F(ReachabilityTest, OneServiceIsDown_Always_IsNotCutOff) {
  EXPECT_FALSE(run(Millis(20000), Millis(50), [](const ServerEntry &Item) {
    return Item.m_service != "cart";
  }));
}

TEST_F(ReachabilityTest, OneZoneIsDown_Always_IsNotCutOff) {
  EXPECT_FALSE(run(Millis(20000), Millis(1000),
                   [](const ServerEntry &Item) { return Item.m_zone != "a"; }));
}

TEST_F(ReachabilityTest, AllServersAreDown_ForAllHosts_IsNotCutOff) {
  m_othersReach = false;
  EXPECT_FALSE(run(Millis(10000), Millis(50),
                   [](const ServerEntry &) { return false; }));
}

// Duties and relayed requests follow the state, so a host that reaches some
// servers must not begin and end it again and again.
TEST_F(ReachabilityTest, OneServiceOfThreeIsReached_Always_IsNotCutOff) {
  for (const char *Zone : {"a", "b", "c"}) {
    ServerEntry Entry;
    Entry.m_id = std::string(Zone) + "web";
    Entry.m_zone = Zone;
    Entry.m_service = "web";
    m_servers[Entry.m_id] = Entry;
  }
  for (const Millis Interval : {Millis(50), Millis(250), Millis(1000)})
    EXPECT_FALSE(run(Millis(10000), Interval, [](const ServerEntry &Item) {
      return Item.m_service == "web";
    })) << Interval.count();
}

// Guards issue 2, review/3 (RECOVER): a path that accepts connections and drops
// what comes over them.
TEST_F(ReachabilityTest, AllProbesStaySilent_Always_IsCutOff) {
  const TimePoint Start = m_now + Millis(1);
  for (const auto &[Id, Entry] : m_servers)
    m_subject.recordSilent(Id, Start, m_now + Millis(600));
  EXPECT_TRUE(m_subject.update(m_servers, true, m_now + Millis(600)));
  EXPECT_TRUE(m_subject.isCutOff());
}

// Health checks wait for a slot, so that many stay silent at full servers.
TEST_F(ReachabilityTest, ProbesStaySilent_OneServerAnswers_IsNotCutOff) {
  const TimePoint Start = m_now;
  m_subject.recordReached("cstock1", m_now + Millis(10));
  for (const auto &[Id, Entry] : m_servers)
    m_subject.recordSilent(Id, Start, m_now + Millis(600));
  EXPECT_FALSE(m_subject.update(m_servers, true, m_now + Millis(600)));
  EXPECT_FALSE(m_subject.isSuspected());
}

TEST_F(ReachabilityTest, CutOff_ServersAnswerAgain_EndsAfterTwo) {
  ASSERT_TRUE(
      run(Millis(3000), Millis(50), [](const ServerEntry &) { return false; }));
  m_now += Millis(300);
  const std::vector<std::string> Probes =
      m_subject.takeDueProbes(m_servers, m_now, m_now);
  ASSERT_EQ(Probes.size(), 2U);
  attempt(Probes[0], true);
  EXPECT_FALSE(m_subject.update(m_servers, true, m_now));
  attempt(Probes[1], true);
  EXPECT_TRUE(m_subject.update(m_servers, true, m_now));
  EXPECT_FALSE(m_subject.isCutOff());
}

} // namespace
} // namespace tamarackdrum::gateway

#include "tamarackdrum/gateway/key-granter.h"

#include <gtest/gtest.h>

namespace tamarackdrum::gateway {
namespace {

class KeyGranterTest : public testing::Test {
protected:
  static ServerEntry makeServer(const std::string &Id,
                                std::int64_t StartMs = 1) {
    ServerEntry Out;
    Out.m_id = Id;
    Out.m_service = "stock";
    Out.m_address = "10.0.0.1:80";
    Out.m_startMs = StartMs;
    return Out;
  }

  static RangeRecord makeRange(Key From, Key To, const std::string &Owner,
                               std::uint64_t Fence) {
    return {From, To, {Owner, 1}, Fence, {}, 0};
  }

  void setServers(const std::vector<ServerEntry> &Servers) {
    m_subject.setServers(Servers, m_now);
  }

  void plan() {
    m_subject.plan([this] { return m_load.rates(m_now); },
                   [](const std::string &) { return 10.0; }, m_now);
  }

  /// Runs one step; the record is written at once if the store is available.
  std::vector<GrantCall> step(bool IsStoreUp = true) {
    GrantActions Made = m_subject.step(m_now);
    if (Made.m_write && IsStoreUp)
      m_subject.onWritten(m_now, m_now);
    else if (Made.m_write)
      m_subject.onWriteFailed();
    return Made.m_calls;
  }

  /// Runs steps for \p Span. m_answer returns the result of each call; all
  /// calls are added to m_calls.
  void run(Millis Span) {
    const TimePoint End = m_now + Span;
    while (m_now < End) {
      plan();
      for (const GrantCall &Call : step()) {
        m_calls.push_back(Call);
        const GrantResult Outcome = m_answer(Call);
        m_subject.onCallResult(Call.m_number, Outcome,
                               Call.m_isRelease ? "handed-over" : "", m_now);
      }
      m_now += Millis(50);
    }
  }

  void takeOver(const OwnershipRecord &Read, bool HasSteppedDown = true) {
    m_subject.takeOver(
        Read,
        [HasSteppedDown](const EarlierGranter &) {
          return HasSteppedDown ? EarlierGranterState::SteppedDown
                                : EarlierGranterState::MayGrant;
        },
        TakeOverContext{}, m_now);
  }

  std::string holderOf(Key Value) const {
    return m_subject.keyMap(m_now).holderOf(Value);
  }

  const GrantPolicy m_policy{};
  KeyGranter m_subject{m_policy, "h1", 100};
  KeyLoad m_load;
  TimePoint m_now{std::chrono::seconds(100)};
  std::vector<GrantCall> m_calls;
  std::function<GrantResult(const GrantCall &)> m_answer =
      [](const GrantCall &) { return GrantResult::Done; };
};

TEST_F(KeyGranterTest, TakeOver_NoRecord_AssignsAllKeys) {
  takeOver({});
  setServers({makeServer("a"), makeServer("b")});
  run(Millis(1000));
  EXPECT_EQ(holderOf(0), "a");
  EXPECT_EQ(holderOf(65535), "b");
}

TEST_F(KeyGranterTest, Step_RecordNotWritten_SendsNoGrants) {
  takeOver({});
  setServers({makeServer("a")});
  plan();
  EXPECT_TRUE(step(false).empty());
  m_now += Millis(500);
  plan();
  EXPECT_TRUE(step(false).empty());
}

TEST_F(KeyGranterTest, TakeOver_ExistingRecord_OwnersGetNewTokens) {
  OwnershipRecord Read{4, "h0", 5, {}, {makeRange(0, 65535, "a", 77)}};
  takeOver(Read);
  setServers({makeServer("a")});
  run(Millis(300));
  ASSERT_FALSE(m_calls.empty());
  EXPECT_EQ(m_calls[0].m_server.m_id, "a");
  EXPECT_GT(m_calls[0].m_fence, 77U);
  EXPECT_EQ(m_subject.term(), 5U);
}

TEST_F(KeyGranterTest, RecordedMap_RangeIsMoving_HasNoHolder) {
  OwnershipRecord Record{
      4,
      "h0",
      5,
      {},
      {makeRange(0, 99, "a", 77), makeRange(100, 65535, "b", 78)}};
  Record.m_ranges[1].m_previousOwner = {"a", 1};
  const KeyMap Result = recordedMap(Record);
  EXPECT_EQ(Result.version(), 0U);
  EXPECT_EQ(Result.holderOf(99), "a");
  EXPECT_EQ(Result.holderOf(100), "");
}

TEST_F(KeyGranterTest, Move_OwnerAnswers_ReleasePrecedesGrant) {
  takeOver({});
  setServers({makeServer("a")});
  run(Millis(500));
  m_calls.clear();
  ServerEntry Draining = makeServer("a");
  Draining.m_isDraining = true;
  setServers({Draining, makeServer("b")});
  run(Millis(1500));
  ASSERT_GE(m_calls.size(), 2U);
  std::size_t Release = m_calls.size();
  std::size_t Grant = m_calls.size();
  for (std::size_t I = 0; I < m_calls.size(); ++I) {
    if (m_calls[I].m_isRelease)
      Release = std::min(Release, I);
    else if (m_calls[I].m_server.m_id == "b")
      Grant = std::min(Grant, I);
  }
  EXPECT_LT(Release, Grant);
  EXPECT_EQ(m_calls[Grant].m_handover, "handed-over");
  EXPECT_GT(m_calls[Grant].m_fence, m_calls[Release].m_fence);
}

TEST_F(KeyGranterTest, Move_OwnerUnreachable_GrantsAfterItsHold) {
  takeOver({});
  setServers({makeServer("a")});
  run(Millis(1000));
  const TimePoint LostAt = m_now;
  m_answer = [](const GrantCall &Call) {
    return Call.m_server.m_id == "a" ? GrantResult::NotSent : GrantResult::Done;
  };
  setServers({makeServer("b")});
  while (holderOf(0) != "b" && m_now - LostAt < Millis(10000))
    run(Millis(50));
  EXPECT_GE(m_now - LostAt, m_policy.m_hold - m_policy.m_renewInterval);
  EXPECT_LE(m_now - LostAt, m_policy.m_hold + Millis(1000));
}

// A server may process an unanswered grant seconds later, after it has answered
// the release. The keys must wait until the hold of that grant would be over.
TEST_F(KeyGranterTest, Move_GrantUnanswered_WaitsForHoldDespiteRelease) {
  takeOver({});
  setServers({makeServer("a")});
  run(Millis(700));
  m_answer = [](const GrantCall &Call) {
    return Call.m_isRelease || Call.m_server.m_id == "b"
               ? GrantResult::Done
               : GrantResult::NoAnswer;
  };
  run(Millis(800));
  const TimePoint MovedAt = m_now;
  setServers({makeServer("b")});
  run(Millis(1000));
  EXPECT_NE(holderOf(0), "b");
  while (holderOf(0) != "b" && m_now - MovedAt < Millis(10000))
    run(Millis(50));
  EXPECT_EQ(holderOf(0), "b");
}

TEST_F(KeyGranterTest, TakeOver_EarlierGranterMayGrant_WaitsForItsHolds) {
  OwnershipRecord Read{4, "h0", 5, {}, {makeRange(0, 65535, "a", 77)}};
  takeOver(Read, false);
  setServers({makeServer("b")});
  m_answer = [](const GrantCall &Call) {
    return Call.m_server.m_id == "a" ? GrantResult::NotSent : GrantResult::Done;
  };
  run(m_policy.m_validationTimeout);
  EXPECT_EQ(holderOf(0), "");
  run(m_policy.m_takeOverTimeout + Millis(4000));
  m_subject.onValidated(m_now);
  run(Millis(1000));
  EXPECT_EQ(holderOf(0), "b");
}

// Two takeovers in a row while a range moves: the range must not wait for the
// second-to-last granter, which has stepped down.
TEST_F(KeyGranterTest, TakeOver_EarlierGrantersSteppedDown_WaitsForOneHold) {
  // The store time is 0 at takeOver().
  constexpr std::int64_t HoldsEndMs = 17000;
  OwnershipRecord Read{2, "h2", 5, {{1, "h1", 4, HoldsEndMs}}, {}};
  Read.m_ranges = {makeRange(0, 65535, "a", 77)};
  Read.m_ranges[0].m_previousOwner = {"b", 1};
  Read.m_ranges[0].m_previousFence = 70;
  takeOver(Read, true);
  setServers({makeServer("a"), makeServer("b")});
  run(m_policy.m_hold + 2 * m_policy.m_callTimeout + Millis(1000));
  EXPECT_EQ(holderOf(0), "a");
}

TEST_F(KeyGranterTest, TakeOver_SecondToLastGranterMayGrant_WaitsForItsHolds) {
  constexpr std::int64_t HoldsEndMs = 9000;
  OwnershipRecord Read{2, "h2", 5, {{1, "h1", 4, HoldsEndMs}}, {}};
  Read.m_ranges = {makeRange(0, 65535, "a", 77)};
  Read.m_ranges[0].m_previousOwner = {"b", 1};
  Read.m_ranges[0].m_previousFence = 70;
  m_subject.takeOver(
      Read,
      [](const EarlierGranter &Item) {
        return Item.m_host == "h2" ? EarlierGranterState::SteppedDown
                                   : EarlierGranterState::MayGrant;
      },
      TakeOverContext{}, m_now);
  setServers({makeServer("a"), makeServer("b")});
  run(Millis(HoldsEndMs) - Millis(200));
  EXPECT_EQ(holderOf(0), "");
  run(Millis(1000));
  EXPECT_EQ(holderOf(0), "a");
}

// Only a granter whose process ends during an outage of the store extends its
// holds.
TEST_F(KeyGranterTest,
       TakeOver_StoreWasUnavailable_LongHoldsOnlyOfEndedProcesses) {
  const OwnershipRecord Read{2, "h2", 5, {}, {}};
  for (const EarlierGranterState State :
       {EarlierGranterState::ProcessEnded, EarlierGranterState::SteppedDown}) {
    m_subject.takeOver(
        Read, [State](const EarlierGranter &) { return State; },
        TakeOverContext{.m_wasStoreUnavailable = true}, m_now);
    const Millis Left = m_subject.inheritedHoldsLeft(m_now);
    if (State == EarlierGranterState::ProcessEnded)
      EXPECT_GT(Left, m_policy.m_maxHold);
    else
      EXPECT_LT(Left,
                m_policy.m_hold + 2 * m_policy.m_callTimeout + Millis(1000));
  }
}

TEST_F(KeyGranterTest, TakeOver_EarlierGrantersMayGrant_RecordListsThem) {
  OwnershipRecord Read{2, "h2", 5, {{1, "h1", 4, 9000}, {0, "h0", 3, -5}}, {}};
  takeOver(Read, false);
  const std::optional<OwnershipRecord> Written = m_subject.step(m_now).m_write;
  ASSERT_TRUE(Written);
  ASSERT_EQ(Written->m_earlier.size(), 2U);
  EXPECT_EQ(Written->m_earlier[0], Read.m_earlier[0]);
  EXPECT_EQ(Written->m_earlier[1].m_host, "h2");
  EXPECT_GT(Written->m_earlier[1].m_holdsEndMs, 9000);
}

// The store was restored from an older copy, and the record with the last
// granter and owners is lost.
TEST_F(KeyGranterTest, TakeOver_RecordOfEarlierEra_DelaysAllGrants) {
  const OwnershipRecord Read{4, "h0", 5, {}, {makeRange(0, 65535, "a", 77)}};
  m_subject.takeOver(
      Read,
      [](const EarlierGranter &) { return EarlierGranterState::SteppedDown; },
      {0, false, 2, true}, m_now);
  setServers({makeServer("a"), makeServer("b")});
  run(m_policy.m_validationTimeout + m_policy.m_maxHold +
      2 * m_policy.m_callTimeout);
  EXPECT_TRUE(m_calls.empty());
  m_subject.onValidated(m_now);
  run(m_policy.m_takeOverTimeout + Millis(1000));
  ASSERT_FALSE(m_calls.empty());
  EXPECT_EQ(holderOf(0), "a");
  EXPECT_GT(m_subject.term(), termFloor(2));
}

TEST_F(KeyGranterTest, TakeOver_RecordListsUnknownGranter_WaitsForItsHolds) {
  constexpr std::int64_t HoldsEndMs = 9000;
  const OwnershipRecord Read{termFloor(2) + 1,
                             "h0",
                             5,
                             {{termFloor(2), "", 0, HoldsEndMs}},
                             {makeRange(0, 65535, "a", 77)}};
  takeOver(Read);
  setServers({makeServer("a")});
  run(Millis(HoldsEndMs) - Millis(200));
  EXPECT_TRUE(m_calls.empty());
  run(Millis(1000));
  EXPECT_EQ(holderOf(0), "a");
}

TEST_F(KeyGranterTest, Restate_RecordNotWritten_RenewsButMovesNothing) {
  takeOver({});
  setServers({makeServer("a"), makeServer("b")});
  run(Millis(1000));
  const std::uint64_t Term = m_subject.term();
  ASSERT_TRUE(m_subject.restate(2, m_now));
  EXPECT_FALSE(m_subject.isInForce());
  m_calls.clear();
  m_load.countArrival(0, m_now);
  const TimePoint End = m_now + Millis(1000);
  for (; m_now < End; m_now += Millis(50)) {
    plan();
    for (const GrantCall &Call : step(false)) {
      m_calls.push_back(Call);
      m_subject.onCallResult(Call.m_number, GrantResult::Done, "", m_now);
    }
  }
  ASSERT_FALSE(m_calls.empty());
  for (const GrantCall &Call : m_calls) {
    EXPECT_FALSE(Call.m_isRelease);
    EXPECT_EQ(Call.m_fence >> 24U, Term);
  }
}

// A granter whose record is lost may still send an owner its higher token, and
// move the range after that: an accepted renewal shows nothing.
TEST_F(KeyGranterTest, Restate_OwnersRenewed_KeysWaitForUnknownGranters) {
  takeOver({});
  setServers({makeServer("a"), makeServer("b")});
  run(Millis(1000));
  ASSERT_TRUE(m_subject.restate(2, m_now));
  run(m_policy.m_renewInterval + Millis(200));
  EXPECT_TRUE(m_subject.isInForce());
  ASSERT_EQ(m_subject.record().m_earlier.size(), 1U);
  EXPECT_EQ(m_subject.record().m_earlier[0].m_host, "");
  setServers({makeServer("a")});
  m_calls.clear();
  run(m_policy.m_validationTimeout - Millis(2000));
  m_subject.onValidated(m_now);
  run(m_policy.m_maxHold);
  for (const GrantCall &Call : m_calls) {
    EXPECT_FALSE(Call.m_isRelease);
    EXPECT_EQ(Call.m_server.m_id, "a");
    EXPECT_LT(Call.m_to, 65535);
  }
  m_subject.onValidated(m_now);
  run(m_policy.m_takeOverTimeout + 2 * m_policy.m_callTimeout + Millis(4000));
  EXPECT_GT(m_subject.term(), termFloor(2));
  EXPECT_EQ(holderOf(65535), "a");
  const auto Moved =
      std::find_if(m_calls.rbegin(), m_calls.rend(),
                   [](const GrantCall &Call) { return Call.m_to == 65535; });
  ASSERT_NE(Moved, m_calls.rend());
  EXPECT_GT(Moved->m_fence >> 24U, termFloor(2));
  EXPECT_TRUE(m_subject.record().m_earlier.empty());
}

// Another granter may have taken over and moved keys in the time whose records
// the store has lost.
TEST_F(KeyGranterTest, Restate_ValidatedTooLongAgo_Fails) {
  takeOver({});
  setServers({makeServer("a")});
  run(Millis(1000));
  m_now += m_policy.m_validationTimeout / 2;
  EXPECT_FALSE(m_subject.restate(2, m_now));
}

TEST_F(KeyGranterTest, Restate_OwnerHasHigherToken_ItsKeysWait) {
  takeOver({});
  setServers({makeServer("a"), makeServer("b")});
  run(Millis(1000));
  ASSERT_TRUE(m_subject.restate(2, m_now));
  m_answer = [](const GrantCall &Call) {
    return Call.m_server.m_id == "b" ? GrantResult::HigherFence
                                     : GrantResult::Done;
  };
  run(Millis(1000));
  m_subject.onValidated(m_now);
  m_calls.clear();
  run(m_policy.m_validationTimeout - Millis(1000));
  for (const GrantCall &Call : m_calls)
    EXPECT_EQ(Call.m_server.m_id, "a");
  EXPECT_EQ(holderOf(65535), "");
}

TEST_F(KeyGranterTest, SetServers_OwnerRestarted_GetsHigherToken) {
  takeOver({});
  setServers({makeServer("a")});
  run(Millis(500));
  const std::uint64_t Before = m_calls.back().m_fence;
  setServers({makeServer("a", 2)});
  EXPECT_EQ(holderOf(0), "");
  run(Millis(500));
  EXPECT_EQ(holderOf(0), "a");
  EXPECT_GT(m_calls.back().m_fence, Before);
}

// The registry lists a restart late. Until then the new instance of a server
// takes renewals that were meant for the earlier one.
TEST_F(KeyGranterTest, Move_RestartedOwnerTookARenewal_IsReleasedFirst) {
  takeOver({});
  setServers({makeServer("a")});
  run(Millis(700));
  m_answer = [](const GrantCall &Call) {
    return Call.m_isRelease ? GrantResult::NoAnswer : GrantResult::Done;
  };
  ServerEntry Draining = makeServer("a");
  Draining.m_isDraining = true;
  setServers({Draining, makeServer("b")});
  run(Millis(300));
  ASSERT_NE(holderOf(0), "b");
  setServers({makeServer("a", 2), makeServer("b")});
  run(Millis(500));
  EXPECT_NE(holderOf(0), "b");
}

// The call can reach the new instance after that has answered a release.
TEST_F(KeyGranterTest, Restart_GrantIsPending_KeysWaitForItsHold) {
  takeOver({});
  setServers({makeServer("a")});
  run(Millis(600));
  ASSERT_EQ(holderOf(0), "a");
  m_now += m_policy.m_renewInterval;
  ASSERT_FALSE(step().empty());
  const TimePoint SentAt = m_now;
  ServerEntry Draining = makeServer("a", 2);
  Draining.m_isDraining = true;
  setServers({Draining, makeServer("b")});
  const Millis Longest = 2 * m_policy.m_callTimeout + m_policy.m_hold;
  run(Longest);
  EXPECT_NE(holderOf(0), "b");
  run(std::chrono::duration_cast<Millis>(SentAt + Longest + Millis(1000) -
                                         m_now));
  EXPECT_EQ(holderOf(0), "b");
}

// An earlier granter does not know of the restart either: its renewals reach
// the new instance.
TEST_F(KeyGranterTest, Restart_RangeIsInherited_KeysWaitForInheritedHolds) {
  takeOver({4, "h0", 5, {}, {makeRange(0, 65535, "a", 77)}}, false);
  ServerEntry Draining = makeServer("a", 2);
  Draining.m_isDraining = true;
  setServers({Draining, makeServer("b")});
  EXPECT_EQ(holderOf(0), "");
  run(Millis(3000));
  EXPECT_NE(holderOf(0), "b");
}

// A call that is given up may be on its way for as long as one that is pending.
TEST_F(KeyGranterTest, Move_GrantTimedOut_KeysWaitFromItsLatestArrival) {
  takeOver({});
  setServers({makeServer("a")});
  run(Millis(600));
  m_now += m_policy.m_renewInterval;
  const std::vector<GrantCall> Sent = step();
  ASSERT_EQ(Sent.size(), 1U);
  const TimePoint SentAt = m_now;
  m_now += m_policy.m_callTimeout;
  m_subject.onCallResult(Sent[0].m_number, GrantResult::NoAnswer, "", m_now);
  setServers({makeServer("b")});
  const Millis Longest = 2 * m_policy.m_callTimeout + m_policy.m_hold;
  while (holderOf(0) != "b" && m_now - SentAt < Longest + Millis(2000))
    run(Millis(50));
  EXPECT_GE(m_now - SentAt, Longest);
  EXPECT_EQ(holderOf(0), "b");
}

// A server that has closed the connection receives the call no more.
TEST_F(KeyGranterTest, Move_ConnectionLost_KeysWaitFromItsEnd) {
  takeOver({});
  setServers({makeServer("a")});
  run(Millis(600));
  m_now += m_policy.m_renewInterval;
  const std::vector<GrantCall> Sent = step();
  ASSERT_EQ(Sent.size(), 1U);
  const TimePoint LostAt = m_now;
  m_subject.onCallResult(Sent[0].m_number, GrantResult::ConnectionLost, "",
                         m_now);
  setServers({makeServer("b")});
  while (holderOf(0) != "b" && m_now - LostAt < Millis(10000))
    run(Millis(50));
  EXPECT_GE(m_now - LostAt, m_policy.m_hold);
  EXPECT_LT(m_now - LostAt, m_policy.m_hold + m_policy.m_callTimeout);
}

// A grant that fails early lowered the time until which the one before it, with
// the earlier token, may arrive.
TEST_F(KeyGranterTest, Restart_NextGrantFailsAtOnce_PendingGrantStillCounts) {
  takeOver({});
  setServers({makeServer("a")});
  run(Millis(600));
  m_now += m_policy.m_renewInterval;
  ASSERT_FALSE(step().empty());
  const TimePoint SentAt = m_now;
  setServers({makeServer("a", 2)});
  m_answer = [](const GrantCall &Call) {
    return Call.m_server.m_id == "a" && !Call.m_isRelease
               ? GrantResult::ConnectionLost
               : GrantResult::Done;
  };
  run(Millis(100));
  setServers({makeServer("b")});
  while (holderOf(0) != "b" && m_now - SentAt < Millis(10000))
    run(Millis(50));
  EXPECT_GE(m_now - SentAt, 2 * m_policy.m_callTimeout + m_policy.m_hold);
}

TEST_F(KeyGranterTest, TakeOver_EarlierGranterMayGrant_WaitCoversItsLastCall) {
  takeOver({4, "h0", 5, {}, {makeRange(0, 65535, "a", 77)}}, false);
  EXPECT_GE(m_subject.inheritedHoldsLeft(m_now),
            m_policy.m_takeOverTimeout + m_policy.m_validationTimeout +
                2 * m_policy.m_callTimeout + m_policy.m_hold);
}

// A takeover that the store applied late names too early an end of the holds
// of the granter before, who could validate its term until then.
TEST_F(KeyGranterTest, TakeOver_RecordNotConfirmed_WaitsForGranterBeforeThat) {
  const auto State = [](const EarlierGranter &Item) {
    return Item.m_host == "h1" ? EarlierGranterState::MayGrant
                               : EarlierGranterState::SteppedDown;
  };
  OwnershipRecord Read{2, "h2", 5, {{1, "h1", 4, 100}}, {}};
  for (const bool IsConfirmed : {true, false}) {
    Read.m_isConfirmed = IsConfirmed;
    m_subject.takeOver(Read, State, TakeOverContext{}, m_now);
    EXPECT_EQ(m_subject.inheritedHoldsLeft(m_now) >
                  m_policy.m_validationTimeout + m_policy.m_hold,
              !IsConfirmed);
  }
}

TEST_F(KeyGranterTest, TakeOver_IsWritten_NextRecordConfirmsIt) {
  takeOver({});
  const std::optional<OwnershipRecord> First = m_subject.step(m_now).m_write;
  ASSERT_TRUE(First);
  EXPECT_FALSE(First->m_isConfirmed);
  m_subject.onWritten(m_now, m_now);
  m_now += m_policy.m_writeInterval;
  const std::optional<OwnershipRecord> Second = m_subject.step(m_now).m_write;
  ASSERT_TRUE(Second);
  EXPECT_TRUE(Second->m_isConfirmed);
}

// A server that has started again does not refuse an outdated token.
TEST_F(KeyGranterTest, Renewal_NoOldConnection_OwnerGetsNewToken) {
  takeOver({});
  setServers({makeServer("a")});
  run(Millis(500));
  m_now += m_policy.m_renewInterval;
  std::vector<GrantCall> Sent = step();
  ASSERT_EQ(Sent.size(), 1U);
  const std::uint64_t Before = Sent[0].m_fence;
  const TimePoint WrittenAt = m_now;
  m_subject.onCallResult(Sent[0].m_number, GrantResult::Done, "", m_now,
                         WrittenAt);
  m_now += m_policy.m_renewInterval;
  Sent = step();
  ASSERT_EQ(Sent.size(), 1U);
  EXPECT_EQ(Sent[0].m_fence, Before);
  EXPECT_EQ(Sent[0].m_connectedBy, WrittenAt);
  m_subject.onCallResult(Sent[0].m_number, GrantResult::Unproven, "", m_now);
  EXPECT_EQ(holderOf(0), "a");
  m_calls.clear();
  run(Millis(300));
  ASSERT_FALSE(m_calls.empty());
  EXPECT_GT(m_calls[0].m_fence, Before);
  EXPECT_EQ(m_calls[0].m_connectedBy, TimePoint{});
  EXPECT_EQ(holderOf(0), "a");
}

// Another granter may have taken over while this process was frozen, and a
// server that has started again since does not refuse an outdated token.
TEST_F(KeyGranterTest, Step_AfterAPause_NewTokensWaitForAValidation) {
  takeOver({});
  setServers({makeServer("a")});
  run(Millis(500));
  setServers({makeServer("a", 2)});
  step();
  m_now += Millis(2000);
  EXPECT_TRUE(step().empty());
  m_subject.onValidated(m_now);
  EXPECT_FALSE(step().empty());
}

TEST_F(KeyGranterTest, OnCallResult_HigherFence_SendsNothingUntilValidated) {
  takeOver({});
  setServers({makeServer("a")});
  run(Millis(500));
  m_answer = [](const GrantCall &) { return GrantResult::HigherFence; };
  run(Millis(700));
  EXPECT_TRUE(m_subject.needsValidation());
  m_calls.clear();
  run(Millis(2000));
  EXPECT_TRUE(m_calls.empty());
  m_answer = [](const GrantCall &) { return GrantResult::Done; };
  m_subject.onValidated(m_now);
  run(Millis(500));
  EXPECT_EQ(holderOf(0), "a");
}

TEST_F(KeyGranterTest, Step_ValidationTimedOut_StopsRenewing) {
  takeOver({});
  setServers({makeServer("a")});
  run(Millis(500));
  run(m_policy.m_validationTimeout);
  m_calls.clear();
  run(Millis(2000));
  EXPECT_TRUE(m_calls.empty());
  EXPECT_EQ(holderOf(0), "");
}

TEST_F(KeyGranterTest, ExtendHolds_KeysAreHeld_RenewsWithMaxHold) {
  takeOver({});
  setServers({makeServer("a")});
  run(Millis(500));
  m_calls.clear();
  m_subject.extendHolds();
  run(Millis(50));
  ASSERT_EQ(m_calls.size(), 1U);
  EXPECT_EQ(m_calls[0].m_hold, m_policy.m_maxHold);
}

// Without a limit, a hundred ranges are renewed at once after a takeover, each
// on its own connection.
TEST_F(KeyGranterTest, Step_ManyRangesDue_LimitsConcurrentCalls) {
  OwnershipRecord Read{4, "h0", 5, {}, {}};
  for (Key I = 0; I < 16; ++I) {
    const Key From = static_cast<Key>(I * 4096);
    Read.m_ranges.push_back(
        makeRange(From, static_cast<Key>(From + 4095), "a", 70U + I));
  }
  takeOver(Read);
  setServers({makeServer("a")});
  EXPECT_TRUE(step().empty());
  const std::vector<GrantCall> First = step();
  EXPECT_EQ(First.size(), m_policy.m_maxCallsPerServer);
  EXPECT_TRUE(step().empty());
  for (const GrantCall &Call : First)
    m_subject.onCallResult(Call.m_number, GrantResult::Done, "", m_now);
  EXPECT_EQ(step().size(), m_policy.m_maxCallsPerServer);
  run(Millis(1000));
  EXPECT_EQ(holderOf(0), "a");
  EXPECT_EQ(holderOf(65535), "a");
}

// The server of an evacuated zone still answers: its keys leave it by release
// and with its handover, not when their hold expires.
TEST_F(KeyGranterTest, SetServers_OwnerIsEvacuated_KeysLeaveByRelease) {
  takeOver({});
  setServers({makeServer("a"), makeServer("b")});
  run(Millis(1000));
  m_calls.clear();
  ServerEntry Evacuated = makeServer("a");
  Evacuated.m_isEvacuated = true;
  setServers({Evacuated, makeServer("b")});
  run(Millis(1000));
  EXPECT_EQ(holderOf(0), "b");
  bool HasHandover = false;
  for (const GrantCall &Call : m_calls)
    HasHandover =
        HasHandover || (Call.m_server.m_id == "b" && Call.m_from == 0 &&
                        Call.m_handover == "handed-over");
  EXPECT_TRUE(HasHandover);
}

TEST_F(KeyGranterTest, StepDown_WasGranter_SendsNothing) {
  takeOver({});
  setServers({makeServer("a")});
  run(Millis(500));
  m_subject.stepDown();
  EXPECT_TRUE(m_subject.step(m_now).m_calls.empty());
  EXPECT_FALSE(m_subject.isGranter());
}

} // namespace
} // namespace tamarackdrum::gateway

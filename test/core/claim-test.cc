#include "tamarackdrum/claim-batcher.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace tamarackdrum {
namespace {

constexpr std::int64_t StartMs = 1000000;
const std::string Key = claimKey("orders", "id-1");

ClaimPolicy policy() { return {Millis(3000), Millis(2000), Millis(3600000)}; }

ClaimRow rowOf(ClaimState State) { return {State, "other", StartMs, {}}; }

ClaimWrite makeWrite(std::uint64_t Number, const std::string &RowKey,
                     std::uint64_t Version) {
  ClaimWrite Out;
  Out.m_number = Number;
  Out.m_condition.m_key = RowKey;
  Out.m_condition.m_version = Version;
  return Out;
}

TEST(ClaimTest, Judge_EachStateAndAge_GivesItsVerdict) {
  const ClaimPolicy Policy = policy();
  const auto Judge = [&](ClaimState State, std::int64_t Age) {
    return judgeClaim(rowOf(State), "mine", StartMs + Age, Policy);
  };
  EXPECT_EQ(judgeClaim(std::nullopt, "mine", StartMs, Policy),
            ClaimVerdict::Free);
  EXPECT_EQ(Judge(ClaimState::Claimed, 4999), ClaimVerdict::StillRunning);
  EXPECT_EQ(Judge(ClaimState::Claimed, 5000), ClaimVerdict::Unknown);
  EXPECT_EQ(Judge(ClaimState::Done, 3599999), ClaimVerdict::Replay);
  EXPECT_EQ(Judge(ClaimState::Done, 3600000), ClaimVerdict::Free);
  EXPECT_EQ(Judge(ClaimState::Unknown, 0), ClaimVerdict::Unknown);
  EXPECT_EQ(Judge(ClaimState::Released, 0), ClaimVerdict::Free);
  EXPECT_EQ(judgeClaim(rowOf(ClaimState::Claimed), "other", StartMs, Policy),
            ClaimVerdict::Own);
  EXPECT_EQ(retryAfter(rowOf(ClaimState::Claimed), StartMs, Policy),
            std::chrono::seconds(5));
}

TEST(ClaimTest, Row_DecodedAfterEncoding_IsTheSame) {
  const ClaimRow Done{ClaimState::Done,
                      "token",
                      StartMs,
                      {201, "text/plain", "a \"body\"", true}};
  EXPECT_EQ(decodeClaim(encodeClaim(Done)).value(), Done);
  EXPECT_EQ(decodeClaim(encodeClaim(rowOf(ClaimState::Released))).value(),
            rowOf(ClaimState::Released));
  EXPECT_FALSE(decodeClaim("{\"state\":\"other\"}"));
  EXPECT_FALSE(decodeClaim("{\"state\":7}"));
}

TEST(ClaimTest, Read_OfUnreadableRow_NeverAllowsARun) {
  ClaimAttempt Attempt{Key, {ClaimState::Claimed, "mine", StartMs, {}}, 0};
  const ClaimStep Step =
      claimAfterRead(Attempt, TableRow{Key, "garbage", 1}, StartMs, policy());
  EXPECT_EQ(Step, (ClaimStep{ClaimAction::Finish, ClaimVerdict::Unknown}));
}

TEST(ClaimTest, Settlement_OfLargeAnswer_KeepsTheStatusWithoutTheBody) {
  const ClaimAttempt Settled =
      makeSettlement({}, ClaimState::Done,
                     {200, "text/plain", std::string(MaxClaimBody + 1, 'x')});
  EXPECT_EQ(Settled.m_wanted.m_answer,
            (ClaimAnswer{200, "text/plain", "", false}));
}

TEST(ClaimTest, Settlement_WhileItsClaimMayStillBeApplied_WritesToKeepItOut) {
  ClaimAttempt Release{Key, {ClaimState::Released, "mine", StartMs, {}}, 0};
  EXPECT_EQ(settleAfterRead(Release, std::nullopt).m_action,
            ClaimAction::Write);
  const TableRow Other{Key, encodeClaim(rowOf(ClaimState::Claimed)), 1};
  EXPECT_EQ(settleAfterRead(Release, Other),
            (ClaimStep{ClaimAction::Finish, ClaimVerdict::Unknown}));
}

TEST(ClaimBatcherTest, TakeBatch_WithTwoWritesOfAKey_LeavesTheSecond) {
  std::deque<ClaimWrite> Queue;
  Queue.push_back(makeWrite(1, "a", 0));
  Queue.push_back(makeWrite(2, "a", 0));
  Queue.push_back(makeWrite(3, "b", 4));
  std::vector<ClaimWrite> Batch = takeBatch(Queue, 64);
  ASSERT_EQ(Batch.size(), 2U);
  EXPECT_EQ(toTransaction(Batch).m_conditions,
            (std::vector<TableCondition>{{"a", 0}, {"b", 4}}));
  EXPECT_EQ(Queue.front().m_number, 2U);
  const std::vector<std::string> Conflicts(1, "a");
  const std::vector<ClaimWrite> Conflicting = takeConflicts(Batch, Conflicts);
  ASSERT_EQ(Conflicting.size(), 1U);
  EXPECT_EQ(Conflicting[0].m_number, 1U);
  EXPECT_EQ(Batch.front().m_number, 3U);
}

/// A request for the one id, at some process, with a pure attempt each.
struct Caller {
  ClaimAttempt m_attempt;
  ClaimStep m_next;
  bool m_isSettling = false;
  bool m_isEnded = false;
};

/// Several callers of one id over a table that loses and delays.
class ClaimWorld {
public:
  /// Lets caller or table do one step, whichever the generator picks.
  void step() {
    m_nowMs += *rc::gen::weightedElement<int>({{8, 1}, {1, 700}});
    if (!m_delayed.empty() && *rc::gen::inRange(0, 4) == 0) {
      const std::size_t Index =
          *rc::gen::inRange<std::size_t>(0, m_delayed.size());
      m_table.commit(m_delayed[Index]);
      m_delayed.erase(m_delayed.begin() + static_cast<std::ptrdiff_t>(Index));
      return;
    }
    if (m_callers.size() < 5 && *rc::gen::inRange(0, 4) == 0)
      m_callers.push_back(
          {{Key,
            {ClaimState::Claimed, "token-" + std::to_string(m_callers.size()),
             m_nowMs}}});
    if (m_callers.empty())
      return;
    Caller &Next =
        m_callers[*rc::gen::inRange<std::size_t>(0, m_callers.size())];
    if (!Next.m_isEnded)
      advance(Next);
  }

  int runs() const { return m_runs; }
  bool isReplayWrong() const { return m_isReplayWrong; }

private:
  void advance(Caller &Self) {
    if (*rc::gen::inRange(0, 20) == 0) {
      Self.m_isEnded = true; // The process is killed.
      return;
    }
    if (Self.m_next.m_action == ClaimAction::Finish) {
      finish(Self);
      return;
    }
    if (Self.m_next.m_action == ClaimAction::Write) {
      Self.m_next = stepAfterWrite(Self.m_attempt, write(Self.m_attempt));
      return;
    }
    const std::vector<TableRow> Rows = m_table.read({Key});
    const std::optional<TableRow> Row =
        Rows.empty() ? std::nullopt : std::optional<TableRow>(Rows[0]);
    Self.m_next = Self.m_isSettling
                      ? settleAfterRead(Self.m_attempt, Row)
                      : claimAfterRead(Self.m_attempt, Row, m_nowMs, policy());
    const bool IsReplay = Self.m_next.m_action == ClaimAction::Finish &&
                          Self.m_next.m_verdict == ClaimVerdict::Replay;
    if (IsReplay && decodeClaim(Row->m_value).value().m_answer != m_answer)
      m_isReplayWrong = true;
  }

  void finish(Caller &Self) {
    if (Self.m_isSettling) {
      Self.m_isEnded = Self.m_next.m_verdict != ClaimVerdict::Unavailable;
      Self.m_next = {ClaimAction::Write};
      return;
    }
    const bool IsOwn = Self.m_next.m_verdict == ClaimVerdict::Own;
    if (!IsOwn && !Self.m_attempt.m_isUnsettled) {
      Self.m_isEnded = true;
      return;
    }
    ClaimState State = ClaimState::Released;
    if (IsOwn && isInClaimWindow(Self.m_attempt, m_nowMs, policy()) &&
        *rc::gen::inRange(0, 3) != 0) {
      ++m_runs;
      m_answer = {200, "text/plain", Self.m_attempt.m_wanted.m_token, true};
      State = *rc::gen::element(ClaimState::Done, ClaimState::Unknown);
    }
    Self.m_attempt = makeSettlement(Self.m_attempt, State, m_answer);
    Self.m_isSettling = true;
    Self.m_next = {ClaimAction::Write};
  }

  WriteOutcome write(const ClaimAttempt &Attempt) {
    ClaimWrite Write = makeWrite(1, Key, Attempt.m_baseVersion);
    Write.m_value = encodeClaim(Attempt.m_wanted);
    const std::vector<ClaimWrite> Batch(1, Write);
    const TableTransaction Transaction = toTransaction(Batch);
    switch (*rc::gen::inRange(0, 6)) {
    case 0:
      return WriteOutcome::Unavailable;
    case 1: // Lost on its way, or the reply lost, or applied much later.
      return WriteOutcome::Unsettled;
    case 2:
      m_table.commit(Transaction);
      return WriteOutcome::Unsettled;
    case 3:
      m_delayed.push_back(Transaction);
      return WriteOutcome::Unsettled;
    default:
      return m_table.commit(Transaction).m_conflicts.empty()
                 ? WriteOutcome::Committed
                 : WriteOutcome::Conflict;
    }
  }

  MemoryTable m_table;
  std::vector<TableTransaction> m_delayed;
  std::vector<Caller> m_callers;
  std::int64_t m_nowMs = StartMs;
  int m_runs = 0;
  ClaimAnswer m_answer;
  bool m_isReplayWrong = false;
};

RC_GTEST_PROP(ClaimPropertyTest, Id_UnderLossesAndDelays_RunsAtMostOnce, ()) {
  ClaimWorld World;
  for (int Step = 0; Step < 80; ++Step) {
    World.step();
    RC_ASSERT(World.runs() <= 1);
    RC_ASSERT(!World.isReplayWrong());
  }
}

} // namespace
} // namespace tamarackdrum

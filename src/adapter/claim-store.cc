#include "tamarackdrum/claim-store.h"

#include "tamarackdrum/error.h"
#include "tamarackdrum/sleep.h"

#include <boost/asio.hpp>
#include <random>
#include <spdlog/spdlog.h>

namespace asio = boost::asio;

namespace tamarackdrum {
namespace {

constexpr Millis RetryDelay{50};
constexpr Millis MaxSettleDelay{1000};
constexpr Millis MinSweepInterval{10};

} // namespace

/// A write whose batch has not ended.
struct ClaimStore::Pending {
  explicit Pending(const asio::any_io_executor &Executor)
      : m_ended(Executor, asio::steady_timer::time_point::max()) {}

  asio::steady_timer m_ended; ///< Cancelled when the outcome is known.
  std::optional<WriteOutcome> m_outcome;
};

ClaimStore::ClaimStore(ClaimSettings Config, std::string Process,
                       std::uint64_t Incarnation, asio::io_context &Workers,
                       TableStore &Table)
    : m_config(Config), m_tokenPrefix(std::move(Process) + "/" +
                                      std::to_string(Incarnation) + "/"),
      m_strand(asio::make_strand(Workers)), m_table(Table),
      m_sweepSeed(Incarnation) {}

ClaimStore::~ClaimStore() = default;

asio::awaitable<ClaimResult> ClaimStore::claim(std::string WorkClass,
                                               std::string Id) {
  ClaimResult Out;
  Out.m_attempt.m_key = claimKey(WorkClass, Id);
  Out.m_attempt.m_wanted.m_token =
      m_tokenPrefix + std::to_string(m_nextNumber.fetch_add(1));
  Out.m_attempt.m_wanted.m_claimedAtMs = unixMillis();
  co_await attemptClaim(Out);
  const bool IsLate =
      !isInClaimWindow(Out.m_attempt, unixMillis(), m_config.m_policy);
  if (Out.m_verdict == ClaimVerdict::Own && IsLate) {
    settle(Out.m_attempt, ClaimState::Released, {});
    Out.m_verdict = ClaimVerdict::Unavailable;
  } else if (Out.m_attempt.m_isUnsettled) {
    // The claim may yet be applied, and nobody would run it.
    settle(Out.m_attempt, ClaimState::Released, {});
  }
  count(Out.m_verdict);
  co_return Out;
}

asio::awaitable<void> ClaimStore::attemptClaim(ClaimResult &Out) {
  ClaimAttempt &Attempt = Out.m_attempt;
  ClaimStep Next;
  while (Next.m_action != ClaimAction::Finish) {
    if (!isInClaimWindow(Attempt, unixMillis(), m_config.m_policy))
      co_return;
    if (Next.m_action == ClaimAction::Write) {
      const WriteOutcome Outcome = co_await write(Attempt);
      Next = stepAfterWrite(Attempt, Outcome);
      continue;
    }
    bool IsRead = false;
    const std::optional<TableRow> Row = co_await readRow(Attempt.m_key, IsRead);
    if (!IsRead && !Attempt.m_isUnsettled)
      co_return;
    if (!IsRead) {
      co_await sleepFor(RetryDelay);
      continue;
    }
    Next = claimAfterRead(Attempt, Row, unixMillis(), m_config.m_policy);
    if (Row) {
      const Result<ClaimRow> Decoded = decodeClaim(Row->m_value);
      if (Decoded)
        Out.m_row = Decoded.value();
    }
  }
  Out.m_verdict = Next.m_verdict;
}

asio::awaitable<std::optional<TableRow>> ClaimStore::readRow(std::string Key,
                                                             bool &IsRead) {
  const TableQuery Query{Key, false, 0};
  const Result<std::vector<TableRow>> Rows = co_await m_table.read(Query);
  IsRead = Rows.has_value();
  if (!IsRead || Rows.value().empty())
    co_return std::nullopt;
  co_return Rows.value().front();
}

void ClaimStore::settle(const ClaimAttempt &Claim, ClaimState State,
                        ClaimAnswer Answer) {
  m_unsettled.fetch_add(1);
  asio::co_spawn(m_strand,
                 runSettlement(makeSettlement(Claim, State, std::move(Answer))),
                 asio::detached);
}

asio::awaitable<void> ClaimStore::runSettlement(ClaimAttempt Attempt) {
  const std::int64_t GiveUpMs =
      Attempt.m_wanted.m_claimedAtMs + m_config.m_policy.m_retention.count();
  Millis Delay = RetryDelay;
  ClaimStep Next;
  while (unixMillis() < GiveUpMs) {
    if (Next.m_action == ClaimAction::Write) {
      const WriteOutcome Outcome = co_await write(Attempt);
      Next = stepAfterWrite(Attempt, Outcome);
    } else {
      bool IsRead = false;
      const std::optional<TableRow> Row =
          co_await readRow(Attempt.m_key, IsRead);
      Next = IsRead ? settleAfterRead(Attempt, Row)
                    : ClaimStep{ClaimAction::Finish, ClaimVerdict::Unavailable};
    }
    if (Next.m_action != ClaimAction::Finish)
      continue;
    if (Next.m_verdict != ClaimVerdict::Unavailable)
      break;
    // Whether an earlier write stands is only told by the row.
    Next = {ClaimAction::Read};
    co_await sleepFor(Delay);
    Delay = std::min(Delay * 2, MaxSettleDelay);
  }
  m_unsettled.fetch_sub(1);
}

asio::awaitable<WriteOutcome> ClaimStore::write(const ClaimAttempt &Attempt) {
  ClaimWrite Write;
  Write.m_number = m_nextNumber.fetch_add(1);
  Write.m_condition = {Attempt.m_key, Attempt.m_baseVersion};
  Write.m_value = encodeClaim(Attempt.m_wanted);
  asio::awaitable<WriteOutcome> Task = enqueue(std::move(Write));
  co_return co_await asio::co_spawn(m_strand, std::move(Task),
                                    asio::use_awaitable);
}

/// Waits for the batch of \p Write. Runs on m_strand.
asio::awaitable<WriteOutcome> ClaimStore::enqueue(ClaimWrite Write) {
  const PendingPtr Self = std::make_shared<Pending>(m_strand);
  m_pending[Write.m_number] = Self;
  m_queue.push_back(std::move(Write));
  if (m_queue.size() >= m_config.m_batch.m_maxRows) {
    asio::co_spawn(m_strand, flush(), asio::detached);
  } else if (!m_isFlushDue) {
    m_isFlushDue = true;
    asio::co_spawn(m_strand, flushAfterWindow(), asio::detached);
  }
  boost::system::error_code Ignored;
  if (!Self->m_outcome)
    co_await Self->m_ended.async_wait(
        asio::redirect_error(asio::use_awaitable, Ignored));
  co_return Self->m_outcome.value_or(WriteOutcome::Unsettled);
}

asio::awaitable<void> ClaimStore::flushAfterWindow() {
  co_await sleepFor(m_config.m_batch.m_window);
  m_isFlushDue = false;
  while (!m_queue.empty())
    co_await flush();
}

/// Commits one batch; rows that conflict leave it, and the rest is committed
/// again.
asio::awaitable<void> ClaimStore::flush() {
  std::vector<ClaimWrite> Batch =
      takeBatch(m_queue, m_config.m_batch.m_maxRows);
  while (!Batch.empty()) {
    m_counters.m_batches.fetch_add(1);
    TableTransaction Transaction = toTransaction(Batch);
    const Result<CommitResult> Outcome =
        co_await m_table.commit(std::move(Transaction));
    if (!Outcome) {
      finish(Batch, Outcome.error() == TableErrc::Unavailable
                        ? WriteOutcome::Unavailable
                        : WriteOutcome::Unsettled);
      co_return;
    }
    if (Outcome.value().m_conflicts.empty()) {
      finish(Batch, WriteOutcome::Committed);
      co_return;
    }
    const std::vector<ClaimWrite> Conflicting =
        takeConflicts(Batch, Outcome.value().m_conflicts);
    finish(Conflicting, WriteOutcome::Conflict);
    if (Conflicting.empty()) {
      // The service names rows that are not in the batch.
      finish(Batch, WriteOutcome::Unsettled);
      co_return;
    }
  }
}

void ClaimStore::finish(const std::vector<ClaimWrite> &Writes,
                        WriteOutcome Outcome) {
  for (const ClaimWrite &Write : Writes) {
    const auto Found = m_pending.find(Write.m_number);
    if (Found == m_pending.end())
      continue;
    Found->second->m_outcome = Outcome;
    Found->second->m_ended.cancel();
    m_pending.erase(Found);
  }
}

void ClaimStore::startSweep() {
  asio::co_spawn(m_strand, sweepLoop(), asio::detached);
}

asio::awaitable<void> ClaimStore::sweepLoop() {
  std::mt19937_64 Random(m_sweepSeed);
  const Millis Interval =
      std::max(m_config.m_policy.m_retention / ClaimShards, MinSweepInterval);
  for (;;) {
    co_await sleepFor(Interval);
    co_await sweepShard(static_cast<unsigned>(Random() % ClaimShards));
  }
}

/// Deletes the expired rows of a shard. A delete is never sent twice: version
/// numbers start again after it.
asio::awaitable<void> ClaimStore::sweepShard(unsigned Shard) {
  const TableQuery Query{claimShardPrefix(Shard), true, 0};
  const Result<std::vector<TableRow>> Rows = co_await m_table.read(Query);
  if (!Rows)
    co_return;
  TableTransaction Deletion;
  // Twice the retention: no settlement of the row is under way any more.
  const std::int64_t Oldest =
      unixMillis() - 2 * m_config.m_policy.m_retention.count();
  for (const TableRow &Row : Rows.value()) {
    const Result<ClaimRow> Claim = decodeClaim(Row.m_value);
    if (!Claim || Claim.value().m_claimedAtMs > Oldest ||
        Deletion.m_writes.size() >= m_config.m_batch.m_maxRows)
      continue;
    Deletion.m_conditions.push_back({Row.m_key, Row.m_version});
    Deletion.m_writes.push_back({Row.m_key, std::nullopt});
  }
  const std::size_t Size = Deletion.m_writes.size();
  if (Size == 0)
    co_return;
  const Result<CommitResult> Outcome =
      co_await m_table.commit(std::move(Deletion));
  if (Outcome && Outcome.value().m_conflicts.empty())
    m_counters.m_swept.fetch_add(Size);
}

void ClaimStore::count(ClaimVerdict Verdict) {
  switch (Verdict) {
  case ClaimVerdict::Own:
    m_counters.m_claimed.fetch_add(1);
    return;
  case ClaimVerdict::Replay:
    m_counters.m_replayed.fetch_add(1);
    return;
  case ClaimVerdict::StillRunning:
    m_counters.m_stillRunning.fetch_add(1);
    return;
  case ClaimVerdict::Unknown:
    m_counters.m_unknown.fetch_add(1);
    return;
  case ClaimVerdict::Free:
  case ClaimVerdict::Unavailable:
    m_counters.m_unavailable.fetch_add(1);
  }
}

} // namespace tamarackdrum

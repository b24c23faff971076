/// \file
/// Claims over the table service: writes of a process are committed in
/// batches, and writes whose reply was lost are settled by reading.

#ifndef TAMARACKDRUM_CLAIM_STORE_H
#define TAMARACKDRUM_CLAIM_STORE_H

#include "tamarackdrum/claim-batcher.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/strand.hpp>

namespace tamarackdrum {

/// Counters of a ClaimStore.
struct ClaimCounters {
  std::atomic<std::uint64_t> m_claimed{0};
  std::atomic<std::uint64_t> m_replayed{0};
  std::atomic<std::uint64_t> m_stillRunning{0};
  std::atomic<std::uint64_t> m_unknown{0};
  std::atomic<std::uint64_t> m_unavailable{0};
  std::atomic<std::uint64_t> m_batches{0};
  std::atomic<std::uint64_t> m_swept{0};
};

/// How a claim ended.
struct ClaimResult {
  ClaimVerdict m_verdict = ClaimVerdict::Unavailable;
  ClaimAttempt m_attempt; ///< Counts if the verdict is Own.
  ClaimRow m_row;         ///< The row that was judged, if there was one.
};

/// The claims of one process. Thread-safe; all dependencies outlive it.
class ClaimStore {
public:
  ClaimStore(ClaimSettings Config, std::string Process,
             std::uint64_t Incarnation, boost::asio::io_context &Workers,
             TableStore &Table);
  ~ClaimStore();

  /// Claims an id, or says what stands against it.
  boost::asio::awaitable<ClaimResult> claim(std::string WorkClass,
                                            std::string Id);

  /// Records the outcome of \p Claim; retries in the background until the
  /// table has it or the claim's retention ends.
  void settle(const ClaimAttempt &Claim, ClaimState State, ClaimAnswer Answer);

  /// Starts the sweep of expired rows.
  void startSweep();

  /// Settlements that the table does not have yet.
  std::size_t unsettled() const { return m_unsettled.load(); }

  const ClaimPolicy &policy() const { return m_config.m_policy; }
  const ClaimCounters &counters() const { return m_counters; }

private:
  struct Pending;
  using PendingPtr = std::shared_ptr<Pending>;

  boost::asio::awaitable<void> attemptClaim(ClaimResult &Out);
  boost::asio::awaitable<std::optional<TableRow>> readRow(std::string Key,
                                                          bool &IsRead);
  boost::asio::awaitable<void> runSettlement(ClaimAttempt Attempt);
  boost::asio::awaitable<WriteOutcome> write(const ClaimAttempt &Attempt);
  boost::asio::awaitable<WriteOutcome> enqueue(ClaimWrite Write);
  boost::asio::awaitable<void> flushAfterWindow();
  boost::asio::awaitable<void> flush();
  void finish(const std::vector<ClaimWrite> &Writes, WriteOutcome Outcome);
  boost::asio::awaitable<void> sweepLoop();
  boost::asio::awaitable<void> sweepShard(unsigned Shard);
  void count(ClaimVerdict Verdict);

  const ClaimSettings m_config;
  const std::string m_tokenPrefix;
  boost::asio::strand<boost::asio::io_context::executor_type> m_strand;
  TableStore &m_table;
  ClaimCounters m_counters;
  std::atomic<std::uint64_t> m_nextNumber{1};
  std::atomic<std::size_t> m_unsettled{0};
  std::uint64_t m_sweepSeed;
  // The members below are used on m_strand only.
  std::deque<ClaimWrite> m_queue;
  std::map<std::uint64_t, PendingPtr> m_pending;
  bool m_isFlushDue = false;
};

} // namespace tamarackdrum

#endif // TAMARACKDRUM_CLAIM_STORE_H

/// \file
/// Claims of once-only requests: a row of the table that precedes the only
/// dispatch of a request id. The functions decide; they do no I/O.

#ifndef TAMARACKDRUM_CLAIM_H
#define TAMARACKDRUM_CLAIM_H

#include "tamarackdrum/table.h"

namespace tamarackdrum {

/// Largest answer body that a claim keeps for re-sent ids.
inline constexpr std::size_t MaxClaimBody = 16UL * 1024;

/// Longest accepted request id, in bytes.
inline constexpr std::size_t MaxRequestId = 128;

/// What is known of the one run of an id.
enum class ClaimState {
  Claimed,  ///< Its dispatch may follow, or has followed.
  Done,     ///< It was answered, and the answer is in the row.
  Unknown,  ///< It was dispatched and its answer was lost.
  Released, ///< It provably did not run; the id may be claimed again.
};

/// The answer of the first run, as re-sent ids get it.
struct ClaimAnswer {
  unsigned m_status = 0;
  std::string m_contentType;
  std::string m_body;
  bool m_isBodyKept = true; ///< False if the body is over MaxClaimBody.

  bool operator==(const ClaimAnswer &) const = default;
};

/// Value of a claim's row.
struct ClaimRow {
  ClaimState m_state = ClaimState::Claimed;
  std::string m_token;            ///< Unique to the attempt that wrote the row.
  std::int64_t m_claimedAtMs = 0; ///< Unix time before the first write.
  ClaimAnswer m_answer;

  bool operator==(const ClaimRow &) const = default;
};

/// Times that a claim is judged by.
struct ClaimPolicy {
  /// Longest time from the start of a claim to the dispatch.
  Millis m_claimWindow{3000};
  /// Longest time from the dispatch to its end, clock skew included.
  Millis m_maxRun{2000};
  /// Age at which an id is forgotten and treated as new.
  Millis m_retention{24L * 3600 * 1000};

  bool operator==(const ClaimPolicy &) const = default;
};

/// What a row means for a request with the same id.
enum class ClaimVerdict {
  Free,         ///< No run stands against it: it may be claimed.
  Own,          ///< Claimed by this very attempt: it may be dispatched.
  Replay,       ///< Gets the first run's answer.
  StillRunning, ///< The first run may not have ended yet.
  Unknown,      ///< The first run's outcome is not known.
  Unavailable,  ///< The claim could not be recorded.
};

const char *toText(ClaimVerdict Value) noexcept;

/// Judges \p Row for the attempt \p Token at Unix time \p NowMs.
ClaimVerdict judgeClaim(const std::optional<ClaimRow> &Row,
                        const std::string &Token, std::int64_t NowMs,
                        const ClaimPolicy &Policy);

/// Returns after what time the run of \p Row has surely ended; at least 1 s.
std::chrono::seconds retryAfter(const ClaimRow &Row, std::int64_t NowMs,
                                const ClaimPolicy &Policy);

/// Returns the row key of an id. Rows are spread over shards that can be read
/// by prefix, e.g. "claim/0a3/orders/id-17".
std::string claimKey(const std::string &WorkClass, const std::string &Id);

/// Number of shards, and the key prefix of one.
inline constexpr unsigned ClaimShards = 4096;
std::string claimShardPrefix(unsigned Shard);

/// Text form of a row. Errors are of TableErrc.
std::string encodeClaim(const ClaimRow &Row);
Result<ClaimRow> decodeClaim(const std::string &Text);

/// How the write of one row ended.
enum class WriteOutcome { Committed, Conflict, Unavailable, Unsettled };

/// One attempt to bring a row into a state: a claim, or a settlement of it.
struct ClaimAttempt {
  std::string m_key;
  ClaimRow m_wanted;
  std::uint64_t m_baseVersion = 0; ///< Version that the write replaces.
  bool m_isUnsettled = false;      ///< A write of it may yet be applied.

  bool operator==(const ClaimAttempt &) const = default;
};

/// What an attempt does next.
enum class ClaimAction { Write, Read, Finish };

/// Next step of an attempt. The verdict counts if the action is Finish.
struct ClaimStep {
  ClaimAction m_action = ClaimAction::Write;
  ClaimVerdict m_verdict = ClaimVerdict::Unavailable;

  bool operator==(const ClaimStep &) const = default;
};

/// Next step after a write ended.
ClaimStep stepAfterWrite(ClaimAttempt &Attempt, WriteOutcome Outcome);

/// Next step of a claim after its row was read.
ClaimStep claimAfterRead(ClaimAttempt &Attempt,
                         const std::optional<TableRow> &Row, std::int64_t NowMs,
                         const ClaimPolicy &Policy);

/// Next step of a settlement after its row was read. A row of another token
/// ends it: the claim has expired.
ClaimStep settleAfterRead(ClaimAttempt &Attempt,
                          const std::optional<TableRow> &Row);

/// Returns the attempt that settles the finished \p Claim.
ClaimAttempt makeSettlement(const ClaimAttempt &Claim, ClaimState State,
                            ClaimAnswer Answer);

/// Returns whether a claim finished in time to be dispatched.
bool isInClaimWindow(const ClaimAttempt &Claim, std::int64_t NowMs,
                     const ClaimPolicy &Policy);

} // namespace tamarackdrum

#endif // TAMARACKDRUM_CLAIM_H

/// \file
/// Gathers the claim writes of a process into transactions.

#ifndef TAMARACKDRUM_CLAIM_BATCHER_H
#define TAMARACKDRUM_CLAIM_BATCHER_H

#include "tamarackdrum/claim.h"

#include <deque>

namespace tamarackdrum {

/// Bounds of a batch.
struct BatchLimits {
  std::size_t m_maxRows = 64;
  Millis m_window{5}; ///< Longest wait of a write for others.

  bool operator==(const BatchLimits &) const = default;
};

/// Settings of claims.
struct ClaimSettings {
  ClaimPolicy m_policy;
  BatchLimits m_batch;

  bool operator==(const ClaimSettings &) const = default;
};

/// One conditional write that waits for its batch.
struct ClaimWrite {
  std::uint64_t m_number = 0; ///< Tells the writes of a process apart.
  TableCondition m_condition;
  std::string m_value;

  bool operator==(const ClaimWrite &) const = default;
};

/// Takes the oldest writes from \p Queue, at most \p MaxRows and one a key:
/// two writes of a key in one transaction would both seem to succeed.
std::vector<ClaimWrite> takeBatch(std::deque<ClaimWrite> &Queue,
                                  std::size_t MaxRows);

/// Makes the transaction of a batch, with a condition a row.
TableTransaction toTransaction(const std::vector<ClaimWrite> &Batch);

/// Moves the writes that \p Conflicts names out of \p Batch and returns them;
/// the rest can be committed again.
std::vector<ClaimWrite>
takeConflicts(std::vector<ClaimWrite> &Batch,
              const std::vector<std::string> &Conflicts);

} // namespace tamarackdrum

#endif // TAMARACKDRUM_CLAIM_BATCHER_H

#include "tamarackdrum/claim-batcher.h"

#include <algorithm>
#include <set>

namespace tamarackdrum {

std::vector<ClaimWrite> takeBatch(std::deque<ClaimWrite> &Queue,
                                  std::size_t MaxRows) {
  std::vector<ClaimWrite> Batch;
  std::set<std::string> Keys;
  std::deque<ClaimWrite> Left;
  for (ClaimWrite &Write : Queue) {
    if (Batch.size() < MaxRows && Keys.insert(Write.m_condition.m_key).second)
      Batch.push_back(std::move(Write));
    else
      Left.push_back(std::move(Write));
  }
  Queue = std::move(Left);
  return Batch;
}

TableTransaction toTransaction(const std::vector<ClaimWrite> &Batch) {
  TableTransaction Out;
  for (const ClaimWrite &Write : Batch) {
    Out.m_conditions.push_back(Write.m_condition);
    Out.m_writes.push_back({Write.m_condition.m_key, Write.m_value});
  }
  return Out;
}

std::vector<ClaimWrite>
takeConflicts(std::vector<ClaimWrite> &Batch,
              const std::vector<std::string> &Conflicts) {
  const std::set<std::string> Keys(Conflicts.begin(), Conflicts.end());
  const auto Middle = std::stable_partition(
      Batch.begin(), Batch.end(), [&](const ClaimWrite &Write) {
        return Keys.count(Write.m_condition.m_key) == 0;
      });
  std::vector<ClaimWrite> Out(std::make_move_iterator(Middle),
                              std::make_move_iterator(Batch.end()));
  Batch.erase(Middle, Batch.end());
  return Out;
}

} // namespace tamarackdrum

#include "tamarackdrum/table.h"

namespace tamarackdrum {

std::vector<TableRow> MemoryTable::read(const TableQuery &Query) const {
  const std::lock_guard<std::mutex> Lock(m_mutex);
  std::vector<TableRow> Rows;
  for (auto Row = m_rows.lower_bound(Query.m_key); Row != m_rows.end(); ++Row) {
    const bool IsMatch = Query.m_isPrefix ? Row->first.starts_with(Query.m_key)
                                          : Row->first == Query.m_key;
    if (!IsMatch)
      break;
    if (Row->second.m_version > Query.m_newerThan)
      Rows.push_back(Row->second);
  }
  return Rows;
}

CommitResult MemoryTable::commit(const TableTransaction &Transaction) {
  const std::lock_guard<std::mutex> Lock(m_mutex);
  CommitResult Outcome;
  for (const TableCondition &Condition : Transaction.m_conditions) {
    const auto Row = m_rows.find(Condition.m_key);
    const std::uint64_t Version =
        Row == m_rows.end() ? 0 : Row->second.m_version;
    if (Version != Condition.m_version)
      Outcome.m_conflicts.push_back(Condition.m_key);
  }
  if (!Outcome.m_conflicts.empty())
    return Outcome;
  for (const TableWrite &Write : Transaction.m_writes) {
    if (!Write.m_value) {
      m_rows.erase(Write.m_key);
      continue;
    }
    TableRow &Row = m_rows[Write.m_key];
    Row.m_key = Write.m_key;
    Row.m_value = *Write.m_value;
    ++Row.m_version;
  }
  return Outcome;
}

} // namespace tamarackdrum

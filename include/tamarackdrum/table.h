/// \file
/// Port to the platform's transactional table service, and the table held in
/// memory that stands behind the embedded mode and the stand-in.

#ifndef TAMARACKDRUM_TABLE_H
#define TAMARACKDRUM_TABLE_H

#include "tamarackdrum/core.h"

#include <boost/asio/awaitable.hpp>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace tamarackdrum {

/// A row. Its version is 1 when created and grows by one with each write.
struct TableRow {
  std::string m_key;
  std::string m_value;
  std::uint64_t m_version = 0;

  bool operator==(const TableRow &) const = default;
};

/// Selects one row, or all rows whose key starts with `m_key`, that are newer
/// than `m_newerThan`.
struct TableQuery {
  std::string m_key;
  bool m_isPrefix = false;
  std::uint64_t m_newerThan = 0;

  bool operator==(const TableQuery &) const = default;
};

/// Requires that a row has this version; 0 means that it does not exist.
struct TableCondition {
  std::string m_key;
  std::uint64_t m_version = 0;

  bool operator==(const TableCondition &) const = default;
};

/// Writes a row; no value deletes it.
struct TableWrite {
  std::string m_key;
  std::optional<std::string> m_value;

  bool operator==(const TableWrite &) const = default;
};

/// All writes are applied if all conditions hold; otherwise none is.
struct TableTransaction {
  std::vector<TableCondition> m_conditions;
  std::vector<TableWrite> m_writes;

  bool operator==(const TableTransaction &) const = default;
};

/// Rows whose condition did not hold; empty if the transaction was committed.
struct CommitResult {
  std::vector<std::string> m_conflicts;

  bool operator==(const CommitResult &) const = default;
};

/// The table service. Errors are of TableErrc.
class TableStore {
public:
  virtual ~TableStore() = default;

  virtual boost::asio::awaitable<Result<std::vector<TableRow>>>
  read(TableQuery Query) = 0;

  /// TableErrc::Unsettled means that the writes may or may not stand.
  virtual boost::asio::awaitable<Result<CommitResult>>
  commit(TableTransaction Transaction) = 0;
};

/// Thread-safe table in memory.
class MemoryTable {
public:
  std::vector<TableRow> read(const TableQuery &Query) const;
  CommitResult commit(const TableTransaction &Transaction);

private:
  mutable std::mutex m_mutex;
  std::map<std::string, TableRow> m_rows;
};

/// TableStore over a MemoryTable of the same process.
class EmbeddedTable : public TableStore {
public:
  explicit EmbeddedTable(MemoryTable &Table) : m_table(Table) {}

  boost::asio::awaitable<Result<std::vector<TableRow>>>
  read(TableQuery Query) override;
  boost::asio::awaitable<Result<CommitResult>>
  commit(TableTransaction Transaction) override;

private:
  MemoryTable &m_table;
};

} // namespace tamarackdrum

#endif // TAMARACKDRUM_TABLE_H

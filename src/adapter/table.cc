#include "tamarackdrum/table.h"

namespace tamarackdrum {

boost::asio::awaitable<Result<std::vector<TableRow>>>
EmbeddedTable::read(TableQuery Query) {
  co_return m_table.read(Query);
}

boost::asio::awaitable<Result<CommitResult>>
EmbeddedTable::commit(TableTransaction Transaction) {
  co_return m_table.commit(Transaction);
}

} // namespace tamarackdrum

/// \file
/// The table service over its HTTP protocol: POST /v1/read and /v1/commit
/// with JSON bodies.

#ifndef TAMARACKDRUM_HTTP_TABLE_H
#define TAMARACKDRUM_HTTP_TABLE_H

#include "tamarackdrum/http.h"
#include "tamarackdrum/table.h"

#include <json/value.h>

namespace tamarackdrum {

Json::Value toJson(const TableQuery &Query);
Result<TableQuery> queryFromJson(const Json::Value &Value);
Json::Value toJson(const TableTransaction &Transaction);
Result<TableTransaction> transactionFromJson(const Json::Value &Value);
Json::Value toJson(const std::vector<TableRow> &Rows);
Result<std::vector<TableRow>> rowsFromJson(const Json::Value &Value);
Json::Value toJson(const CommitResult &Outcome);
Result<CommitResult> commitResultFromJson(const Json::Value &Value);

/// Client of the table service.
class HttpTable : public TableStore {
public:
  /// \p ClientName is sent along, so that the service can tell its clients.
  HttpTable(HttpClient &Client, Endpoint Service, std::string ClientName,
            Millis Timeout)
      : m_client(Client), m_service(Service),
        m_clientName(std::move(ClientName)), m_timeout(Timeout) {}

  boost::asio::awaitable<Result<std::vector<TableRow>>>
  read(TableQuery Query) override;
  boost::asio::awaitable<Result<CommitResult>>
  commit(TableTransaction Transaction) override;

private:
  boost::asio::awaitable<Result<Json::Value>> call(const char *Path,
                                                   const Json::Value &Body);

  HttpClient &m_client;
  const Endpoint m_service;
  const std::string m_clientName;
  const Millis m_timeout;
};

} // namespace tamarackdrum

#endif // TAMARACKDRUM_HTTP_TABLE_H

#include "tamarackdrum/http-table.h"

#include "tamarackdrum/error.h"
#include "tamarackdrum/view-json.h"

#include <boost/beast/http.hpp>

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace tamarackdrum {
namespace {

std::error_code toTableError(const std::error_code &Error) {
  if (Error == HttpErrc::ConnectFailed || Error == HttpErrc::PoolExhausted)
    return TableErrc::Unavailable;
  return TableErrc::Unsettled;
}

/// Runs \p Parse and maps type errors of the JSON library.
template <typename Value, typename Parser> Result<Value> guarded(Parser Parse) {
  try {
    return Parse();
  } catch (const Json::Exception &) {
    return std::error_code(TableErrc::Malformed);
  }
}

} // namespace

Json::Value toJson(const TableQuery &Query) {
  Json::Value Out;
  Out["key"] = Query.m_key;
  Out["prefix"] = Query.m_isPrefix;
  Out["newer_than"] = Json::UInt64(Query.m_newerThan);
  return Out;
}

Result<TableQuery> queryFromJson(const Json::Value &Value) {
  return guarded<TableQuery>([&]() -> Result<TableQuery> {
    return TableQuery{Value["key"].asString(), Value["prefix"].asBool(),
                      Value["newer_than"].asUInt64()};
  });
}

Json::Value toJson(const TableTransaction &Transaction) {
  Json::Value Out;
  Out["conditions"] = Json::Value(Json::arrayValue);
  for (const TableCondition &Condition : Transaction.m_conditions) {
    Json::Value Item;
    Item["key"] = Condition.m_key;
    Item["version"] = Json::UInt64(Condition.m_version);
    Out["conditions"].append(Item);
  }
  Out["writes"] = Json::Value(Json::arrayValue);
  for (const TableWrite &Write : Transaction.m_writes) {
    Json::Value Item;
    Item["key"] = Write.m_key;
    if (Write.m_value)
      Item["value"] = *Write.m_value;
    Out["writes"].append(Item);
  }
  return Out;
}

Result<TableTransaction> transactionFromJson(const Json::Value &Value) {
  return guarded<TableTransaction>([&]() -> Result<TableTransaction> {
    TableTransaction Out;
    for (const Json::Value &Item : Value["conditions"])
      Out.m_conditions.push_back(
          {Item["key"].asString(), Item["version"].asUInt64()});
    for (const Json::Value &Item : Value["writes"]) {
      TableWrite Write{Item["key"].asString(), std::nullopt};
      if (Item.isMember("value"))
        Write.m_value = Item["value"].asString();
      Out.m_writes.push_back(std::move(Write));
    }
    return Out;
  });
}

Json::Value toJson(const std::vector<TableRow> &Rows) {
  Json::Value Out;
  Out["rows"] = Json::Value(Json::arrayValue);
  for (const TableRow &Row : Rows) {
    Json::Value Item;
    Item["key"] = Row.m_key;
    Item["value"] = Row.m_value;
    Item["version"] = Json::UInt64(Row.m_version);
    Out["rows"].append(Item);
  }
  return Out;
}

Result<std::vector<TableRow>> rowsFromJson(const Json::Value &Value) {
  return guarded<std::vector<TableRow>>([&]() -> Result<std::vector<TableRow>> {
    std::vector<TableRow> Out;
    for (const Json::Value &Item : Value["rows"])
      Out.push_back({Item["key"].asString(), Item["value"].asString(),
                     Item["version"].asUInt64()});
    return Out;
  });
}

Json::Value toJson(const CommitResult &Outcome) {
  Json::Value Out;
  Out["conflicts"] = Json::Value(Json::arrayValue);
  for (const std::string &Key : Outcome.m_conflicts)
    Out["conflicts"].append(Key);
  return Out;
}

Result<CommitResult> commitResultFromJson(const Json::Value &Value) {
  return guarded<CommitResult>([&]() -> Result<CommitResult> {
    CommitResult Out;
    for (const Json::Value &Key : Value["conflicts"])
      Out.m_conflicts.push_back(Key.asString());
    return Out;
  });
}

asio::awaitable<Result<Json::Value>> HttpTable::call(const char *Path,
                                                     const Json::Value &Body) {
  HttpRequest Request(http::verb::post, Path, 11);
  Request.set(http::field::host, m_service.address().to_string());
  Request.set(http::field::content_type, "application/json");
  Request.set("X-Client", m_clientName);
  Request.body() = toText(Body);
  const Result<HttpResponse> Reply = co_await m_client.send(
      m_service, std::move(Request), BootClock::now() + m_timeout);
  if (!Reply)
    co_return toTableError(Reply.error());
  if (Reply.value().result() == http::status::service_unavailable)
    co_return std::error_code(TableErrc::Unavailable);
  if (Reply.value().result() != http::status::ok)
    co_return std::error_code(TableErrc::Malformed);
  const Result<Json::Value> Value = parseJson(Reply.value().body());
  if (!Value || !Value.value().isObject())
    co_return std::error_code(TableErrc::Malformed);
  co_return Value.value();
}

asio::awaitable<Result<std::vector<TableRow>>>
HttpTable::read(TableQuery Query) {
  const Result<Json::Value> Reply = co_await call("/v1/read", toJson(Query));
  if (!Reply)
    co_return Reply.error();
  co_return rowsFromJson(Reply.value());
}

asio::awaitable<Result<CommitResult>>
HttpTable::commit(TableTransaction Transaction) {
  const Result<Json::Value> Reply =
      co_await call("/v1/commit", toJson(Transaction));
  if (!Reply)
    co_return Reply.error();
  co_return commitResultFromJson(Reply.value());
}

} // namespace tamarackdrum

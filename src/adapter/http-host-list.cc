#include "tamarackdrum/http-host-list.h"

#include "tamarackdrum/error.h"
#include "tamarackdrum/view-json.h"

#include <boost/beast/http.hpp>

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace tamarackdrum {

asio::awaitable<Result<std::set<std::string>>> NoHostList::read() {
  co_return std::error_code(TableErrc::Unavailable);
}

asio::awaitable<Result<std::set<std::string>>> HttpHostList::read() {
  HttpRequest Request(http::verb::get, "/v1/hosts", 11);
  Request.set(http::field::host, m_service.address().to_string());
  Request.set("X-Client", m_clientName);
  const Result<HttpResponse> Reply = co_await m_client.send(
      m_service, std::move(Request), BootClock::now() + m_timeout);
  if (!Reply || Reply.value().result() != http::status::ok)
    co_return std::error_code(TableErrc::Unavailable);
  const Result<Json::Value> Body = parseJson(Reply.value().body());
  if (!Body || !Body.value().isObject() || !Body.value()["hosts"].isArray())
    co_return std::error_code(TableErrc::Malformed);
  std::set<std::string> Names;
  for (const Json::Value &Item : Body.value()["hosts"])
    if (Item.isObject() && Item["name"].isString())
      Names.insert(Item["name"].asString());
  co_return Names;
}

} // namespace tamarackdrum

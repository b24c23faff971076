#include "tamarackdrum/rpc.h"

#include "tamarackdrum/view-json.h"

#include <boost/beast/http.hpp>
#include <jsonrpccpp/common/exception.h>
#include <jsonrpccpp/common/procedure.h>
#include <jsonrpccpp/server/iclientconnectionhandler.h>
#include <jsonrpccpp/server/iprocedureinvokationhandler.h>
#include <jsonrpccpp/server/requesthandlerfactory.h>

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace tamarackdrum {
namespace {

/// JSON-RPC codes of ChangeErrc values: ChangeErrorBase minus the value.
constexpr int ChangeErrorBase = -32000;
constexpr int LastChangeError =
    ChangeErrorBase - static_cast<int>(ChangeErrc::Unsettled);
constexpr int ControlError = -32099;

/// Compares in time that does not depend on where the texts differ.
bool isSameSecret(std::string_view Left, std::string_view Right) {
  if (Left.size() != Right.size())
    return false;
  unsigned Difference = 0;
  for (std::size_t I = 0; I < Left.size(); ++I)
    Difference |= static_cast<unsigned char>(Left[I]) ^
                  static_cast<unsigned char>(Right[I]);
  return Difference == 0;
}

int toRpcCode(const std::error_code &Error) {
  const bool IsChange =
      Error.category() == make_error_code(ChangeErrc::Malformed).category();
  return IsChange ? ChangeErrorBase - Error.value() : ControlError;
}

std::error_code fromRpcCode(int Code) {
  if (Code < ChangeErrorBase && Code >= LastChangeError)
    return static_cast<ChangeErrc>(ChangeErrorBase - Code);
  return ControlErrc::Malformed;
}

} // namespace

class RpcServer::Dispatcher : public jsonrpc::IProcedureInvokationHandler {
public:
  Dispatcher()
      : m_protocol(jsonrpc::RequestHandlerFactory::createProtocolHandler(
            jsonrpc::JSONRPC_SERVER_V2, *this)) {}

  void addMethod(const std::string &Name, RpcMethod Method) {
    m_methods[Name] = std::move(Method);
    m_protocol->AddProcedure(jsonrpc::Procedure(Name, jsonrpc::PARAMS_BY_NAME,
                                                jsonrpc::JSON_OBJECT, nullptr));
  }

  std::string handle(const std::string &Request) {
    std::string Response;
    m_protocol->HandleRequest(Request, Response);
    return Response;
  }

  void HandleMethodCall(jsonrpc::Procedure &Procedure, const Json::Value &Input,
                        Json::Value &Output) override {
    const Result<Json::Value> Outcome =
        m_methods.at(Procedure.GetProcedureName())(Input);
    if (!Outcome)
      throw jsonrpc::JsonRpcException(toRpcCode(Outcome.error()),
                                      Outcome.error().message());
    Output = Outcome.value();
  }

  void HandleNotificationCall(jsonrpc::Procedure & /*Procedure*/,
                              const Json::Value & /*Input*/) override {}

private:
  std::unique_ptr<jsonrpc::IProtocolHandler> m_protocol;
  std::map<std::string, RpcMethod> m_methods;
};

RpcServer::RpcServer() : m_dispatcher(std::make_unique<Dispatcher>()) {}

RpcServer::~RpcServer() = default;

void RpcServer::addMethod(const std::string &Name, RpcMethod Method) {
  m_dispatcher->addMethod(Name, std::move(Method));
}

std::string RpcServer::handle(const std::string &Request) {
  return m_dispatcher->handle(Request);
}

std::error_code checkControlCall(const HttpRequest &Request,
                                 const std::string &SharedKey) {
  if (!isSameSecret(std::string(Request[http::field::authorization]),
                    "Bearer " + SharedKey))
    return ControlErrc::Unauthorized;
  if (Request["Tamarack-Version"] != ControlVersion)
    return ControlErrc::WrongVersion;
  return {};
}

asio::awaitable<Result<Json::Value>>
RpcClient::call(std::string Method, Json::Value Parameters, Millis Timeout) {
  Json::Value Envelope;
  Envelope["jsonrpc"] = "2.0";
  Envelope["id"] = 1;
  Envelope["method"] = Method;
  Envelope["params"] = std::move(Parameters);
  HttpRequest Request(http::verb::post, m_path, 11);
  Request.set(http::field::host, m_peer.address().to_string());
  Request.set(http::field::authorization, "Bearer " + m_sharedKey);
  Request.set("Tamarack-Version", ControlVersion);
  Request.body() = toText(Envelope);
  const Result<HttpResponse> Reply = co_await m_client.send(
      m_peer, std::move(Request), BootClock::now() + Timeout);
  if (!Reply)
    co_return std::error_code(ControlErrc::Unreachable);
  if (Reply.value().result() == http::status::unauthorized)
    co_return std::error_code(ControlErrc::Unauthorized);
  if (Reply.value().result() == http::status::upgrade_required)
    co_return std::error_code(ControlErrc::WrongVersion);
  const Result<Json::Value> Parsed = parseJson(Reply.value().body());
  if (!Parsed || !Parsed.value().isObject())
    co_return std::error_code(ControlErrc::Malformed);
  const Json::Value &Body = Parsed.value();
  if (Body.isMember("error"))
    co_return fromRpcCode(Body["error"]["code"].asInt());
  co_return Body["result"];
}

} // namespace tamarackdrum

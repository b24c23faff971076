#include "tamarackdrum/operator-client.h"

#include "tamarackdrum/blocking.h"

namespace tamarackdrum {

Result<Json::Value> OperatorClient::callOne(const Endpoint &Process,
                                            const std::string &Method,
                                            const Json::Value &Parameters) {
  RpcClient Rpc(m_client, Process, m_sharedKey, "/rpc/operator");
  return runBlocking(Rpc.call(Method, Parameters, m_timeout));
}

Result<Json::Value> OperatorClient::call(const std::string &Method,
                                         const Json::Value &Parameters) {
  Result<Json::Value> Last = std::error_code(ControlErrc::Unreachable);
  for (const Endpoint &Process : m_processes) {
    Last = callOne(Process, Method, Parameters);
    if (Last || Last.error() != ControlErrc::Unreachable)
      return Last;
  }
  return Last;
}

std::vector<MemberAnswer>
OperatorClient::callEach(const std::vector<Member> &Members,
                         const std::string &Method,
                         const Json::Value &Parameters) {
  std::vector<MemberAnswer> Out;
  for (const Member &Item : Members) {
    const Result<Endpoint> Process = parseEndpoint(Item.m_address);
    Out.push_back({Item, Process ? callOne(Process.value(), Method, Parameters)
                                 : Result<Json::Value>(Process.error())});
  }
  return Out;
}

} // namespace tamarackdrum

/// \file
/// Client of the control addresses, for operators' tools.

#ifndef TAMARACKDRUM_OPERATOR_CLIENT_H
#define TAMARACKDRUM_OPERATOR_CLIENT_H

#include "tamarackdrum/rpc.h"
#include "tamarackdrum/view.h"

namespace tamarackdrum {

/// Answer of one member, or why there is none.
struct MemberAnswer {
  Member m_member;
  Result<Json::Value> m_answer;
};

/// Calls processes one after the other until one is reached. Blocks.
class OperatorClient {
public:
  OperatorClient(std::vector<Endpoint> Processes, std::string SharedKey,
                 Millis Timeout)
      : m_processes(std::move(Processes)), m_sharedKey(std::move(SharedKey)),
        m_timeout(Timeout), m_client(HttpClientLimits{}) {}

  /// Calls \p Method at the first process that can be reached. Parameters are
  /// the same at each try, so a change must carry an operation id.
  Result<Json::Value> call(const std::string &Method,
                           const Json::Value &Parameters);

  /// Calls \p Method at every one of \p Members.
  std::vector<MemberAnswer> callEach(const std::vector<Member> &Members,
                                     const std::string &Method,
                                     const Json::Value &Parameters);

private:
  Result<Json::Value> callOne(const Endpoint &Process,
                              const std::string &Method,
                              const Json::Value &Parameters);

  const std::vector<Endpoint> m_processes;
  const std::string m_sharedKey;
  const Millis m_timeout;
  HttpClient m_client;
};

} // namespace tamarackdrum

#endif // TAMARACKDRUM_OPERATOR_CLIENT_H

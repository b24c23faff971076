/// \file
/// JSON-RPC 2.0 for control calls: the server half of libjsonrpccpp behind an
/// HttpServer, and a client over HttpClient.

#ifndef TAMARACKDRUM_RPC_H
#define TAMARACKDRUM_RPC_H

#include "tamarackdrum/error.h"
#include "tamarackdrum/http.h"

#include <json/value.h>
#include <memory>
#include <string>

namespace tamarackdrum {

/// Version of the control protocol, sent with each call.
inline constexpr const char *ControlVersion = "1";

/// Method of a RpcServer: parameters to a result, or an error.
using RpcMethod = std::function<Result<Json::Value>(const Json::Value &)>;

/// Answers JSON-RPC requests. Methods may run on several threads at once.
class RpcServer {
public:
  RpcServer();
  ~RpcServer();

  /// Adds a method; call before the first handle().
  void addMethod(const std::string &Name, RpcMethod Method);

  /// Returns the JSON-RPC response to \p Request.
  std::string handle(const std::string &Request);

private:
  class Dispatcher;
  std::unique_ptr<Dispatcher> m_dispatcher;
};

/// Returns whether \p Request carries \p SharedKey and the right version;
/// otherwise an error of ControlErrc.
std::error_code checkControlCall(const HttpRequest &Request,
                                 const std::string &SharedKey);

/// Sends control calls to one process.
class RpcClient {
public:
  RpcClient(HttpClient &Client, Endpoint Peer, std::string SharedKey,
            std::string Path)
      : m_client(Client), m_peer(Peer), m_sharedKey(std::move(SharedKey)),
        m_path(std::move(Path)) {}

  /// Calls \p Method; errors are of ControlErrc, or the error that the method
  /// returned, if it is of ChangeErrc.
  boost::asio::awaitable<Result<Json::Value>>
  call(std::string Method, Json::Value Parameters, Millis Timeout);

private:
  HttpClient &m_client;
  const Endpoint m_peer;
  const std::string m_sharedKey;
  const std::string m_path;
};

} // namespace tamarackdrum

#endif // TAMARACKDRUM_RPC_H

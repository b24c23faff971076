/// \file
/// The control address of a process: calls of members and of operators.

#ifndef TAMARACKDRUM_CONTROL_API_H
#define TAMARACKDRUM_CONTROL_API_H

#include "tamarackdrum/metrics.h"
#include "tamarackdrum/request-proxy.h"
#include "tamarackdrum/rpc.h"
#include "tamarackdrum/view-keeper.h"

#include <boost/asio/thread_pool.hpp>

namespace tamarackdrum {

/// Handler of the control address. Thread-safe.
class ControlApi {
public:
  ControlApi(const Settings &Config, boost::asio::io_context &Workers,
             ViewKeeper &Keeper, Router &Routes, const RequestProxy &Proxy,
             PoisonGuard &Poison, const Metrics &Recorded);

  boost::asio::awaitable<HttpResponse> onControl(const HttpRequest &Call);

private:
  void addMethods();
  Result<Json::Value> rpcRenew(const Json::Value &Parameters);
  Result<Json::Value> rpcLoads(const Json::Value &Parameters);
  Result<Json::Value> rpcInstall(const Json::Value &Parameters);
  Result<Json::Value> rpcChange(const Json::Value &Parameters);
  Result<Json::Value> rpcClasses(const Json::Value &Parameters);
  Result<Json::Value> rpcRemoveMembers(const Json::Value &Parameters);
  Result<Json::Value> rpcStatus(const Json::Value &Parameters);
  Result<Json::Value> rpcReport(const Json::Value &Parameters);
  HttpResponse exposeMetrics() const;

  boost::asio::awaitable<Result<ViewPtr>> findStanding(ViewChange Apply);
  Result<Json::Value> rpcFault(const Json::Value &Parameters);

  /// Commits a change and waits until it is in force; blocks.
  Result<Json::Value> runChange(ViewChange Apply, const std::string &Operation);

  const Settings &m_settings;
  boost::asio::io_context &m_workers;
  ViewKeeper &m_keeper;
  Router &m_router;
  const RequestProxy &m_proxy;
  PoisonGuard &m_poison;
  const Metrics &m_metrics;
  boost::asio::thread_pool m_operatorPool;
  RpcServer m_peerRpc;
  RpcServer m_operatorRpc;
  std::atomic<std::uint64_t> m_refused{0};
};

} // namespace tamarackdrum

#endif // TAMARACKDRUM_CONTROL_API_H

/// \file
/// One entry-host process: takes calls, dispatches them, keeps its view lease
/// and takes part in planning.
///
/// Lock order: EntryHost::m_leaseMutex before the mutexes of Router.

#ifndef TAMARACKDRUM_ENTRY_HOST_H
#define TAMARACKDRUM_ENTRY_HOST_H

#include "tamarackdrum/declaration.h"
#include "tamarackdrum/http.h"
#include "tamarackdrum/routing.h"
#include "tamarackdrum/rpc.h"
#include "tamarackdrum/settings.h"
#include "tamarackdrum/table.h"

#include <boost/asio/thread_pool.hpp>

namespace tamarackdrum {

/// Outcome of a request as the caller is told.
enum class Outcome { Answered, NotRun, Unknown };

const char *toText(Outcome Value) noexcept;

/// Counters of requests by outcome.
struct RequestCounters {
  std::atomic<std::uint64_t> m_answered{0};
  std::atomic<std::uint64_t> m_notRun{0};
  std::atomic<std::uint64_t> m_unknown{0};
  std::atomic<std::uint64_t> m_controlRefused{0};
};

/// The process. All dependencies outlive it.
class EntryHost {
public:
  EntryHost(Settings Config, boost::asio::io_context &Workers,
            TableStore &Table, HttpClient &PeerClient,
            HttpClient &ServerClient);

  /// Binds both addresses and starts all activities.
  void start();

  /// Stops taking calls; returns at once.
  void beginStop();

  /// Returns whether nothing is in flight any more.
  bool isIdle() const;

private:
  using Request = HttpRequest;
  using Response = HttpResponse;

  // Callers.
  boost::asio::awaitable<Response> onCall(const Request &Call);
  boost::asio::awaitable<Response> forward(const Request &Call,
                                           Dispatch Granted);

  // Control.
  boost::asio::awaitable<Response> onControl(const Request &Call);
  Result<Json::Value> rpcRenew(const Json::Value &Parameters);
  Result<Json::Value> rpcInstall(const Json::Value &Parameters);
  Result<Json::Value> rpcChange(const Json::Value &Parameters);
  Result<Json::Value> rpcClasses(const Json::Value &Parameters);
  Result<Json::Value> rpcStatus(const Json::Value &Parameters);
  void addMethods();

  // View and lease.
  boost::asio::awaitable<void> leaseLoop();
  boost::asio::awaitable<void> renewWith(Member Peer);
  boost::asio::awaitable<void> pushView(Member Peer, ViewPtr Next);
  boost::asio::awaitable<void> tableLoop();
  boost::asio::awaitable<void> readTable();
  boost::asio::awaitable<void> bootstrap();
  void adopt(ViewPtr Next, ViewSource Source);
  void publishLease(TimePoint Now);
  ViewPtr currentView() const;

  // Changes.
  using Change = std::function<Result<View>(View Next)>;
  boost::asio::awaitable<Result<ViewPtr>> commitChange(Change Apply,
                                                       std::string Operation);
  boost::asio::awaitable<Result<CommitResult>> commitView(const View &Next);
  boost::asio::awaitable<bool> isCommitted(std::string Operation);
  boost::asio::awaitable<std::error_code> awaitInForce(Generation Wanted);
  Result<Json::Value> runChange(Change Apply, const std::string &Operation);

  RpcClient peerClient(const std::string &Address);

  const Settings m_settings;
  const std::uint64_t m_incarnation;
  boost::asio::io_context &m_workers;
  TableStore &m_table;
  HttpClient &m_peerClient;
  HttpClient &m_serverClient;
  boost::asio::thread_pool m_operatorPool;
  Router m_router;
  mutable std::mutex m_leaseMutex;
  ViewLease m_lease;
  RpcServer m_peerRpc;
  RpcServer m_operatorRpc;
  std::unique_ptr<HttpServer> m_callerServer;
  std::unique_ptr<HttpServer> m_controlServer;
  std::atomic<bool> m_stopping{false};
  RequestCounters m_counters;
};

} // namespace tamarackdrum

#endif // TAMARACKDRUM_ENTRY_HOST_H

/// \file
/// Collects the loads of all members in windows and commits the moves that
/// rebalance() derives from them, while this process is the planner.

#ifndef TAMARACKDRUM_LOAD_BALANCER_H
#define TAMARACKDRUM_LOAD_BALANCER_H

#include "tamarackdrum/rebalance.h"
#include "tamarackdrum/view-keeper.h"

namespace tamarackdrum {

/// The balancer. All dependencies outlive it.
class LoadBalancer {
public:
  LoadBalancer(const Settings &Config, boost::asio::io_context &Workers,
               HttpClient &PeerClient, Router &Routes, ViewKeeper &Keeper)
      : m_settings(Config), m_workers(Workers), m_peerClient(PeerClient),
        m_router(Routes), m_keeper(Keeper) {}

  void start();
  void beginStop() { m_stopping = true; }

private:
  boost::asio::awaitable<void> balanceLoop();
  boost::asio::awaitable<ClassLoads> collect(ViewPtr Current);
  boost::asio::awaitable<void> balance(ViewPtr Current, ClassLoads Loads);

  const Settings &m_settings;
  boost::asio::io_context &m_workers;
  HttpClient &m_peerClient;
  Router &m_router;
  ViewKeeper &m_keeper;
  const BalancePolicies m_policies;
  BalanceState m_state; ///< Used by balanceLoop() only.
  std::uint64_t m_operations = 0;
  std::atomic<bool> m_stopping{false};
};

} // namespace tamarackdrum

#endif // TAMARACKDRUM_LOAD_BALANCER_H

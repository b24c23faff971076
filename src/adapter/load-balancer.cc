#include "tamarackdrum/load-balancer.h"

#include "tamarackdrum/error.h"
#include "tamarackdrum/planner.h"
#include "tamarackdrum/rebalance-json.h"

#include <boost/asio.hpp>

namespace asio = boost::asio;

namespace tamarackdrum {
namespace {

constexpr Millis CollectTimeout{500};

} // namespace

void LoadBalancer::start() {
  asio::co_spawn(asio::make_strand(m_workers), balanceLoop(), asio::detached);
}

asio::awaitable<void> LoadBalancer::balanceLoop() {
  asio::steady_timer Timer(co_await asio::this_coro::executor);
  bool WasPlanner = false;
  while (!m_stopping) {
    const bool IsPlanner = m_keeper.isPlanner();
    if (IsPlanner) {
      const ViewPtr Current = m_keeper.view();
      ClassLoads Loads = co_await collect(Current);
      // The first window of a new planner has no known length.
      if (WasPlanner)
        co_await balance(Current, std::move(Loads));
      else
        m_state.clear();
    }
    WasPlanner = IsPlanner;
    Timer.expires_after(m_settings.m_loadWindow);
    boost::system::error_code Ignored;
    co_await Timer.async_wait(
        asio::redirect_error(asio::use_awaitable, Ignored));
  }
}

/// Sums the loads of the members that answer.
asio::awaitable<ClassLoads> LoadBalancer::collect(ViewPtr Current) {
  ClassLoads Sum = m_router.takeLoads();
  const std::string Method = "loads";
  const Json::Value Parameters(Json::objectValue);
  for (const Member &Peer : Current->m_members) {
    const Result<Endpoint> Address = parseEndpoint(Peer.m_address);
    if (Peer.m_name == m_settings.m_name || !Address)
      continue;
    RpcClient Client(m_peerClient, Address.value(), m_settings.m_sharedKey,
                     "/rpc/peer");
    const Result<Json::Value> Answer =
        co_await Client.call(Method, Parameters, CollectTimeout);
    if (!Answer)
      continue;
    const Result<ClassLoads> Loads = loadsFromJson(Answer.value());
    if (Loads)
      addLoads(Sum, Loads.value());
  }
  co_return Sum;
}

asio::awaitable<void> LoadBalancer::balance(ViewPtr Current, ClassLoads Loads) {
  m_state = observeLoads(m_state, *Current, Loads, m_policies);
  if (!rebalance(nextGeneration(*Current, m_settings.m_name, "balance"), Loads,
                 m_state, m_policies))
    co_return;
  const ViewChange Apply = [this, Loads](View Next) -> Result<View> {
    std::optional<View> Changed =
        rebalance(std::move(Next), Loads, m_state, m_policies);
    if (!Changed)
      return std::error_code(ChangeErrc::Superseded);
    return std::move(*Changed);
  };
  const std::string Operation = "balance-" + m_settings.m_name + "-" +
                                std::to_string(++m_operations) + "-" +
                                std::to_string(Current->m_generation);
  const Result<ViewPtr> Committed =
      co_await m_keeper.commitChange(Apply, Operation);
  if (Committed)
    m_state.clear();
}

} // namespace tamarackdrum

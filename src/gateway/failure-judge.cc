#include "tamarackdrum/gateway/failure-judge.h"

#include <algorithm>

namespace tamarackdrum::gateway {
namespace {

template <typename Outer> void eraseOlder(Outer &Items, TimePoint Limit) {
  for (auto &[Name, Times] : Items)
    std::erase_if(Times,
                  [Limit](const auto &Item) { return Item.second < Limit; });
  std::erase_if(Items, [](const auto &Item) { return Item.second.empty(); });
}

} // namespace

void FailureJudge::forget(TimePoint Now) {
  // Once per window is enough to bound the memory.
  if (Now - m_forgotAt < m_policy.m_reachedWindow)
    return;
  m_forgotAt = Now;
  eraseOlder(m_reachedAt, Now - m_policy.m_memory);
  std::erase_if(m_failures, [&](const auto &Item) {
    return Now - Item.second.m_firstAt > m_policy.m_memory;
  });
  eraseOlder(m_blamedFor, Now - m_policy.m_memory);
}

bool FailureJudge::isHostBlamed(std::uint32_t Link) const {
  const auto Found = m_blamedFor.find(Link);
  return Found != m_blamedFor.end() &&
         Found->second.size() >= m_policy.m_serversToBlameHost;
}

void FailureJudge::recordReached(const std::string &Server, std::uint32_t Link,
                                 TimePoint Now) {
  forget(Now);
  m_reachedAt[Server][Link] = Now;
  m_failures.erase(Server);
  m_blamedFor.erase(Link);
}

bool FailureJudge::recordFailed(const std::string &Server, std::uint32_t Link,
                                TimePoint Now) {
  forget(Now);
  Failures &Failed =
      m_failures.try_emplace(Server, Failures{Now, {}}).first->second;
  Failed.m_lastAt[Link] = Now;
  const auto Reached = m_reachedAt.find(Server);
  const bool IsReachedByOthers =
      Reached != m_reachedAt.end() &&
      std::any_of(Reached->second.begin(), Reached->second.end(),
                  [&](const auto &Item) {
                    return Item.first != Link &&
                           Now - Item.second <= m_policy.m_reachedWindow;
                  });
  if (IsReachedByOthers) {
    m_blamedFor[Link][Server] = Now;
    const auto Witnesses = std::count_if(
        Failed.m_lastAt.begin(), Failed.m_lastAt.end(),
        [this](const auto &Item) { return !isHostBlamed(Item.first); });
    return Witnesses >= 2 && Now - Failed.m_firstAt >= m_policy.m_settleTime;
  }
  return !isHostBlamed(Link);
}

} // namespace tamarackdrum::gateway

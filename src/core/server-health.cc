#include "tamarackdrum/server-health.h"

#include <algorithm>

namespace tamarackdrum {
namespace {

std::uint64_t probeRank(const std::string &Server, const std::string &Process) {
  return hashKey(Server + '/' + Process);
}

} // namespace

bool isProber(const View &Current, const std::string &Server,
              const std::string &Process) {
  const std::uint64_t Own = probeRank(Server, Process);
  bool IsMember = false;
  std::size_t Before = 0;
  for (const Member &Other : Current.m_members) {
    IsMember = IsMember || Other.m_name == Process;
    if (probeRank(Server, Other.m_name) > Own)
      ++Before;
  }
  return IsMember && Before < ProbersPerServer;
}

void ServerHealth::addFailure(Evidence &Item, TimePoint Now) const {
  const bool IsStale = Now - Item.m_lastFailure >= m_limits.m_suspicionMemory;
  if (Item.m_failures == 0 || IsStale) {
    Item.m_failures = 0;
    Item.m_refusals = 0;
    Item.m_firstFailure = Now;
  }
  ++Item.m_failures;
  Item.m_lastFailure = Now;
}

void ServerHealth::noteResult(const std::string &Server, bool IsFailure,
                              TimePoint Now) {
  const std::lock_guard<std::mutex> Lock(m_mutex);
  Evidence &Item = m_servers[Server];
  Item.m_hasDispatch = true;
  Item.m_dispatchFailed = IsFailure;
  Item.m_lastDispatch = Now;
  Item.m_refusals = 0;
  if (IsFailure)
    addFailure(Item, Now);
  else
    Item.m_failures = 0;
}

void ServerHealth::noteConnectRefused(const std::string &Server,
                                      TimePoint Now) {
  const std::lock_guard<std::mutex> Lock(m_mutex);
  Evidence &Item = m_servers[Server];
  Item.m_hasDispatch = true;
  Item.m_dispatchFailed = true;
  Item.m_lastDispatch = Now;
  addFailure(Item, Now);
  ++Item.m_refusals;
}

void ServerHealth::noteReport(const std::string &Server, bool IsHealthy,
                              TimePoint Now) {
  const std::lock_guard<std::mutex> Lock(m_mutex);
  Evidence &Item = m_servers[Server];
  const bool IsDispatchRecent =
      Item.m_hasDispatch &&
      Now - Item.m_lastDispatch < m_limits.m_dispatchMemory;
  if (IsDispatchRecent && Item.m_dispatchFailed == IsHealthy)
    return;
  if (!IsHealthy) {
    addFailure(Item, Now);
    return;
  }
  Item.m_failures = 0;
  Item.m_refusals = 0;
}

void ServerHealth::noteNoAnswer(const std::string &Server, TimePoint Now) {
  const std::lock_guard<std::mutex> Lock(m_mutex);
  addFailure(m_servers[Server], Now);
}

std::vector<std::string> ServerHealth::suspects(TimePoint Now) const {
  const std::lock_guard<std::mutex> Lock(m_mutex);
  std::vector<std::string> Out;
  for (const std::pair<const std::string, Evidence> &Entry : m_servers) {
    const Evidence &Item = Entry.second;
    if (Item.m_failures < m_limits.m_failuresToSuspect ||
        Now - Item.m_lastFailure >= m_limits.m_suspicionMemory)
      continue;
    if (Item.m_refusals >= m_limits.m_failuresToSuspect ||
        Now - Item.m_firstFailure >= m_limits.m_minFailingTime)
      Out.push_back(Entry.first);
  }
  return Out;
}

void ServerHealth::retain(const std::vector<std::string> &Known) {
  const std::lock_guard<std::mutex> Lock(m_mutex);
  std::erase_if(m_servers, [&](const auto &Entry) {
    return !std::binary_search(Known.begin(), Known.end(), Entry.first);
  });
}

} // namespace tamarackdrum

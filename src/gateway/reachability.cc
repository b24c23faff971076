#include "tamarackdrum/gateway/reachability.h"

#include <algorithm>

namespace tamarackdrum::gateway {

void Reachability::recordReached(const std::string &Server, TimePoint Now) {
  m_reachedAt = Now;
  m_failedAt.clear();
  m_recovered.insert(Server);
}

void Reachability::recordFailed(const std::string &Server, TimePoint Now) {
  m_failedAt[Server] = Now;
  m_recovered.clear();
}

void Reachability::recordSilent(const std::string &Server, TimePoint Start,
                                TimePoint Now) {
  if (m_reachedAt < Start)
    recordFailed(Server, Now);
}

std::vector<std::string> Reachability::takeDueProbes(const Servers &Known,
                                                     TimePoint OldestWaiting,
                                                     TimePoint Now) {
  const bool IsSilent =
      Now - std::max(OldestWaiting, m_reachedAt) > m_policy.m_silentAfter;
  const bool IsSuspicious = m_isCutOff || IsSilent || !m_failedAt.empty();
  const bool IsIdle = Now - m_reachedAt > m_policy.m_idleProbeAfter;
  const Millis Interval =
      IsSuspicious ? m_policy.m_probeInterval : m_policy.m_idleProbeAfter;
  if ((!IsSuspicious && !IsIdle) || Now - m_probedAt < Interval)
    return {};
  m_probedAt = Now;
  ++m_round;
  // Servers of one service and zone may have failed together, so one of each
  // is probed; each round takes another one.
  std::map<std::pair<std::string, std::string>, std::vector<std::string>>
      Groups;
  for (const auto &[Id, Entry] : Known)
    Groups[{Entry.m_zone, Entry.m_service}].push_back(Id);
  std::vector<std::string> Out;
  for (const auto &[Name, Ids] : Groups)
    Out.push_back(Ids[m_round % Ids.size()]);
  // Few servers may be known of one service and zone only.
  for (const auto &[Id, Entry] : Known)
    if (Out.size() < m_policy.m_serversToSuspect &&
        std::find(Out.begin(), Out.end(), Id) == Out.end())
      Out.push_back(Id);
  if (!Out.empty())
    std::rotate(Out.begin(),
                Out.begin() + static_cast<std::ptrdiff_t>(m_round % Out.size()),
                Out.end());
  const bool NeedsAll = !m_isCutOff && IsSuspicious;
  const std::size_t Count = NeedsAll     ? m_policy.m_maxProbes
                            : m_isCutOff ? m_policy.m_serversToRecover
                                         : 1;
  Out.resize(std::min(Out.size(), Count));
  return Out;
}

bool Reachability::haveAllFailed(const Servers &Known) const {
  std::set<std::string> Zones;
  std::set<std::string> Services;
  std::set<std::string> FailedZones;
  std::set<std::string> FailedServices;
  std::size_t Failed = 0;
  for (const auto &[Id, Entry] : Known) {
    Zones.insert(Entry.m_zone);
    Services.insert(Entry.m_service);
    if (m_failedAt.count(Id) == 0)
      continue;
    ++Failed;
    FailedZones.insert(Entry.m_zone);
    FailedServices.insert(Entry.m_service);
  }
  const std::size_t Two = 2;
  return Known.size() >= Two &&
         Failed >= std::min(m_policy.m_serversToSuspect, Known.size()) &&
         FailedZones.size() >= std::min(Two, Zones.size()) &&
         FailedServices.size() >= std::min(Two, Services.size());
}

bool Reachability::update(const Servers &Known, bool OthersReach,
                          TimePoint Now) {
  std::erase_if(m_failedAt, [&](const auto &Item) {
    return Now - Item.second > m_policy.m_failureMemory;
  });
  const bool WasCutOff = m_isCutOff;
  if (m_isCutOff)
    m_isCutOff = m_recovered.size() <
                 std::min(m_policy.m_serversToRecover, Known.size());
  else
    m_isCutOff = OthersReach && haveAllFailed(Known);
  if (m_isCutOff && !WasCutOff)
    m_recovered.clear();
  return m_isCutOff != WasCutOff;
}

bool Reachability::reachesServers(TimePoint Now) const {
  return !isSuspected() && m_reachedAt != TimePoint{} &&
         Now - m_reachedAt < m_policy.m_reachedMemory;
}

} // namespace tamarackdrum::gateway

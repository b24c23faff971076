#include "tamarackdrum/gateway/roster.h"

#include <algorithm>
#include <set>
#include <utility>

namespace tamarackdrum::gateway {
namespace {

/// For this long after its start, a host sends heartbeats to all eligible
/// hosts, so that each of them learns its address.
constexpr Millis AnnounceTime{1500};
/// Least processor share of a candidate, relative to the largest one.
constexpr double MinRelativeCpuShare = 0.9;

} // namespace

Roster::Roster(RosterPolicy Policy, HostInfo Self)
    : m_policy(Policy), m_self(std::move(Self)) {}

Roster::Peer &Roster::peer(const std::string &Name, TimePoint Now) {
  Peer &Out = m_hosts[Name];
  if (Out.m_addedAt == TimePoint{}) {
    Out.m_nameHash = hashKey(Name);
    Out.m_addedAt = Now;
    Out.m_listedAt = Now;
  }
  return Out;
}

std::vector<HostInfo> Roster::addHosts(const std::vector<HostInfo> &Hosts,
                                       TimePoint Now) {
  std::vector<HostInfo> Added;
  for (const HostInfo &Info : Hosts) {
    if (Info.m_name == m_self.m_name || Info.m_ip == m_self.m_ip)
      continue;
    Peer &Item = peer(Info.m_name, Now);
    Item.m_listedAt = Now;
    if (Info.m_processStartMs > Item.m_info.m_processStartMs)
      Added.push_back(Info);
    if (Info.m_processStartMs >= Item.m_info.m_processStartMs)
      Item.m_info = Info;
  }
  return Added;
}

void Roster::noteRunning(TimePoint Now) {
  const TimePoint Before = std::exchange(m_runningAt, Now);
  if (Before == TimePoint{} || Now - Before <= m_policy.m_maxLoopPause)
    return;
  for (auto &[Name, Item] : m_hosts)
    if (Item.m_graceUntil == TimePoint{} && isAlive(Item, Before) &&
        !isAlive(Item, Now))
      Item.m_graceUntil = Now + m_policy.m_pauseGrace;
}

void Roster::recordHeartbeat(const Heartbeat &Beat, TimePoint Now) {
  if (Beat.m_host.m_name == m_self.m_name)
    return;
  Peer &Item = peer(Beat.m_host.m_name, Now);
  // Process starts are read from a clock that may be set back: an earlier start
  // is accepted once the process with the later one is silent.
  if (Beat.m_host.m_processStartMs < Item.m_info.m_processStartMs &&
      isAlive(Item, Now))
    return;
  Item.m_info = Beat.m_host;
  Item.m_heartbeat = Beat;
  Item.m_heardAt = Now;
  Item.m_graceUntil = {};
  Item.m_isUnreachable = false;
}

void Roster::markAlive(const std::string &Host, TimePoint Now) {
  const auto Found = m_hosts.find(Host);
  if (Found == m_hosts.end() || Found->second.m_isUnreachable)
    return;
  Found->second.m_heardAt = Now;
  Found->second.m_graceUntil = {};
}

void Roster::markUnreachable(const std::string &Host) {
  const auto Found = m_hosts.find(Host);
  if (Found != m_hosts.end())
    Found->second.m_isUnreachable = true;
}

bool Roster::isAlive(const Peer &Item, TimePoint Now) const {
  return !Item.m_isUnreachable && Item.m_heardAt != TimePoint{} &&
         (Now - Item.m_heardAt < m_policy.m_failureTimeout ||
          Now < Item.m_graceUntil);
}

bool Roster::isAlive(const std::string &Host, TimePoint Now) const {
  if (Host == m_self.m_name)
    return true;
  const auto Found = m_hosts.find(Host);
  return Found != m_hosts.end() && isAlive(Found->second, Now);
}

std::int64_t Roster::processStartMs(const std::string &Host) const {
  if (Host == m_self.m_name)
    return m_self.m_processStartMs;
  const auto Found = m_hosts.find(Host);
  return Found == m_hosts.end() ? 0 : Found->second.m_info.m_processStartMs;
}

std::optional<HostInfo> Roster::find(const std::string &Host) const {
  if (Host == m_self.m_name)
    return m_self;
  const auto Found = m_hosts.find(Host);
  if (Found == m_hosts.end())
    return std::nullopt;
  return Found->second.m_info;
}

const Heartbeat *Roster::lastHeartbeat(const std::string &Host) const {
  const auto Found = m_hosts.find(Host);
  return Found == m_hosts.end() ? nullptr : &Found->second.m_heartbeat;
}

std::size_t Roster::hostCountInZone() const {
  return 1 + std::count_if(m_hosts.begin(), m_hosts.end(),
                           [this](const auto &Item) {
                             return Item.second.m_info.m_zone == m_self.m_zone;
                           });
}

std::vector<HostInfo> Roster::allHosts() const {
  std::vector<HostInfo> Out{m_self};
  for (const auto &[Name, Item] : m_hosts)
    Out.push_back(Item.m_info);
  return Out;
}

std::vector<HostInfo> Roster::liveHosts(TimePoint Now) const {
  std::vector<HostInfo> Out{m_self};
  for (const auto &[Name, Item] : m_hosts)
    if (isAlive(Item, Now))
      Out.push_back(Item.m_info);
  return Out;
}

unsigned Roster::largestCpuShare(TimePoint Now) const {
  unsigned Largest = m_self.m_cpuShare;
  for (const auto &[Name, Item] : m_hosts)
    if (Now - std::max(Item.m_heardAt, Item.m_addedAt) <
        m_policy.m_largestShareTimeout)
      Largest = std::max(Largest, Item.m_info.m_cpuShare);
  return Largest;
}

std::vector<const Roster::Peer *>
Roster::eligiblePeers(unsigned Largest) const {
  std::vector<const Peer *> Out;
  for (const auto &[Name, Item] : m_hosts)
    if (Item.m_info.m_cpuShare >= MinRelativeCpuShare * Largest ||
        Item.m_info.m_cpuShare == 0)
      Out.push_back(&Item);
  std::sort(Out.begin(), Out.end(), [](const Peer *A, const Peer *B) {
    return A->m_nameHash < B->m_nameHash;
  });
  return Out;
}

std::vector<HostInfo> Roster::takeDueHeartbeats(TimePoint Now) {
  if (m_startedAt == TimePoint{})
    m_startedAt = Now;
  const bool IsAnnouncing = Now - m_startedAt < AnnounceTime;
  for (auto Item = m_hosts.begin(); Item != m_hosts.end();) {
    const TimePoint Last =
        std::max(Item->second.m_heardAt, Item->second.m_listedAt);
    Item = Now - Last > m_policy.m_forgetAfter ? m_hosts.erase(Item)
                                               : std::next(Item);
  }
  std::vector<HostInfo> Out;
  unsigned LiveCount = 0;
  unsigned LiveCountInZone = 0;
  std::set<std::string> DueNames;
  for (const Peer *Item : eligiblePeers(largestCpuShare(Now))) {
    const bool IsPeerAlive = isAlive(*Item, Now);
    const bool IsInZone = Item->m_info.m_zone == m_self.m_zone;
    const bool IsCandidate = LiveCount < m_policy.m_candidateCount;
    const bool IsRelay = IsInZone && LiveCountInZone < m_policy.m_relaysPerZone;
    LiveCount += IsPeerAlive ? 1 : 0;
    LiveCountInZone += IsPeerAlive && IsInZone ? 1 : 0;
    if (!IsCandidate && !IsRelay && !IsAnnouncing)
      continue;
    const Millis Interval = IsPeerAlive || IsAnnouncing
                                ? m_policy.m_heartbeatInterval
                                : m_policy.m_retryInterval;
    if (Now - Item->m_heartbeatSentAt >= Interval)
      DueNames.insert(Item->m_info.m_name);
  }
  for (auto &[Name, Item] : m_hosts) {
    if (DueNames.count(Name) == 0)
      continue;
    Item.m_heartbeatSentAt = Now;
    Out.push_back(Item.m_info);
  }
  return Out;
}

std::vector<HostInfo> Roster::candidates(TimePoint Now) const {
  std::vector<HostInfo> Out = eligibleHosts(Now);
  if (Out.size() > m_policy.m_candidateCount)
    Out.resize(m_policy.m_candidateCount);
  return Out;
}

std::vector<HostInfo> Roster::eligibleHosts(TimePoint Now) const {
  const unsigned Largest = largestCpuShare(Now);
  std::vector<HostInfo> Out;
  for (const Peer *Item : eligiblePeers(Largest))
    if (isAlive(*Item, Now) && !Item->m_heartbeat.m_isStopping)
      Out.push_back(Item->m_info);
  if (!m_isStopping && m_self.m_cpuShare >= MinRelativeCpuShare * Largest) {
    const auto Position =
        std::find_if(Out.begin(), Out.end(), [this](const HostInfo &Other) {
          return hashKey(m_self.m_name) < hashKey(Other.m_name);
        });
    Out.insert(Position, m_self);
  }
  return Out;
}

std::vector<HostInfo> Roster::relays(TimePoint Now) const {
  std::vector<HostInfo> Out = eligibleHosts(Now);
  std::erase_if(Out, [this](const HostInfo &Item) {
    return Item.m_zone != m_self.m_zone;
  });
  if (Out.size() > m_policy.m_relaysPerZone)
    Out.resize(m_policy.m_relaysPerZone);
  return Out;
}

std::vector<HostInfo> Roster::initialPeers(const std::string &Zone,
                                           TimePoint Now) const {
  std::vector<HostInfo> Out = candidates(Now);
  unsigned InZone = 0;
  for (const Peer *Item : eligiblePeers(largestCpuShare(Now)))
    if (Item->m_info.m_zone == Zone && InZone < m_policy.m_relaysPerZone) {
      ++InZone;
      Out.push_back(Item->m_info);
    }
  return Out;
}

std::map<std::string, std::string>
Roster::coordinators(const std::vector<std::string> &Services,
                     TimePoint Now) const {
  std::map<std::string, std::string> Out;
  std::vector<HostInfo> Hosts = candidates(Now);
  // A process without a configuration has just started and knows neither
  // servers nor holders of keys.
  std::erase_if(Hosts, [this](const HostInfo &Item) {
    const Heartbeat *Beat = lastHeartbeat(Item.m_name);
    return Beat != nullptr && Beat->m_configVersion == 0;
  });
  if (Hosts.empty())
    return Out;
  std::set<std::string> Used;
  for (const std::string &Service : Services) {
    const HostInfo *Best = nullptr;
    for (const HostInfo &Item : Hosts) {
      if (Used.count(Item.m_name) > 0 && Used.size() < Hosts.size())
        continue;
      if (Best == nullptr ||
          hashKey(Service + Item.m_name) > hashKey(Service + Best->m_name))
        Best = &Item;
    }
    Used.insert(Best->m_name);
    Out[Service] = Best->m_name;
  }
  return Out;
}

bool isNextGranter(const Roster &Hosts, const KnownGranter &Granter,
                   Millis StoreLostTimeout, TimePoint Now) {
  const HostInfo &Self = Hosts.self();
  // The write of an abandoned takeover took effect late, and the store names
  // this process. The other hosts see a live granter and don't replace it.
  if (Granter.m_host == Self.m_name &&
      Granter.m_processStartMs == Self.m_processStartMs)
    return true;
  if (!Granter.m_host.empty() && Granter.m_host != Self.m_name &&
      Hosts.isAlive(Granter.m_host, Now)) {
    const Heartbeat *Beat = Hosts.lastHeartbeat(Granter.m_host);
    const bool CanGrant =
        Beat != nullptr && !Beat->m_isStopping && !Beat->m_isCutOff &&
        Millis(Beat->m_storeLostMs) < StoreLostTimeout &&
        Hosts.processStartMs(Granter.m_host) == Granter.m_processStartMs;
    if (CanGrant)
      return false;
  }
  for (const HostInfo &Item : Hosts.candidates(Now)) {
    if (Item.m_name == Self.m_name)
      return true;
    if (Item.m_name == Granter.m_host)
      continue;
    const Heartbeat *Beat = Hosts.lastHeartbeat(Item.m_name);
    if (Beat != nullptr && Beat->m_storeLostMs == 0 && !Beat->m_isCutOff)
      return false;
  }
  return false;
}

} // namespace tamarackdrum::gateway

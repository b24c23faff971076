#include "tamarackdrum/gateway/roster.h"

#include <algorithm>
#include <set>

namespace tamarackdrum::gateway {
namespace {

/// A host announces itself for this long to all hosts that it knows and that
/// may have duties, so that each learns its address.
constexpr Millis AnnounceTime{1500};
/// Hosts of at least this part of the largest processor share may coordinate.
constexpr double LeastWeightShare = 0.9;

} // namespace

Roster::Roster(RosterPolicy Policy, HostInfo Self)
    : m_policy(Policy), m_self(std::move(Self)) {}

Roster::Peer &Roster::peer(const std::string &Name, TimePoint Now) {
  Peer &Out = m_hosts[Name];
  if (Out.m_addedAt == TimePoint{}) {
    Out.m_order = hashKey(Name);
    Out.m_addedAt = Now;
    Out.m_listedAt = Now;
  }
  return Out;
}

std::vector<HostInfo> Roster::addListed(const std::vector<HostInfo> &Hosts,
                                        TimePoint Now) {
  std::vector<HostInfo> News;
  for (const HostInfo &Info : Hosts) {
    if (Info.m_name == m_self.m_name || Info.m_ip == m_self.m_ip)
      continue;
    Peer &Item = peer(Info.m_name, Now);
    Item.m_listedAt = Now;
    if (Info.m_life > Item.m_info.m_life)
      News.push_back(Info);
    if (Info.m_life >= Item.m_info.m_life)
      Item.m_info = Info;
  }
  return News;
}

void Roster::noteBeat(const HostBeat &Beat, TimePoint Now) {
  if (Beat.m_host.m_name == m_self.m_name)
    return;
  Peer &Item = peer(Beat.m_host.m_name, Now);
  // The life of a process comes from a clock that may jump: an earlier one
  // counts once the later one is silent.
  if (Beat.m_host.m_life < Item.m_info.m_life && isAlive(Item, Now))
    return;
  Item.m_info = Beat.m_host;
  Item.m_beat = Beat;
  Item.m_heardAt = Now;
  Item.m_isLost = false;
}

void Roster::noteAlive(const std::string &Host, TimePoint Now) {
  const auto Found = m_hosts.find(Host);
  if (Found != m_hosts.end() && !Found->second.m_isLost)
    Found->second.m_heardAt = Now;
}

void Roster::noteLost(const std::string &Host) {
  const auto Found = m_hosts.find(Host);
  if (Found != m_hosts.end())
    Found->second.m_isLost = true;
}

bool Roster::isAlive(const Peer &Item, TimePoint Now) const {
  return !Item.m_isLost && Item.m_heardAt != TimePoint{} &&
         Now - Item.m_heardAt < m_policy.m_deadAfter;
}

bool Roster::isAlive(const std::string &Host, TimePoint Now) const {
  if (Host == m_self.m_name)
    return true;
  const auto Found = m_hosts.find(Host);
  return Found != m_hosts.end() && isAlive(Found->second, Now);
}

std::int64_t Roster::lifeOf(const std::string &Host) const {
  if (Host == m_self.m_name)
    return m_self.m_life;
  const auto Found = m_hosts.find(Host);
  return Found == m_hosts.end() ? 0 : Found->second.m_info.m_life;
}

std::optional<HostInfo> Roster::find(const std::string &Host) const {
  if (Host == m_self.m_name)
    return m_self;
  const auto Found = m_hosts.find(Host);
  if (Found == m_hosts.end())
    return std::nullopt;
  return Found->second.m_info;
}

const HostBeat *Roster::lastBeat(const std::string &Host) const {
  const auto Found = m_hosts.find(Host);
  return Found == m_hosts.end() ? nullptr : &Found->second.m_beat;
}

std::size_t Roster::countInZone() const {
  return 1 + std::count_if(m_hosts.begin(), m_hosts.end(),
                           [this](const auto &Item) {
                             return Item.second.m_info.m_zone == m_self.m_zone;
                           });
}

std::vector<HostInfo> Roster::all() const {
  std::vector<HostInfo> Out{m_self};
  for (const auto &[Name, Item] : m_hosts)
    Out.push_back(Item.m_info);
  return Out;
}

std::vector<HostInfo> Roster::live(TimePoint Now) const {
  std::vector<HostInfo> Out{m_self};
  for (const auto &[Name, Item] : m_hosts)
    if (isAlive(Item, Now))
      Out.push_back(Item.m_info);
  return Out;
}

unsigned Roster::largestWeight(TimePoint Now) const {
  unsigned Largest = m_self.m_weight;
  for (const auto &[Name, Item] : m_hosts)
    if (Now - std::max(Item.m_heardAt, Item.m_addedAt) < m_policy.m_heirAfter)
      Largest = std::max(Largest, Item.m_info.m_weight);
  return Largest;
}

std::vector<const Roster::Peer *> Roster::ordered(unsigned Largest) const {
  std::vector<const Peer *> Out;
  for (const auto &[Name, Item] : m_hosts)
    if (Item.m_info.m_weight >= LeastWeightShare * Largest ||
        Item.m_info.m_weight == 0)
      Out.push_back(&Item);
  std::sort(Out.begin(), Out.end(), [](const Peer *A, const Peer *B) {
    return A->m_order < B->m_order;
  });
  return Out;
}

std::vector<HostInfo> Roster::beatsDue(TimePoint Now) {
  if (m_startedAt == TimePoint{})
    m_startedAt = Now;
  const bool IsNew = Now - m_startedAt < AnnounceTime;
  for (auto Item = m_hosts.begin(); Item != m_hosts.end();) {
    const TimePoint Last =
        std::max(Item->second.m_heardAt, Item->second.m_listedAt);
    Item = Now - Last > m_policy.m_forgetAfter ? m_hosts.erase(Item)
                                               : std::next(Item);
  }
  std::vector<HostInfo> Out;
  unsigned Live = 0;
  unsigned LiveInZone = 0;
  std::set<std::string> Wanted;
  for (const Peer *Item : ordered(largestWeight(Now))) {
    const bool IsLive = isAlive(*Item, Now);
    const bool IsInZone = Item->m_info.m_zone == m_self.m_zone;
    const bool IsAnchor = Live < m_policy.m_anchors;
    const bool IsRelay = IsInZone && LiveInZone < m_policy.m_relays;
    Live += IsLive ? 1 : 0;
    LiveInZone += IsLive && IsInZone ? 1 : 0;
    if (!IsAnchor && !IsRelay && !IsNew)
      continue;
    const Millis Every =
        IsLive || IsNew ? m_policy.m_beatEvery : m_policy.m_retryEvery;
    if (Now - Item->m_sentAt >= Every)
      Wanted.insert(Item->m_info.m_name);
  }
  for (auto &[Name, Item] : m_hosts) {
    if (Wanted.count(Name) == 0)
      continue;
    Item.m_sentAt = Now;
    Out.push_back(Item.m_info);
  }
  return Out;
}

std::vector<HostInfo> Roster::anchors(TimePoint Now) const {
  std::vector<HostInfo> Out = dutiful(Now);
  if (Out.size() > m_policy.m_anchors)
    Out.resize(m_policy.m_anchors);
  return Out;
}

std::vector<HostInfo> Roster::dutiful(TimePoint Now) const {
  const unsigned Largest = largestWeight(Now);
  std::vector<HostInfo> Out;
  for (const Peer *Item : ordered(Largest))
    if (isAlive(*Item, Now) && !Item->m_beat.m_isStopping)
      Out.push_back(Item->m_info);
  if (!m_isStopping && m_self.m_weight >= LeastWeightShare * Largest) {
    const auto Place =
        std::find_if(Out.begin(), Out.end(), [this](const HostInfo &Other) {
          return hashKey(m_self.m_name) < hashKey(Other.m_name);
        });
    Out.insert(Place, m_self);
  }
  return Out;
}

std::vector<HostInfo> Roster::relays(TimePoint Now) const {
  std::vector<HostInfo> Out = dutiful(Now);
  std::erase_if(Out, [this](const HostInfo &Item) {
    return Item.m_zone != m_self.m_zone;
  });
  if (Out.size() > m_policy.m_relays)
    Out.resize(m_policy.m_relays);
  return Out;
}

std::vector<HostInfo> Roster::introductions(const std::string &Zone,
                                            TimePoint Now) const {
  std::vector<HostInfo> Out = anchors(Now);
  unsigned InZone = 0;
  for (const Peer *Item : ordered(largestWeight(Now)))
    if (Item->m_info.m_zone == Zone && InZone < m_policy.m_relays) {
      ++InZone;
      Out.push_back(Item->m_info);
    }
  return Out;
}

std::map<std::string, std::string>
Roster::coordinators(const std::vector<std::string> &Services,
                     TimePoint Now) const {
  std::map<std::string, std::string> Out;
  std::vector<HostInfo> Hosts = anchors(Now);
  // A process that has just started knows no servers and no keys yet.
  std::erase_if(Hosts, [this](const HostInfo &Item) {
    const HostBeat *Beat = lastBeat(Item.m_name);
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

bool isNextGranter(const Roster &Hosts, const GranterClaim &Claim,
                   Millis StaleStore, TimePoint Now) {
  const HostInfo &Self = Hosts.self();
  // A takeover that was written late: no other host will replace this one.
  if (Claim.m_host == Self.m_name && Claim.m_life == Self.m_life)
    return true;
  if (!Claim.m_host.empty() && Claim.m_host != Self.m_name &&
      Hosts.isAlive(Claim.m_host, Now)) {
    const HostBeat *Beat = Hosts.lastBeat(Claim.m_host);
    const bool IsFit = Beat != nullptr && !Beat->m_isStopping &&
                       Millis(Beat->m_storeLostMs) < StaleStore &&
                       Hosts.lifeOf(Claim.m_host) == Claim.m_life;
    if (IsFit)
      return false;
  }
  for (const HostInfo &Item : Hosts.anchors(Now)) {
    if (Item.m_name == Self.m_name)
      return true;
    if (Item.m_name == Claim.m_host)
      continue;
    const HostBeat *Beat = Hosts.lastBeat(Item.m_name);
    if (Beat != nullptr && Beat->m_storeLostMs == 0)
      return false;
  }
  return false;
}

} // namespace tamarackdrum::gateway

#include "tamarackdrum/gateway/server-directory.h"

namespace tamarackdrum::gateway {
namespace {

/// Returns whether \p Next is of an earlier instance or an earlier report than
/// \p Old.
bool isOlder(const ServerEntry &Next, const ServerEntry &Old) {
  if (Next.m_startMs != Old.m_startMs)
    return Next.m_startMs < Old.m_startMs;
  return Next.m_reportNumber < Old.m_reportNumber;
}

} // namespace

void ServerDirectory::beginListing(TimePoint AskedAt, TimePoint Now,
                                   std::uint64_t Era) {
  const bool IsOutageOver =
      m_hasReadFailed || AskedAt - m_lastListing > m_policy.m_minOutage;
  if (m_isLoaded && IsOutageOver) {
    m_graceUntil = Now + m_policy.m_returnGrace;
    m_outageStart = m_lastListing;
  }
  if (m_isLoaded && Era != m_era) {
    m_graceUntil = Now + m_policy.m_returnGrace;
    // All hosts read the restored copy: their reads do not show that a server
    // which the copy lacks has left.
    m_outageStart = TimePoint{};
  }
  m_hasReadFailed = false;
  m_isLoaded = true;
  m_lastListing = AskedAt;
  m_era = Era;
}

bool ServerDirectory::isUsable(const ServerEntry &Entry, TimePoint Now) {
  const auto Found = m_removedServers.find(Entry.m_id);
  if (Found == m_removedServers.end() ||
      Entry.m_startMs > Found->second.m_startMs)
    return true;
  RemovedServer &Removed = Found->second;
  if (Removed.m_era == m_era)
    return true;
  if (Removed.m_relistedSince == TimePoint{})
    Removed.m_relistedSince = Now;
  return Now - Removed.m_relistedSince >= m_policy.m_relistedDelay;
}

void ServerDirectory::add(const ServerEntry &Entry, DirectoryChange &Out) {
  const auto Removed = m_removedServers.find(Entry.m_id);
  ServerEntry &Added = m_entries.emplace(Entry.m_id, Entry).first->second;
  markIfEvacuated(Added);
  Out.m_added.push_back(Entry.m_id);
  if (Removed == m_removedServers.end())
    return;
  if (Removed->second.m_isLeaving &&
      Removed->second.m_startMs == Entry.m_startMs)
    Added.m_isDraining = true;
  m_removedServers.erase(Removed);
}

void ServerDirectory::update(ServerEntry &Known, const ServerEntry &Next,
                             DirectoryChange &Out) const {
  if (isOlder(Next, Known))
    return;
  const bool IsRestarted = Next.m_startMs > Known.m_startMs;
  // An instance that drains never takes requests again.
  const bool IsDraining =
      Next.m_isDraining || (!IsRestarted && Known.m_isDraining);
  if (IsRestarted)
    Out.m_restarted.push_back(Next.m_id);
  if (IsDraining && !Known.m_isDraining)
    Out.m_draining.push_back(Next.m_id);
  Known = Next;
  Known.m_isDraining = IsDraining;
  markIfEvacuated(Known);
}

DirectoryChange
ServerDirectory::applyListing(const std::vector<ServerRow> &Rows,
                              TimePoint AskedAt, TimePoint Now,
                              std::uint64_t Era) {
  DirectoryChange Out;
  if (m_isLoaded && (Era < m_era || (Era == m_era && AskedAt < m_lastListing)))
    return Out;
  beginListing(AskedAt, Now, Era);
  std::set<std::string> Present;
  for (const ServerRow &Row : Rows) {
    Present.insert(Row.m_id);
    if (!Row.m_isReadable)
      continue;
    const auto Found = m_entries.find(Row.m_id);
    if (Found != m_entries.end())
      update(Found->second, Row.m_entry, Out);
    else if (isUsable(Row.m_entry, Now))
      add(Row.m_entry, Out);
  }
  m_missing.clear();
  for (const auto &[Id, Entry] : m_entries)
    if (Present.count(Id) == 0)
      m_missing.insert(Id);
  const DirectoryChange Expired = removeExpired(Now);
  Out.m_removed = Expired.m_removed;
  dropOldRemovals(Present, Now);
  return Out;
}

void ServerDirectory::dropOldRemovals(const std::set<std::string> &Present,
                                      TimePoint Now) {
  for (auto Item = m_removedServers.begin(); Item != m_removedServers.end();) {
    if (Present.count(Item->first) == 0)
      Item->second.m_relistedSince = {};
    Item = Now - Item->second.m_removedAt > m_policy.m_removedRetention
               ? m_removedServers.erase(Item)
               : std::next(Item);
  }
}

bool ServerDirectory::setEvacuatedZones(const std::set<std::string> &Zones) {
  if (Zones == m_evacuatedZones)
    return false;
  m_evacuatedZones = Zones;
  for (auto &[Id, Entry] : m_entries)
    markIfEvacuated(Entry);
  return true;
}

bool ServerDirectory::markLeaving(const std::string &Id, std::int64_t StartMs,
                                  TimePoint Now) {
  const auto Found = m_entries.find(Id);
  if (Found != m_entries.end()) {
    if (Found->second.m_startMs != StartMs || Found->second.m_isDraining)
      return false;
    Found->second.m_isDraining = true;
    return true;
  }
  RemovedServer &Removed = m_removedServers[Id];
  if (Removed.m_startMs > StartMs ||
      (Removed.m_startMs == StartMs && Removed.m_isLeaving))
    return false;
  Removed = {StartMs, m_era, true, Now, {}};
  return true;
}

DirectoryChange ServerDirectory::removeExpired(TimePoint Now) {
  DirectoryChange Out;
  for (auto Id = m_missing.begin(); Id != m_missing.end();) {
    const auto Item = m_entries.find(*Id);
    if (Now < m_graceUntil && !Item->second.m_isDraining) {
      ++Id;
      continue;
    }
    Out.m_removed.push_back(*Id);
    const ServerEntry &Entry = Item->second;
    m_removedServers[*Id] = {
        Entry.m_startMs, m_era, Entry.m_isDraining, Now, {}};
    m_entries.erase(Item);
    Id = m_missing.erase(Id);
  }
  return Out;
}

DirectoryChange ServerDirectory::endLocalOutageGrace(Millis Span,
                                                     TimePoint Now) {
  if (Now < m_graceUntil && Now - Span < m_outageStart)
    m_graceUntil = Now;
  return removeExpired(Now);
}

DirectoryChange
ServerDirectory::addFromPeer(const std::vector<ServerEntry> &Entries) {
  DirectoryChange Out;
  if (m_isLoaded)
    return Out;
  for (const ServerEntry &Entry : Entries)
    if (m_entries.count(Entry.m_id) == 0)
      add(Entry, Out);
  return Out;
}

} // namespace tamarackdrum::gateway

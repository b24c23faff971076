#include "tamarackdrum/gateway/server-directory.h"

namespace tamarackdrum::gateway {
namespace {

/// Returns whether \p Next was written before \p Old.
bool isOlder(const ServerEntry &Next, const ServerEntry &Old) {
  if (Next.m_bornMs != Old.m_bornMs)
    return Next.m_bornMs < Old.m_bornMs;
  return Next.m_report < Old.m_report;
}

} // namespace

void ServerDirectory::beginGrace(TimePoint AskedAt, TimePoint Now,
                                 std::uint64_t Era) {
  const bool IsOutageOver =
      m_hasFailed || AskedAt - m_lastListing > m_policy.m_outageGap;
  if (m_isLoaded && IsOutageOver) {
    m_graceUntil = Now + m_policy.m_returnGrace;
    m_lostSince = m_lastListing;
  }
  if (m_isLoaded && Era != m_era) {
    m_graceUntil = Now + m_policy.m_returnGrace;
    // No host has been served what the copy lacks.
    m_lostSince = TimePoint{};
  }
  m_hasFailed = false;
  m_isLoaded = true;
  m_lastListing = AskedAt;
  m_era = Era;
}

bool ServerDirectory::isCredible(const ServerEntry &Entry, TimePoint Now) {
  const auto Found = m_past.find(Entry.m_id);
  if (Found == m_past.end() || Entry.m_bornMs > Found->second.m_bornMs)
    return true;
  Past &Old = Found->second;
  if (Old.m_era == m_era)
    return true;
  if (Old.m_listedSince == TimePoint{})
    Old.m_listedSince = Now;
  return Now - Old.m_listedSince >= m_policy.m_copyDoubt;
}

void ServerDirectory::add(const ServerEntry &Entry, DirectoryChange &Out) {
  const auto Old = m_past.find(Entry.m_id);
  ServerEntry &Added = m_entries.emplace(Entry.m_id, Entry).first->second;
  Out.m_added.push_back(Entry.m_id);
  if (Old == m_past.end())
    return;
  if (Old->second.m_isLeaving && Old->second.m_bornMs == Entry.m_bornMs)
    Added.m_isDraining = true;
  m_past.erase(Old);
}

void ServerDirectory::update(ServerEntry &Known, const ServerEntry &Next,
                             DirectoryChange &Out) const {
  if (isOlder(Next, Known))
    return;
  const bool IsReborn = Next.m_bornMs > Known.m_bornMs;
  // A server that has begun to leave ends: it never takes requests again.
  const bool IsDraining =
      Next.m_isDraining || (!IsReborn && Known.m_isDraining);
  if (IsReborn)
    Out.m_reborn.push_back(Next.m_id);
  if (IsDraining && !Known.m_isDraining)
    Out.m_draining.push_back(Next.m_id);
  Known = Next;
  Known.m_isDraining = IsDraining;
}

DirectoryChange
ServerDirectory::applyListing(const std::vector<ServerRow> &Rows,
                              TimePoint AskedAt, TimePoint Now,
                              std::uint64_t Era) {
  DirectoryChange Out;
  if (m_isLoaded && (Era < m_era || (Era == m_era && AskedAt < m_lastListing)))
    return Out;
  beginGrace(AskedAt, Now, Era);
  std::set<std::string> Present;
  for (const ServerRow &Row : Rows) {
    Present.insert(Row.m_id);
    if (!Row.m_isReadable)
      continue;
    const auto Found = m_entries.find(Row.m_id);
    if (Found != m_entries.end())
      update(Found->second, Row.m_entry, Out);
    else if (isCredible(Row.m_entry, Now))
      add(Row.m_entry, Out);
  }
  m_missing.clear();
  for (const auto &[Id, Entry] : m_entries)
    if (Present.count(Id) == 0)
      m_missing.insert(Id);
  const DirectoryChange Expired = expire(Now);
  Out.m_removed = Expired.m_removed;
  forgetPast(Present, Now);
  return Out;
}

void ServerDirectory::forgetPast(const std::set<std::string> &Present,
                                 TimePoint Now) {
  for (auto Item = m_past.begin(); Item != m_past.end();) {
    if (Present.count(Item->first) == 0)
      Item->second.m_listedSince = {};
    Item = Now - Item->second.m_at > m_policy.m_memory ? m_past.erase(Item)
                                                       : std::next(Item);
  }
}

bool ServerDirectory::noteLeaving(const std::string &Id, std::int64_t BornMs,
                                  TimePoint Now) {
  const auto Found = m_entries.find(Id);
  if (Found != m_entries.end()) {
    if (Found->second.m_bornMs != BornMs || Found->second.m_isDraining)
      return false;
    Found->second.m_isDraining = true;
    return true;
  }
  Past &Old = m_past[Id];
  if (Old.m_bornMs > BornMs || (Old.m_bornMs == BornMs && Old.m_isLeaving))
    return false;
  Old = {BornMs, m_era, true, Now, {}};
  return true;
}

DirectoryChange ServerDirectory::expire(TimePoint Now) {
  DirectoryChange Out;
  for (auto Id = m_missing.begin(); Id != m_missing.end();) {
    const auto Item = m_entries.find(*Id);
    if (Now < m_graceUntil && !Item->second.m_isDraining) {
      ++Id;
      continue;
    }
    Out.m_removed.push_back(*Id);
    const ServerEntry &Entry = Item->second;
    m_past[*Id] = {Entry.m_bornMs, m_era, Entry.m_isDraining, Now, {}};
    m_entries.erase(Item);
    Id = m_missing.erase(Id);
  }
  return Out;
}

DirectoryChange ServerDirectory::noteServedToOthers(Millis Span,
                                                    TimePoint Now) {
  if (Now < m_graceUntil && Now - Span < m_lostSince)
    m_graceUntil = Now;
  return expire(Now);
}

DirectoryChange
ServerDirectory::adopt(const std::vector<ServerEntry> &Entries) {
  DirectoryChange Out;
  if (m_isLoaded)
    return Out;
  for (const ServerEntry &Entry : Entries)
    if (m_entries.count(Entry.m_id) == 0)
      add(Entry, Out);
  return Out;
}

} // namespace tamarackdrum::gateway

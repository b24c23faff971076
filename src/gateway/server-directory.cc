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

DirectoryChange
ServerDirectory::applyListing(const std::vector<ServerRow> &Rows,
                              TimePoint AskedAt, TimePoint Now) {
  DirectoryChange Out;
  if (m_isLoaded && AskedAt < m_lastListing)
    return Out;
  const bool IsOutageOver =
      m_hasFailed || AskedAt - m_lastListing > m_policy.m_outageGap;
  if (m_isLoaded && IsOutageOver) {
    m_graceUntil = Now + m_policy.m_returnGrace;
    m_lostSince = m_lastListing;
  }
  m_hasFailed = false;
  m_isLoaded = true;
  m_lastListing = AskedAt;

  std::set<std::string> Present;
  for (const ServerRow &Row : Rows) {
    Present.insert(Row.m_id);
    if (!Row.m_isReadable)
      continue;
    const auto Found = m_entries.find(Row.m_id);
    if (Found == m_entries.end()) {
      m_entries.emplace(Row.m_id, Row.m_entry);
      Out.m_added.push_back(Row.m_id);
      continue;
    }
    if (isOlder(Row.m_entry, Found->second))
      continue;
    if (Row.m_entry.m_bornMs > Found->second.m_bornMs)
      Out.m_reborn.push_back(Row.m_id);
    if (Row.m_entry.m_isDraining && !Found->second.m_isDraining)
      Out.m_draining.push_back(Row.m_id);
    Found->second = Row.m_entry;
  }
  m_missing.clear();
  for (const auto &[Id, Entry] : m_entries)
    if (Present.count(Id) == 0)
      m_missing.insert(Id);
  const DirectoryChange Expired = expire(Now);
  Out.m_removed = Expired.m_removed;
  return Out;
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
    if (m_entries.emplace(Entry.m_id, Entry).second)
      Out.m_added.push_back(Entry.m_id);
  return Out;
}

} // namespace tamarackdrum::gateway

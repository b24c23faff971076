#include "tamarackdrum/gateway/listing-feed.h"

namespace tamarackdrum::gateway {
namespace {

/// Returns whether followers need not be sent \p Next: the rows differ at most
/// in the number of the report and in the warm-up time left, if that is not
/// over.
bool isEquivalent(const ServerRow &Old, const ServerRow &Next) {
  ServerRow Comparable = Next;
  Comparable.m_entry.m_reportNumber = Old.m_entry.m_reportNumber;
  if ((Old.m_entry.m_warmUpLeft.count() > 0) ==
      (Next.m_entry.m_warmUpLeft.count() > 0))
    Comparable.m_entry.m_warmUpLeft = Old.m_entry.m_warmUpLeft;
  return Comparable == Old;
}

std::vector<ServerRow> valuesOf(const std::map<std::string, ServerRow> &Rows) {
  std::vector<ServerRow> Out;
  Out.reserve(Rows.size());
  for (const auto &[Id, Row] : Rows)
    Out.push_back(Row);
  return Out;
}

} // namespace

bool isListingDue(const ListingTimes &Last, bool IsReader, Millis ReadEvery,
                  Millis LongestSilence, TimePoint Now) {
  return IsReader ? Now - Last.m_requestedAt >= ReadEvery
                  : Now - Last.m_receivedAt >= LongestSilence;
}

ListingMessage ListingSource::update(const std::vector<ServerRow> &Rows) {
  ListingMessage Out;
  std::map<std::string, ServerRow> Next;
  for (const ServerRow &Row : Rows) {
    Next[Row.m_id] = Row;
    const auto Old = m_rows.find(Row.m_id);
    Millis &WarmUpLeft = m_warmUpLeft[Row.m_id];
    const bool IsColdAgain = Row.m_entry.m_warmUpLeft > WarmUpLeft;
    WarmUpLeft = Row.m_entry.m_warmUpLeft;
    if (Old == m_rows.end() || IsColdAgain || !isEquivalent(Old->second, Row))
      Out.m_rows.push_back(Row);
    else
      Next[Row.m_id] = Old->second;
  }
  for (const auto &[Id, Row] : m_rows)
    if (Next.count(Id) == 0) {
      Out.m_removed.push_back(Id);
      m_warmUpLeft.erase(Id);
    }
  Out.m_hasChanges =
      !Out.m_rows.empty() || !Out.m_removed.empty() || !m_hasListing;
  Out.m_baseVersion = m_hasListing ? m_version : 0;
  if (Out.m_hasChanges)
    ++m_version;
  Out.m_version = m_version;
  m_rows = std::move(Next);
  m_hasListing = true;
  return Out;
}

ListingMessage ListingSource::snapshot() const {
  ListingMessage Out;
  Out.m_version = m_version;
  Out.m_hasChanges = m_hasListing;
  Out.m_rows = valuesOf(m_rows);
  return Out;
}

bool ListingFollower::apply(const ListingMessage &Message) {
  if (!Message.m_hasChanges && Message.m_version != m_version)
    return false;
  if (Message.m_hasChanges && Message.m_baseVersion != 0 &&
      Message.m_baseVersion != m_version)
    return false;
  if (Message.m_hasChanges && Message.m_baseVersion == 0)
    m_rows.clear();
  for (const ServerRow &Row : Message.m_rows)
    m_rows[Row.m_id] = Row;
  for (const std::string &Id : Message.m_removed)
    m_rows.erase(Id);
  m_version = Message.m_version;
  return true;
}

std::vector<ServerRow> ListingFollower::rows() const {
  return valuesOf(m_rows);
}

} // namespace tamarackdrum::gateway

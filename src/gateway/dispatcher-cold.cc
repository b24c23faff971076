// The part of Dispatcher that limits the requests of cold servers.

#include "dispatcher-detail.h"

#include <algorithm>

namespace tamarackdrum::gateway {
namespace {

/// Attempts in a row that must fail before a dispatcher that decides for all
/// hosts takes a server for unreachable: one host may have lost contact by
/// itself.
constexpr unsigned SharedContactErrors = 2;

} // namespace

bool Dispatcher::isCold(const Server &Item, TimePoint Now) const {
  return m_coldPolicy.m_perSecond > 0 && Item.m_cold.isCold(Now);
}

bool Dispatcher::hasPermit(const Server &Item, TimePoint Now) const {
  return Item.m_rateLimit.hasPermit(Now) &&
         (!isCold(Item, Now) || Item.m_coldLimit.hasPermit(Now));
}

void Dispatcher::takePermit(Server &Item, TimePoint Now) {
  Item.m_rateLimit.takePermit(Now);
  if (isCold(Item, Now))
    Item.m_coldLimit.takePermit(Now);
}

double Dispatcher::msUntilPermit(const Server &Item, TimePoint Now) const {
  const double Named = Item.m_rateLimit.msUntilPermit(Now);
  return isCold(Item, Now)
             ? std::max(Named, Item.m_coldLimit.msUntilPermit(Now))
             : Named;
}

double Dispatcher::limitRate(const Server &Item, TimePoint Now) const {
  const double Named = Item.m_rateLimit.ratePerMs();
  return isCold(Item, Now) ? std::min(Named, Item.m_coldLimit.ratePerMs())
                           : Named;
}

void Dispatcher::setColdLimit(Server &Item, TimePoint Now) const {
  if (m_coldPolicy.m_perSecond <= 0)
    return;
  const bool IsWhole = m_policy.m_rateShare >= 1;
  const double Part = IsWhole ? m_heardShare : FallbackColdShare;
  Item.m_coldLimit.setPermitPolicy(coldPermits(m_policy.m_coldBound));
  Item.m_coldLimit.setShare(rateShareFor(Item.m_entry.m_id), Now);
  Item.m_coldLimit.prescribe(m_coldPolicy.m_perSecond *
                                 coldRateFactor(m_policy.m_coldBound) * Part,
                             Now);
}

void Dispatcher::setColdPolicy(const ColdPolicy &Policy, double HeardShare,
                               TimePoint Now) {
  if (Policy == m_coldPolicy && HeardShare == m_heardShare)
    return;
  m_coldPolicy = Policy;
  m_heardShare = HeardShare;
  for (auto &[Id, Item] : m_servers)
    setColdLimit(Item, Now);
}

void Dispatcher::updateCold(const ServerEntry &Entry, Server &Item,
                            bool HasChanged, TimePoint Now) const {
  if (HasChanged)
    Item.m_cold.noteEvent(m_coldPolicy.m_coldTime, true, Now);
  Item.m_cold.noteReport(Entry.m_reportNumber, Entry.m_warmUpLeft, Now);
  if (Item.m_entry.m_id.empty()) {
    Item.m_entry = Entry;
    setColdLimit(Item, Now);
  }
}

void Dispatcher::updateContact(Server &Item, DispatchResult Outcome,
                               TimePoint Now) const {
  const bool IsContactError = Outcome == DispatchResult::Unreachable ||
                              Outcome == DispatchResult::ConnectionLost;
  const bool IsShared = m_policy.m_rateShare >= 1;
  const unsigned Needed = IsShared ? SharedContactErrors : 1;
  Item.m_contactErrors += IsContactError ? 1 : 0;
  // A timeout does not show whether the server runs.
  if (Item.m_contactErrors >= Needed && Outcome != DispatchResult::TimedOut)
    Item.m_cold.noteEvent(m_coldPolicy.m_coldTime, IsShared, Now);
  if (!IsContactError && Outcome != DispatchResult::TimedOut)
    Item.m_contactErrors = 0;
}

bool Dispatcher::noteColdTime(const std::string &Server, Millis Left,
                              TimePoint SentAt, TimePoint Now) {
  const auto Found = m_servers.find(Server);
  return Found != m_servers.end() &&
         Found->second.m_cold.noteAnswer(Left, SentAt, Now);
}

void Dispatcher::noteColdTime(const DispatchId &Id, Millis Left,
                              TimePoint Now) {
  const auto Found = m_running.find(Id);
  if (Found != m_running.end())
    noteColdTime(Found->second.m_server, Left,
                 Found->second.m_isAdopted ? TimePoint{}
                                           : Found->second.m_startedAt,
                 Now);
}

void Dispatcher::adoptCold(const std::string &Server, Millis Left,
                           TimePoint Now) {
  const auto Found = m_servers.find(Server);
  if (Found != m_servers.end())
    Found->second.m_cold.adopt(Left, Now);
}

std::vector<KnownCold> Dispatcher::coldServers(TimePoint Now) const {
  std::vector<KnownCold> Out;
  if (m_coldPolicy.m_perSecond <= 0)
    return Out;
  for (const auto &[Id, Item] : m_servers)
    if (const Millis Left = Item.m_cold.sharedTimeLeft(Now); Left > Millis(0))
      Out.push_back({Id, Left});
  return Out;
}

std::vector<ColdChange> Dispatcher::takeColdChanges(TimePoint Now) {
  std::vector<ColdChange> Out;
  for (auto &[Id, Item] : m_servers) {
    if (isCold(Item, Now) == Item.m_isShownCold)
      continue;
    Item.m_isShownCold = !Item.m_isShownCold;
    Out.push_back({Id, Item.m_isShownCold, Item.m_cold.timeLeft(Now)});
  }
  return Out;
}

std::vector<ServerEntry> Dispatcher::takeColdProbes(TimePoint Now) {
  std::vector<ServerEntry> Out;
  const bool DecidesForAll = m_policy.m_rateShare >= 1;
  if (m_coldPolicy.m_perSecond <= 0 || !DecidesForAll)
    return Out;
  std::vector<std::string> Unknown;
  for (const auto &[Id, Item] : m_servers)
    if (mayGetRequests(Item.m_entry) && Item.m_cold.isUnknown(Now))
      Unknown.push_back(Id);
  for (const std::string &Id : m_coldProbes.take(std::move(Unknown), Now))
    Out.push_back(m_servers.at(Id).m_entry);
  return Out;
}

} // namespace tamarackdrum::gateway

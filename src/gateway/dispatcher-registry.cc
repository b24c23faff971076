#include "tamarackdrum/gateway/dispatcher-registry.h"

#include <algorithm>

namespace tamarackdrum::gateway {

void DispatcherRegistry::deliver(const std::string &Service,
                                 const DispatchDecisions &Decisions) {
  for (const DispatchDecision &Item : Decisions)
    m_onDecision(Service, Item);
}

Dispatcher &DispatcherRegistry::dispatcher(const std::string &Service,
                                           TimePoint Now) {
  const auto Found = m_dispatchers.find(Service);
  if (Found != m_dispatchers.end())
    return *Found->second;
  std::unique_ptr<Dispatcher> Created = std::make_unique<Dispatcher>(m_policy);
  DispatchDecisions Ignored;
  const auto Cold = m_coldPolicies.find(Service);
  if (Cold != m_coldPolicies.end())
    Created->setColdPolicy(Cold->second, m_heardShare, Now);
  const auto Servers = m_servers.find(Service);
  if (Servers != m_servers.end())
    Created->setServers(Servers->second, Now, Ignored);
  const auto Keys = m_keyMaps.find(Service);
  if (Keys != m_keyMaps.end())
    Created->setKeyMap(Keys->second, Now, Ignored);
  return *m_dispatchers.emplace(Service, std::move(Created)).first->second;
}

void DispatcherRegistry::setPolicy(const DispatchPolicy &Policy,
                                   TimePoint Now) {
  if (Policy == m_policy)
    return;
  m_policy = Policy;
  for (auto &[Service, Item] : m_dispatchers)
    Item->setPolicy(Policy, Now);
}

void DispatcherRegistry::setServers(
    const std::map<std::string, ServerEntry> &Servers, TimePoint Now) {
  m_servers.clear();
  for (const auto &[Id, Entry] : Servers)
    m_servers[Entry.m_service].push_back(Entry);
  for (auto &[Service, Item] : m_dispatchers) {
    DispatchDecisions Decisions;
    Item->setServers(m_servers[Service], Now, Decisions);
    deliver(Service, Decisions);
  }
}

void DispatcherRegistry::setKeyMap(const std::string &Service,
                                   const KeyMap &Map, TimePoint Now) {
  m_keyMaps[Service] = Map;
  const auto Found = m_dispatchers.find(Service);
  if (Found == m_dispatchers.end())
    return;
  DispatchDecisions Decisions;
  Found->second->setKeyMap(Map, Now, Decisions);
  deliver(Service, Decisions);
}

void DispatcherRegistry::retain(const std::vector<std::string> &Known) {
  m_retired.clear();
  for (const auto &[Service, Item] : m_dispatchers)
    if (std::find(Known.begin(), Known.end(), Service) == Known.end())
      m_retired.insert(Service);
  removeRetired();
}

void DispatcherRegistry::removeRetired() {
  std::erase_if(m_retired, [this](const std::string &Service) {
    const auto Found = m_dispatchers.find(Service);
    if (Found == m_dispatchers.end())
      return true;
    if (!Found->second->isIdle())
      return false;
    m_dispatchers.erase(Found);
    return true;
  });
}

bool DispatcherRegistry::submit(const std::string &Service,
                                const DispatchRequest &Request, TimePoint Now) {
  DispatchDecisions Decisions;
  dispatcher(Service, Now).submit(Request, Now, Decisions);
  const bool IsDecided = std::any_of(Decisions.begin(), Decisions.end(),
                                     [&Request](const DispatchDecision &Item) {
                                       return Item.m_id == Request.m_id;
                                     });
  deliver(Service, Decisions);
  return !IsDecided;
}

void DispatcherRegistry::withdraw(const std::string &Service,
                                  const DispatchId &Id) {
  const auto Found = m_dispatchers.find(Service);
  if (Found != m_dispatchers.end())
    Found->second->withdraw(Id);
}

void DispatcherRegistry::finish(const std::string &Service,
                                const DispatchId &Id, DispatchResult Outcome,
                                Millis ServiceTime, TimePoint Now,
                                const std::optional<ReportedLoad> &Load) {
  const auto Found = m_dispatchers.find(Service);
  if (Found == m_dispatchers.end())
    return;
  DispatchDecisions Decisions;
  Found->second->finish(Id, Outcome, ServiceTime, Now, Decisions, Load);
  deliver(Service, Decisions);
}

void DispatcherRegistry::clearRunning(const std::string &Service) {
  const auto Found = m_dispatchers.find(Service);
  if (Found != m_dispatchers.end())
    Found->second->clearRunning();
}

void DispatcherRegistry::recordOutcome(
    const std::string &Service, const std::string &Server,
    const std::string &Route, DispatchResult Outcome, Millis ServiceTime,
    TimePoint Now, const std::optional<ReportedLoad> &Load) {
  dispatcher(Service, Now)
      .recordOutcome(Server, Route, Outcome, ServiceTime, Now, Load);
}

std::optional<LimitChange> DispatcherRegistry::noteLimit(
    const std::string &Service, const std::string &Server,
    const NamedLimit &Named, TimePoint SentAt, TimePoint Now) {
  return dispatcher(Service, Now).noteLimit(Server, Named, SentAt, Now);
}

std::optional<LimitChange>
DispatcherRegistry::noteLimit(const std::string &Service, const DispatchId &Id,
                              const NamedLimit &Named, TimePoint Now) {
  const auto Found = m_dispatchers.find(Service);
  if (Found == m_dispatchers.end())
    return std::nullopt;
  return Found->second->noteLimit(Id, Named, Now);
}

void DispatcherRegistry::setRateShare(const std::string &Service, double Share,
                                      TimePoint Now) {
  const auto Found = m_dispatchers.find(Service);
  if (Found != m_dispatchers.end())
    Found->second->setRateShare(Share, Now);
}

void DispatcherRegistry::setColdPolicies(
    const std::map<std::string, ColdPolicy> &Policies, double HeardShare,
    TimePoint Now) {
  m_coldPolicies = Policies;
  m_heardShare = HeardShare;
  for (auto &[Service, Item] : m_dispatchers) {
    const auto Found = Policies.find(Service);
    Item->setColdPolicy(Found == Policies.end() ? ColdPolicy{} : Found->second,
                        HeardShare, Now);
  }
}

void DispatcherRegistry::addRunning(const std::string &Service,
                                    const DispatchId &Id,
                                    const std::string &Server,
                                    const std::string &Route, Millis TimeLeft,
                                    TimePoint Now) {
  dispatcher(Service, Now).addRunning(Id, Server, Route, TimeLeft, Now);
}

void DispatcherRegistry::dropLink(std::uint32_t Link, TimePoint Now) {
  for (auto &[Service, Item] : m_dispatchers)
    Item->dropLink(Link, Now);
}

void DispatcherRegistry::tick(TimePoint Now) {
  for (auto &[Service, Item] : m_dispatchers) {
    DispatchDecisions Decisions;
    Item->tick(Now, Decisions);
    deliver(Service, Decisions);
  }
  removeRetired();
}

} // namespace tamarackdrum::gateway

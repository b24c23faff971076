#include "tamarackdrum/gateway/dispatch-hub.h"

#include <algorithm>

namespace tamarackdrum::gateway {

void DispatchHub::deliver(const std::string &Service,
                          const DispatchDecisions &Made) {
  for (const DispatchDecision &Item : Made)
    m_deliver(Service, Item);
}

Dispatcher &DispatchHub::dispatcher(const std::string &Service, TimePoint Now) {
  const auto Found = m_dispatchers.find(Service);
  if (Found != m_dispatchers.end())
    return *Found->second;
  std::unique_ptr<Dispatcher> Made = std::make_unique<Dispatcher>(m_policy);
  DispatchDecisions None;
  const auto Servers = m_servers.find(Service);
  if (Servers != m_servers.end())
    Made->setServers(Servers->second, Now, None);
  const auto Keys = m_keyMaps.find(Service);
  if (Keys != m_keyMaps.end())
    Made->setKeyMap(Keys->second, Now, None);
  return *m_dispatchers.emplace(Service, std::move(Made)).first->second;
}

void DispatchHub::setServers(const std::map<std::string, ServerEntry> &Servers,
                             TimePoint Now) {
  m_servers.clear();
  for (const auto &[Id, Entry] : Servers)
    m_servers[Entry.m_service].push_back(Entry);
  for (auto &[Service, Item] : m_dispatchers) {
    DispatchDecisions Made;
    Item->setServers(m_servers[Service], Now, Made);
    deliver(Service, Made);
  }
}

void DispatchHub::setKeyMap(const std::string &Service, const KeyMap &Map,
                            TimePoint Now) {
  m_keyMaps[Service] = Map;
  const auto Found = m_dispatchers.find(Service);
  if (Found == m_dispatchers.end())
    return;
  DispatchDecisions Made;
  Found->second->setKeyMap(Map, Now, Made);
  deliver(Service, Made);
}

void DispatchHub::retain(const std::vector<std::string> &Known) {
  for (auto Item = m_dispatchers.begin(); Item != m_dispatchers.end();) {
    const bool IsKnown =
        std::find(Known.begin(), Known.end(), Item->first) != Known.end();
    Item = IsKnown ? std::next(Item) : m_dispatchers.erase(Item);
  }
}

bool DispatchHub::ask(const std::string &Service, const DispatchAsk &Ask,
                      TimePoint Now) {
  DispatchDecisions Made;
  dispatcher(Service, Now).ask(Ask, Now, Made);
  const bool IsDecided = std::any_of(Made.begin(), Made.end(),
                                     [&Ask](const DispatchDecision &Item) {
                                       return Item.m_ticket == Ask.m_ticket;
                                     });
  deliver(Service, Made);
  return !IsDecided;
}

void DispatchHub::withdraw(const std::string &Service, const Ticket &Id) {
  const auto Found = m_dispatchers.find(Service);
  if (Found != m_dispatchers.end())
    Found->second->withdraw(Id);
}

void DispatchHub::finish(const std::string &Service, const Ticket &Id,
                         DispatchResult Outcome, Millis ServiceTime,
                         TimePoint Now) {
  const auto Found = m_dispatchers.find(Service);
  if (Found == m_dispatchers.end())
    return;
  DispatchDecisions Made;
  Found->second->finish(Id, Outcome, ServiceTime, Now, Made);
  deliver(Service, Made);
}

void DispatchHub::forgetRunning(const std::string &Service) {
  const auto Found = m_dispatchers.find(Service);
  if (Found != m_dispatchers.end())
    Found->second->forgetRunning();
}

void DispatchHub::observe(const std::string &Service, const std::string &Server,
                          const std::string &Route, DispatchResult Outcome,
                          Millis ServiceTime, TimePoint Now) {
  dispatcher(Service, Now).observe(Server, Route, Outcome, ServiceTime, Now);
}

void DispatchHub::adopt(const std::string &Service, const Ticket &Id,
                        const std::string &Server, const std::string &Route,
                        Millis TimeLeft, TimePoint Now) {
  dispatcher(Service, Now).adopt(Id, Server, Route, TimeLeft, Now);
}

void DispatchHub::dropLink(std::uint32_t Link, TimePoint Now) {
  for (auto &[Service, Item] : m_dispatchers)
    Item->dropLink(Link, Now);
}

void DispatchHub::tick(TimePoint Now) {
  for (auto &[Service, Item] : m_dispatchers) {
    DispatchDecisions Made;
    Item->tick(Now, Made);
    deliver(Service, Made);
  }
}

} // namespace tamarackdrum::gateway

// The part of Admission that handles cold servers.

#include "tamarackdrum/gateway/admission.h"

namespace tamarackdrum::gateway {

bool Admission::isCoordinator(const std::string &Service) const {
  const auto Found = m_coordinators.find(Service);
  return Found != m_coordinators.end() &&
         Found->second == m_hosts.self().m_name;
}

bool Admission::noteColdTime(const std::string &Service,
                             const std::string &Server, Millis Left,
                             TimePoint SentAt) {
  const TimePoint Now = BootClock::now();
  const auto Fallback = m_fallbackDispatchers.all().find(Service);
  if (Fallback != m_fallbackDispatchers.all().end())
    Fallback->second->noteColdTime(Server, Left, SentAt, Now);
  const auto Found = m_dispatchers.all().find(Service);
  return Found != m_dispatchers.all().end() &&
         Found->second->noteColdTime(Server, Left, SentAt, Now);
}

void Admission::logColdChanges(TimePoint Now) {
  for (const auto &[Service, Item] : m_dispatchers.all())
    // The other hosts take the changes, too, for their gauges.
    for (const ColdChange &Change : Item->takeColdChanges(Now))
      if (isCoordinator(Service))
        m_log.write(Change.m_isCold ? "server-cold" : "server-warm",
                    {{"service", Service},
                     {"server", Change.m_server},
                     {"left_ms", Change.m_left}});
}

std::vector<ToldCold> Admission::coldServersFor(const std::string &Host) const {
  std::vector<ToldCold> Out;
  const TimePoint Now = BootClock::now();
  for (const auto &[Service, Item] : m_dispatchers.all()) {
    const auto Found = m_coordinators.find(Service);
    if (Found == m_coordinators.end() || Found->second != Host)
      continue;
    for (const KnownCold &Known : Item->coldServers(Now))
      Out.push_back({Service, Known.m_server, Known.m_left});
  }
  return Out;
}

std::vector<ServerEntry> Admission::takeColdProbes(const std::string &Service) {
  const auto Found = m_dispatchers.all().find(Service);
  if (!isCoordinator(Service) || Found == m_dispatchers.all().end())
    return {};
  return Found->second->takeColdProbes(BootClock::now());
}

void Admission::endColdProbe(const std::string &Service,
                             const std::string &Server) {
  const auto Found = m_dispatchers.all().find(Service);
  if (Found != m_dispatchers.all().end())
    Found->second->endColdProbe(Server);
}

} // namespace tamarackdrum::gateway

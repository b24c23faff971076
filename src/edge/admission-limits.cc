// The part of Admission that keeps rate limits and cold servers known.

#include "tamarackdrum/gateway/admission.h"

namespace tamarackdrum::gateway {
namespace {

/// A limit that a server has not named for longer is not told to a coordinator:
/// hosts learn of its end only from answers to their own requests.
constexpr Millis MaxToldAge{60000};
/// Least part of the hosts that a coordinator assumes to hear of. With three
/// zones that are cut off from each other, there are three coordinators.
constexpr double MinHeardShare = 1.0 / 3;

} // namespace

void Admission::noteLimit(const StartedDispatch &Item,
                          const NamedLimit &Named) {
  const TimePoint Now = BootClock::now();
  logLimit(Item.m_service,
           m_dispatchers.noteLimit(Item.m_service, Item.m_server, Named,
                                   Item.m_startedAt, Now),
           "answer");
  // The fallback is needed rarely, and its dispatchers are created late.
  if (Named.isNone() && m_fallbackDispatchers.all().count(Item.m_service) == 0)
    return;
  m_fallbackDispatchers.setPolicy(fallbackPolicy(), Now);
  m_fallbackDispatchers.noteLimit(Item.m_service, Item.m_server, Named,
                                  Item.m_startedAt, Now);
}

void Admission::updateRateShares() {
  const TimePoint Now = BootClock::now();
  const double OwnShare = 1.0 / static_cast<double>(m_hosts.hostCount());
  for (const auto &[Service, Item] : m_dispatchers.all()) {
    const auto Found = m_coordinators.find(Service);
    const bool IsCoordinator =
        Found != m_coordinators.end() && Found->second == m_hosts.self().m_name;
    m_dispatchers.setRateShare(Service, IsCoordinator ? 1 : OwnShare, Now);
  }
  const double HeardShare =
      std::max(MinHeardShare,
               OwnShare * static_cast<double>(m_hosts.liveHosts(Now).size()));
  m_dispatchers.setColdPolicies(m_coldPolicies, HeardShare, Now);
  m_fallbackDispatchers.setColdPolicies(m_coldPolicies, HeardShare, Now);
}

void Admission::noteColdTime(const StartedDispatch &Item, Millis Left) {
  const TimePoint Now = BootClock::now();
  for (DispatcherRegistry *Registry :
       {&m_dispatchers, &m_fallbackDispatchers}) {
    const auto Found = Registry->all().find(Item.m_service);
    if (Found != Registry->all().end())
      Found->second->noteColdTime(Item.m_server, Left, Item.m_startedAt, Now);
  }
}

void Admission::logColdChanges(TimePoint Now) {
  for (const auto &[Service, Item] : m_dispatchers.all())
    for (const ColdChange &Change : Item->takeColdChanges(Now))
      m_log.write(Change.m_isCold ? "server-cold" : "server-warm",
                  {{"service", Service},
                   {"server", Change.m_server},
                   {"left_ms", Change.m_left}});
}

void Admission::logLimit(const std::string &Service,
                         const std::optional<LimitChange> &Change,
                         std::string_view Source, Millis Age) {
  if (Change)
    m_log.write("server-limit", {{"service", Service},
                                 {"server", Change->m_server},
                                 {"per_second", Change->m_perSecond},
                                 {"was", Change->m_wasPerSecond},
                                 {"source", Source},
                                 {"age_ms", Age}});
}

std::vector<ToldLimit> Admission::limitsFor(const std::string &Host) const {
  std::vector<ToldLimit> Out;
  for (const auto &[Service, Item] : m_dispatchers.all()) {
    const auto Found = m_coordinators.find(Service);
    if (Found == m_coordinators.end() || Found->second != Host)
      continue;
    for (const KnownLimit &Known : Item->limits(BootClock::now()))
      if (Known.m_age <= MaxToldAge)
        Out.push_back(
            {Service, Known.m_server, Known.m_perSecond, Known.m_age});
  }
  return Out;
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

} // namespace tamarackdrum::gateway

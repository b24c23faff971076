// The part of Dispatcher that deals with the rate limits of servers.

#include "tamarackdrum/gateway/dispatcher.h"

#include <algorithm>
#include <limits>

namespace tamarackdrum::gateway {

std::optional<LimitChange> Dispatcher::noteLimit(const std::string &Server,
                                                 const NamedLimit &Named,
                                                 TimePoint SentAt,
                                                 TimePoint Now) {
  const auto Found = m_servers.find(Server);
  if (Found == m_servers.end())
    return std::nullopt;
  RateLimit &Known = Found->second.m_rateLimit;
  const double Before = Known.perSecond();
  if (!Known.observe(Named, SentAt, Now))
    return std::nullopt;
  return LimitChange{Server, Known.perSecond(), Before};
}

std::optional<LimitChange> Dispatcher::noteLimit(const DispatchId &Id,
                                                 const NamedLimit &Named,
                                                 TimePoint Now) {
  const auto Found = m_running.find(Id);
  if (Found == m_running.end())
    return std::nullopt;
  const Running &Item = Found->second;
  return noteLimit(Item.m_server, Named,
                   Item.m_isAdopted ? TimePoint{} : Item.m_startedAt, Now);
}

std::optional<LimitChange> Dispatcher::adoptLimit(const std::string &Server,
                                                  double PerSecond, Millis Age,
                                                  TimePoint Now) {
  const auto Found = m_servers.find(Server);
  if (Found == m_servers.end())
    return std::nullopt;
  RateLimit &Known = Found->second.m_rateLimit;
  const double Before = Known.perSecond();
  if (!Known.adopt(PerSecond, Age, Now))
    return std::nullopt;
  return LimitChange{Server, PerSecond, Before};
}

std::vector<KnownLimit> Dispatcher::limits(TimePoint Now) const {
  std::vector<KnownLimit> Out;
  for (const auto &[Id, Item] : m_servers)
    if (Item.m_rateLimit.isLimited())
      Out.push_back({Id, Item.m_rateLimit.perSecond(),
                     Item.m_rateLimit.age(Now), Item.m_heldBack});
  return Out;
}

RateShare Dispatcher::rateShareFor(const std::string &Server) const {
  const double Hash =
      static_cast<double>(hashKey(Server) ^ m_policy.m_rateSeed);
  return {m_policy.m_rateShare,
          Hash /
              static_cast<double>(std::numeric_limits<std::uint64_t>::max())};
}

void Dispatcher::setRateShare(double Share, TimePoint Now) {
  if (m_policy.m_rateShare == Share)
    return;
  m_policy.m_rateShare = Share;
  for (auto &[Id, Item] : m_servers)
    Item.m_rateLimit.setShare(rateShareFor(Id), Now);
}

bool Dispatcher::areAllLimited(TimePoint Now) const {
  bool HasLimit = false;
  for (const auto &[Id, Item] : m_servers) {
    const double Rate = slotRate(Item, Now);
    if (Rate > 0 && Rate <= Item.m_rateLimit.ratePerMs())
      return false;
    HasLimit = HasLimit || Rate > 0;
  }
  return HasLimit;
}

void Dispatcher::usePermits(TimePoint Now, DispatchDecisions &Out) {
  if (m_waiting.empty())
    return;
  for (auto &[Id, Item] : m_servers)
    if (Item.m_rateLimit.isLimited())
      fillSlots(Item, Now, Out);
}

} // namespace tamarackdrum::gateway

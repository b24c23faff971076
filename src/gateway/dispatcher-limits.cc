// The part of Dispatcher that deals with the rate limits of servers.

#include "tamarackdrum/gateway/dispatcher.h"

#include <algorithm>
#include <limits>

namespace tamarackdrum::gateway {
namespace {

/// Time for which the rate limit of a server that is not listed is kept.
constexpr Millis KeptLimitTime{60000};

} // namespace

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
  for (auto &[Id, Item] : m_servers) {
    Item.m_rateLimit.setShare(rateShareFor(Id), Now);
    setColdLimit(Item, Now);
  }
}

void Dispatcher::keepLimit(const Server &Item, TimePoint Now) {
  std::erase_if(m_keptLimits,
                [Now](const auto &Kept) { return Kept.second.m_until <= Now; });
  if (Item.m_rateLimit.isLimited() || isCold(Item, Now))
    m_keptLimits[Item.m_entry.m_id] = {Item.m_entry.m_startMs, Item.m_rateLimit,
                                       Item.m_coldLimit, Item.m_cold,
                                       Now + KeptLimitTime};
}

void Dispatcher::restoreLimit(const ServerEntry &Entry, Server &Item,
                              TimePoint Now) {
  const auto Found = m_keptLimits.find(Entry.m_id);
  if (Found != m_keptLimits.end()) {
    if (Found->second.m_startMs == Entry.m_startMs &&
        Now < Found->second.m_until) {
      Item.m_rateLimit = Found->second.m_limit;
      Item.m_coldLimit = Found->second.m_coldLimit;
      Item.m_cold = Found->second.m_cold;
    }
    m_keptLimits.erase(Found);
  }
  Item.m_rateLimit.setShare(rateShareFor(Entry.m_id), Now);
}

void Dispatcher::refuseForWait(const Waiting &Item,
                               const WaitEstimate &Expected, double WaitMs,
                               TimePoint Now, DispatchDecisions &Out) {
  const DispatchRequest &Request = Item.m_request;
  Millis RetryAfter(static_cast<std::int64_t>(WaitMs));
  if (!Expected.m_isLimited) {
    if (m_isKeyed)
      RetryAfter = returnTime(Item, Expected, WaitMs, Now);
    refuse(Request, RefusalReason::Overloaded, RetryAfter, Out);
    return;
  }
  const std::string &Holder =
      m_isKeyed ? m_keys.holderOf(Request.m_key.value_or(0)) : AllServers;
  std::erase_if(m_lastReturns,
                [Now](const auto &Item) { return Item.second <= Now; });
  const auto Found = m_lastReturns.find(Holder);
  // Turns are counted at the rate of the limit, as if it did not end.
  TimePoint Turn = Now + RetryAfter;
  if (Found != m_lastReturns.end()) {
    const Millis Interval(static_cast<std::int64_t>(1 / Expected.m_ratePerMs));
    Turn = std::max(Turn, Found->second + Interval);
    const double TurnMs =
        std::chrono::duration<double, std::milli>(Turn - Now).count();
    RetryAfter = std::max(RetryAfter, Millis(static_cast<std::int64_t>(
                                          Expected.atActualRate(TurnMs))));
  }
  // A caller without the time to return takes nobody's turn.
  if (RetryAfter < Request.m_timeLeft)
    m_lastReturns[Holder] = Turn;
  refuse(Request, RefusalReason::ServerLimit, RetryAfter, Out);
}

bool Dispatcher::isLimitBound(const Server &Item, TimePoint Now) const {
  return limitRate(Item, Now) < slotRate(Item, Now);
}

bool Dispatcher::areAllLimited(TimePoint Now) const {
  bool HasLimit = false;
  for (const auto &[Id, Item] : m_servers) {
    if (slotRate(Item, Now) <= 0)
      continue;
    if (!isLimitBound(Item, Now))
      return false;
    HasLimit = true;
  }
  return HasLimit;
}

Dispatcher::Queue::iterator
Dispatcher::firstRequestFor(Queue &Own, const Server &Target, TimePoint Now) {
  const double MeanService = expectedServiceMs(Target, Now);
  return std::find_if(Own.begin(), Own.end(), [&](const Waiting &Item) {
    ++m_looks;
    const double Service = MeanService * routeFactor(Item.m_request.m_route);
    const double LeftMs =
        std::chrono::duration<double, std::milli>(Item.m_deadline - Now)
            .count();
    const bool WaitsForOwnZone =
        Item.m_request.m_zone != Target.m_entry.m_zone &&
        Now < Item.m_ownZoneUntil;
    return mayRun(Item, Target) && !WaitsForOwnZone &&
           LeftMs >= Service * m_policy.m_minTimeFactor;
  });
}

void Dispatcher::usePermits(TimePoint Now, DispatchDecisions &Out) {
  if (m_waiting.empty())
    return;
  for (auto &[Id, Item] : m_servers)
    if (Item.m_rateLimit.isLimited() || isCold(Item, Now))
      fillSlots(Item, Now, Out);
}

} // namespace tamarackdrum::gateway

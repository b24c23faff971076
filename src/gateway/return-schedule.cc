#include "tamarackdrum/gateway/return-schedule.h"

#include <algorithm>
#include <cmath>

namespace tamarackdrum::gateway {
namespace {

/// Returns whether \p Back may be the return of \p Refused.
bool isSameCaller(const Caller &Refused, const Caller &Back, Millis Tolerance,
                  TimePoint Now) {
  if (Refused.m_key != Back.m_key || Refused.m_route != Back.m_route ||
      Refused.m_priority != Back.m_priority)
    return false;
  // Once the objective is missed, its time is given as the present.
  if (Back.m_objectiveAt <= Now)
    return Refused.m_objectiveAt <= Now + Tolerance;
  return std::chrono::abs(Refused.m_objectiveAt - Back.m_objectiveAt) <=
         Tolerance;
}

} // namespace

std::optional<TimePoint>
ReturnSchedule::give(const std::string &Holder, const Caller &Who,
                     double RatePerMs, TimePoint NotBefore,
                     const ReturnPolicy &Policy, TimePoint Now) {
  const double Rate = RatePerMs * Policy.m_rateShare;
  if (Rate <= 0) {
    ++m_counts.m_none;
    return std::nullopt;
  }
  const Millis Interval(static_cast<std::int64_t>(std::ceil(1 / Rate)));
  std::vector<ReturnPlace> &Places = m_places[Holder];
  TimePoint Due = std::max(Now, NotBefore) + Interval;
  if (!Places.empty())
    Due = std::max(Due, Places.back().m_dueAt + Interval);
  const auto Longest = std::chrono::duration_cast<BootClock::duration>(
      (Who.m_deadline - Now) * Policy.m_maxTimeShare);
  if (Due > Now + Longest) {
    ++m_counts.m_none;
    return std::nullopt;
  }
  ++m_counts.m_given;
  Places.push_back({Who, Due});
  return Due;
}

bool ReturnSchedule::take(const Caller &Who, const ReturnPolicy &Policy,
                          TimePoint Now) {
  for (auto &[Holder, Places] : m_places) {
    const auto Found = std::find_if(
        Places.begin(), Places.end(), [&](const ReturnPlace &Item) {
          return isSameCaller(Item.m_caller, Who, Policy.m_identityTolerance,
                              Now);
        });
    if (Found == Places.end())
      continue;
    Places.erase(Found);
    ++m_counts.m_taken;
    return true;
  }
  return false;
}

std::size_t ReturnSchedule::dueUntil(const std::string &Holder, TimePoint Until,
                                     unsigned Priority) const {
  const auto Found = m_places.find(Holder);
  if (Found == m_places.end())
    return 0;
  return static_cast<std::size_t>(std::count_if(
      Found->second.begin(), Found->second.end(), [&](const ReturnPlace &Item) {
        return Item.m_caller.m_priority <= Priority && Item.m_dueAt <= Until;
      }));
}

void ReturnSchedule::dropLapsed(const ReturnPolicy &Policy, TimePoint Now) {
  for (auto Item = m_places.begin(); Item != m_places.end();) {
    m_counts.m_lapsed +=
        std::erase_if(Item->second, [&](const ReturnPlace &Place) {
          return Place.m_dueAt + Policy.m_grace < Now;
        });
    Item = Item->second.empty() ? m_places.erase(Item) : std::next(Item);
  }
}

void ReturnSchedule::setHolders(const KeyMap &Keys) {
  std::map<std::string, std::vector<ReturnPlace>> Moved;
  for (auto &[Holder, Places] : m_places)
    for (ReturnPlace &Item : Places)
      Moved[Keys.holderOf(Item.m_caller.m_key)].push_back(std::move(Item));
  for (auto &[Holder, Places] : Moved)
    std::stable_sort(Places.begin(), Places.end(),
                     [](const ReturnPlace &A, const ReturnPlace &B) {
                       return A.m_dueAt < B.m_dueAt;
                     });
  m_places = std::move(Moved);
}

} // namespace tamarackdrum::gateway

#include "tamarackdrum/gateway/server-load.h"

#include <algorithm>

namespace tamarackdrum::gateway {
namespace {

/// A slow period lasts some 400 ms, and a report comes at a random moment of
/// it.
constexpr Millis FreshTime{200};
/// Reports below this are the usual variation of service times.
constexpr double MinSlowPercent = 150;
/// Bounds of what a report may correct; guards against damaged values.
constexpr double MinPercent = 25;
constexpr double MaxPercent = 1000;

double percentOf(const ReportedLoad &Reported) {
  return std::clamp(static_cast<double>(Reported.m_durationPercent), MinPercent,
                    MaxPercent);
}

} // namespace

void ServerLoad::note(const ReportedLoad &Reported, TimePoint Now) {
  m_last = Reported;
  m_reportedAt = Now;
}

bool ServerLoad::isFresh(TimePoint Now) const {
  return m_last && Now - m_reportedAt < FreshTime;
}

double ServerLoad::slowness(TimePoint Now) const {
  if (!isFresh(Now) || percentOf(*m_last) < MinSlowPercent)
    return 1;
  return percentOf(*m_last) / 100;
}

bool ServerLoad::isOverfilled(std::size_t Waiting, TimePoint Now) const {
  return isFresh(Now) && m_last->m_waiting > Waiting;
}

double usualServiceMs(double ServiceMs,
                      const std::optional<ReportedLoad> &Reported) {
  return Reported ? ServiceMs * 100 / percentOf(*Reported) : ServiceMs;
}

} // namespace tamarackdrum::gateway

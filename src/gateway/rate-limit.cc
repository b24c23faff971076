#include "tamarackdrum/gateway/rate-limit.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <limits>

namespace tamarackdrum::gateway {
namespace {

/// Sums of shares are inexact.
constexpr double PermitTolerance = 1e-9;

double toMs(BootClock::duration Span) {
  return std::chrono::duration<double, std::milli>(Span).count();
}

/// Returns whether \p Next permits fewer requests than \p Known.
bool isStricter(const NamedLimit &Next, const NamedLimit &Known) {
  return !Next.isNone() &&
         (Known.isNone() || Next.m_perSecond < Known.m_perSecond);
}

} // namespace

std::optional<NamedLimit> parseRateLimit(std::string_view Text) {
  if (Text.empty() || Text.front() == '-')
    return std::nullopt;
  double Value = 0;
  const char *End = Text.data() + Text.size();
  const auto [Rest, Error] =
      std::from_chars(Text.data(), End, Value, std::chars_format::fixed);
  if (Rest != End || !std::isfinite(Value))
    return std::nullopt;
  if (Error == std::errc::result_out_of_range)
    return NamedLimit{Text.front() == '0' ? MinRateLimit : MaxRateLimit};
  if (Error != std::errc())
    return std::nullopt;
  return NamedLimit{std::clamp(Value, MinRateLimit, MaxRateLimit)};
}

bool RateLimit::observe(const NamedLimit &Named, TimePoint SentAt,
                        TimePoint Now) {
  const bool IsNewer = SentAt >= m_heardAt;
  if (!IsNewer && !isStricter(Named, m_limit) && Named != m_limit)
    return false;
  m_heardAt = Now;
  if (Named == m_limit)
    return false;
  set(Named, Now);
  return true;
}

bool RateLimit::adopt(double PerSecond, Millis Age, TimePoint Now) {
  const TimePoint NamedAt = Now - Age;
  const bool IsKnown =
      isLimited() ? m_limit.m_perSecond <= PerSecond : NamedAt <= m_heardAt;
  if (IsKnown)
    return false;
  m_heardAt = std::max(m_heardAt, NamedAt);
  set({PerSecond}, Now);
  return true;
}

void RateLimit::prescribe(double PerSecond, TimePoint Now) {
  if (PerSecond != m_limit.m_perSecond)
    set({PerSecond}, Now);
}

void RateLimit::set(const NamedLimit &Next, TimePoint Now) {
  m_permits = isLimited() ? permitsAt(Now) : initialPermits();
  m_countedAt = Now;
  m_limit = Next;
}

void RateLimit::setShare(const RateShare &Share, TimePoint Now) {
  if (Share == m_share)
    return;
  const bool IsSameKind = Share.isWhole() == m_share.isWhole();
  m_permits = permitsAt(Now);
  m_countedAt = Now;
  m_share = Share;
  if (!IsSameKind)
    m_permits = initialPermits();
}

double RateLimit::permitsAt(TimePoint Now) const {
  if (!isLimited())
    return 0;
  const double Due = m_permits + ratePerMs() * toMs(Now - m_countedAt);
  if (m_share.isWhole())
    return std::min(
        {Due, m_policy.m_maxBurst,
         std::max(1.0, ratePerMs() * toMs(m_policy.m_maxBurstTime))});
  const double Most = 1 + ratePerMs() * toMs(m_policy.m_sharePermitTime);
  return Due <= Most ? Due : Due - std::ceil(Due - Most);
}

bool RateLimit::hasPermit(TimePoint Now) const {
  return !isLimited() || permitsAt(Now) >= 1 - PermitTolerance;
}

void RateLimit::takePermit(TimePoint Now) {
  if (!isLimited())
    return;
  m_permits = permitsAt(Now) - 1;
  m_countedAt = Now;
}

double RateLimit::msUntilPermit(TimePoint Now) const {
  return hasPermit(Now) ? 0 : (1 - permitsAt(Now)) / ratePerMs();
}

double RateLimit::ratePerMs() const {
  return isLimited() ? m_share.m_share * m_limit.m_perSecond / 1000
                     : std::numeric_limits<double>::infinity();
}

Millis RateLimit::age(TimePoint Now) const {
  return std::chrono::duration_cast<Millis>(Now - m_heardAt);
}

} // namespace tamarackdrum::gateway

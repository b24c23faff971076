#include "tamarackdrum/gateway/rate-limit.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace tamarackdrum::gateway {
namespace {

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
  const bool HasChanged = Named != m_limit;
  m_limit = Named;
  m_heardAt = Now;
  return HasChanged;
}

Millis RateLimit::age(TimePoint Now) const {
  return std::chrono::duration_cast<Millis>(Now - m_heardAt);
}

} // namespace tamarackdrum::gateway

/// \file
/// Limits on the rate of requests that servers name in their answers.

#ifndef TAMARACKDRUM_GATEWAY_RATE_LIMIT_H
#define TAMARACKDRUM_GATEWAY_RATE_LIMIT_H

#include "tamarackdrum/core.h"

#include <optional>
#include <string_view>

namespace tamarackdrum::gateway {

/// What an answer says about the rate of requests that its server takes from
/// all hosts together.
struct NamedLimit {
  double m_perSecond = 0; ///< 0: the answer names no limit.

  bool isNone() const { return m_perSecond == 0; }
  bool operator==(const NamedLimit &) const = default;
};

/// Lowest and highest rate, in requests per second, that a named limit stands
/// for. At the lowest, a server that names 0 still gets a request now and then,
/// whose answer tells whether it has changed its mind.
inline constexpr double MinRateLimit = 0.2;
inline constexpr double MaxRateLimit = 1e6;

/// Returns the limit that \p Text, a decimal number of requests per second,
/// stands for, between MinRateLimit and MaxRateLimit. Nothing if \p Text is not
/// a finite number or is negative.
std::optional<NamedLimit> parseRateLimit(std::string_view Text);

/// The limit that one server is known to have.
///
/// Answers arrive in another order than they were sent: a host may have been
/// paused, or a link slow. An answer to a request that was sent after the last
/// word of the server is newer than that and replaces it. Of answers that
/// overlap, the one with the lower limit counts.
class RateLimit {
public:
  /// Records what the answer to a request that was sent at \p SentAt or later
  /// says. Returns whether the known limit has changed.
  bool observe(const NamedLimit &Named, TimePoint SentAt, TimePoint Now);

  /// Returns whether the server is known to have a limit.
  bool isLimited() const { return !m_limit.isNone(); }
  /// Returns the limit in requests per second, or 0.
  double perSecond() const { return m_limit.m_perSecond; }
  /// Returns the time since the server last named the limit.
  Millis age(TimePoint Now) const;

private:
  NamedLimit m_limit;
  TimePoint m_heardAt{}; ///< Arrival of the last answer that was recorded.
};

} // namespace tamarackdrum::gateway

#endif // TAMARACKDRUM_GATEWAY_RATE_LIMIT_H

/// \file
/// Limits on the rate of requests that servers name in their answers.

#ifndef TAMARACKDRUM_GATEWAY_RATE_LIMIT_H
#define TAMARACKDRUM_GATEWAY_RATE_LIMIT_H

#include "tamarackdrum/core.h"

#include <limits>
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
inline constexpr double MinRateLimit = 0.5;
inline constexpr double MaxRateLimit = 1e6;

/// Returns the limit that \p Text, a decimal number of requests per second,
/// stands for, between MinRateLimit and MaxRateLimit. Nothing if \p Text is not
/// a finite number or is negative.
std::optional<NamedLimit> parseRateLimit(std::string_view Text);

/// The part of a server's limit that one dispatcher may use.
struct RateShare {
  /// 1 if the dispatcher decides for all hosts, else the share of one host.
  double m_share = 1;
  /// Between 0 and 1. Hosts with shares have different phases, so that their
  /// permits do not fall due at the same time.
  double m_phase = 0;

  bool isWhole() const { return m_share >= 1; }
  bool operator==(const RateShare &) const = default;
};

/// How long permits that are not used are kept.
struct PermitPolicy {
  /// By a dispatcher that decides for all hosts.
  Millis m_maxBurstTime{250};
  double m_maxBurst = std::numeric_limits<double>::infinity();
  /// By a host that decides by itself.
  Millis m_sharePermitTime{1000};

  bool operator==(const PermitPolicy &) const = default;
};

/// The limit that one server is known to have, and the permits to send it
/// requests.
///
/// Load pattern: a server in need takes far fewer requests than its slots could
/// run, from all hosts together. Permits fall due at the rate of the limit. A
/// dispatcher that decides for all hosts keeps permits that it does not use for
/// PermitPolicy::m_maxBurstTime, at least one. A host that decides by itself
/// has its share of them, and drops a permit that it does not use for a while:
/// otherwise each of many hosts could hold one, and they would be used at the
/// same time.
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

  /// Records a limit that another host was told by the server \p Age ago or
  /// later. It never raises a known limit, since it may have been under way for
  /// long. Returns whether the known limit has changed.
  bool adopt(double PerSecond, Millis Age, TimePoint Now);

  /// Sets the limit, which is not one that the server has named.
  void prescribe(double PerSecond, TimePoint Now);

  /// Sets how permits are kept.
  void setPermitPolicy(const PermitPolicy &Policy) { m_policy = Policy; }

  /// Sets the share of the limit from \p Now on. Nothing is left over when the
  /// share becomes the whole limit or ceases to be: another dispatcher decided
  /// before.
  void setShare(const RateShare &Share, TimePoint Now);

  /// Returns whether a request may be sent.
  bool hasPermit(TimePoint Now) const;
  /// Uses a permit. Does nothing if the server has no limit.
  void takePermit(TimePoint Now);
  /// Returns the time until a request may be sent, in milliseconds.
  double msUntilPermit(TimePoint Now) const;
  /// Returns the requests per millisecond that may be sent; infinity if the
  /// server has no limit.
  double ratePerMs() const;

  /// Returns whether the server is known to have a limit.
  bool isLimited() const { return !m_limit.isNone(); }
  /// Returns the limit in requests per second, or 0.
  double perSecond() const { return m_limit.m_perSecond; }
  /// Returns the time since the server last named the limit.
  Millis age(TimePoint Now) const;

private:
  /// Sets the limit, and counts permits by it from \p Now on.
  void set(const NamedLimit &Next, TimePoint Now);
  /// Returns the permits that are due at \p Now, and the part of the next one.
  double permitsAt(TimePoint Now) const;
  double initialPermits() const {
    return m_share.isWhole() ? 0 : m_share.m_phase;
  }

  PermitPolicy m_policy;
  RateShare m_share;
  NamedLimit m_limit;
  TimePoint m_heardAt{}; ///< Arrival of the last answer that was recorded.
  double m_permits = 0;  ///< At m_countedAt.
  TimePoint m_countedAt{};
};

} // namespace tamarackdrum::gateway

#endif // TAMARACKDRUM_GATEWAY_RATE_LIMIT_H

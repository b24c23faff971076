/// \file
/// The order in which refused callers of overloaded holders of keys return.
///
/// Load pattern: the demand on the keys of one server exceeds what it can serve
/// for some seconds, and refused callers return once or twice. If all are told
/// the time of the present queue, they return together and are refused again.

#ifndef TAMARACKDRUM_GATEWAY_RETURN_SCHEDULE_H
#define TAMARACKDRUM_GATEWAY_RETURN_SCHEDULE_H

#include "tamarackdrum/core.h"
#include "tamarackdrum/gateway/key-map.h"

#include <functional>
#include <optional>

namespace tamarackdrum::gateway {

struct ReturnPolicy {
  /// Share of the rate of a holder at which callers are told to return; 0: no
  /// places. New requests get the rest: those are served within their
  /// objective, which most that return can no longer be. Off by default: in the
  /// replay of a few hot keys, places at half of the rate refused more callers
  /// for good than none (KNOWN-RED.txt).
  double m_rateShare = 0;
  /// Part of its remaining time for which a caller waits before it returns.
  double m_maxTimeShare = 1.0 / 3;
  /// A place is kept for this long after its time, for the way of the request
  /// and delays of the client.
  Millis m_grace{250};
  /// Largest difference between two values of the objective's time of one
  /// caller. Each try states its remaining time in whole milliseconds and
  /// reaches its host after a different delay.
  Millis m_identityTolerance{40};

  bool operator==(const ReturnPolicy &) const = default;
};

/// What is known of the caller of a request. The time at which the objective
/// of a request is missed stays the same when it returns.
struct Caller {
  Key m_key = 0;
  std::string m_route;
  unsigned m_priority = 0;
  TimePoint m_objectiveAt;
  TimePoint m_deadline;

  bool operator==(const Caller &) const = default;
};

/// A place in the order of return.
struct ReturnPlace {
  Caller m_caller;
  TimePoint m_dueAt;

  bool operator==(const ReturnPlace &) const = default;
};

/// Counts since the start, for metrics.
struct ReturnCounts {
  std::uint64_t m_given = 0;  ///< Callers that got a place.
  std::uint64_t m_taken = 0;  ///< Of these, returned in time.
  std::uint64_t m_lapsed = 0; ///< Of these, did not return in time.
  std::uint64_t m_none = 0;   ///< Refused callers without a place.

  bool operator==(const ReturnCounts &) const = default;
};

/// The order of return at all holders of one service.
class ReturnSchedule {
public:
  /// Gives \p Who a place at \p Holder, which serves \p RatePerMs requests and
  /// none before \p NotBefore. Returns its time, or nothing if it would be
  /// later than the caller waits.
  std::optional<TimePoint> give(const std::string &Holder, const Caller &Who,
                                double RatePerMs, TimePoint NotBefore,
                                const ReturnPolicy &Policy, TimePoint Now);

  /// Removes the place of \p Who. Returns whether there was one.
  bool take(const Caller &Who, const ReturnPolicy &Policy, TimePoint Now);

  /// Returns how many callers of \p Priority or a higher one are due at
  /// \p Holder until \p Until.
  std::size_t dueUntil(const std::string &Holder, TimePoint Until,
                       unsigned Priority) const;

  /// Removes the places of callers that have not returned in time.
  void dropLapsed(const ReturnPolicy &Policy, TimePoint Now);

  /// Assigns all places to the present holders of their keys.
  void setHolders(const KeyMap &Keys);

  const ReturnCounts &counts() const { return m_counts; }

private:
  std::map<std::string, std::vector<ReturnPlace>> m_places; ///< By holder.
  ReturnCounts m_counts;
};

} // namespace tamarackdrum::gateway

#endif // TAMARACKDRUM_GATEWAY_RETURN_SCHEDULE_H

/// \file
/// What a backend server says about itself in the head of an answer.

#ifndef TAMARACKDRUM_GATEWAY_ANSWER_REPORT_H
#define TAMARACKDRUM_GATEWAY_ANSWER_REPORT_H

#include "tamarackdrum/gateway/rate-limit.h"

#include <optional>

namespace tamarackdrum::gateway {

/// Load of a server at the time of an answer.
struct ReportedLoad {
  unsigned m_running = 0; ///< Requests that it works on, from all hosts.
  unsigned m_waiting = 0; ///< Requests in its queue, from all hosts.
  unsigned m_slots = 0;
  /// Duration of work at this moment, in percent of the usual duration.
  unsigned m_durationPercent = 100;

  bool operator==(const ReportedLoad &) const = default;
};

/// Returns the load that \p Text stands for: requests running, requests waiting
/// and slots, separated by commas, and optionally the duration of work in
/// percent. Nothing if \p Text is anything else.
std::optional<ReportedLoad> parseReportedLoad(std::string_view Text);

/// Returns the time that \p Text, whole milliseconds, stands for. Nothing if
/// \p Text is anything else or exceeds MaxColdTime.
std::optional<Millis> parseColdTime(std::string_view Text);

/// Longest time for which a server can say that it stays cold; guards against
/// damaged values.
inline constexpr Millis MaxColdTime{600000};

/// Members are empty if the answer does not tell them.
struct AnswerReport {
  std::optional<NamedLimit> m_limit;
  std::optional<ReportedLoad> m_load;
  std::optional<Millis> m_coldLeft; ///< Time for which it is still cold.

  bool operator==(const AnswerReport &) const = default;
};

} // namespace tamarackdrum::gateway

#endif // TAMARACKDRUM_GATEWAY_ANSWER_REPORT_H

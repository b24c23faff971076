/// \file
/// Outcomes of a request and the rules that derive them from what happened.

#ifndef TAMARACKDRUM_OUTCOME_H
#define TAMARACKDRUM_OUTCOME_H

#include "tamarackdrum/view.h"

namespace tamarackdrum {

/// Outcome of a request as the caller is told.
enum class Outcome {
  Answered, ///< The server's own answer, whole.
  NotRun,   ///< Provably not run: asking again cannot run it twice.
  Unknown,  ///< It may have run, and its answer is lost.
};

const char *toText(Outcome Value) noexcept;

/// Outcome, its reason and the time after which to come back.
struct Verdict {
  Outcome m_outcome = Outcome::Answered;
  std::error_code m_reason;
  unsigned m_status = 200; ///< HTTP status; of no meaning if answered.
  Millis m_retryAfter{0};  ///< 0 if asking again would not help.

  bool operator==(const Verdict &) const = default;
};

/// What a server's reply says about its run.
struct ReplyFacts {
  unsigned m_status = 200;
  bool m_saysNotRun = false; ///< It carries the header `X-Not-Run`.
  Millis m_retryAfter{0};    ///< The server's own wish; 0 if it has none.
};

/// Verdict on a request that was refused with an error of RouteErrc.
Verdict verdictOfRefusal(const std::error_code &Reason);

/// Verdict on an exchange that ended with an error of HttpErrc.
Verdict verdictOfFailure(const std::error_code &Error);

/// Verdict on a whole reply.
Verdict verdictOfReply(const ReplyFacts &Reply);

/// Returns whether a further dispatch cannot break at-most-once: nothing ran,
/// or the class may run twice.
bool isRepeatable(const Verdict &Last, const ClassTarget &Target) noexcept;

/// Returns the verdict on a request after \p Last followed \p Earlier: once
/// an attempt may have run, "not run" is no longer true.
Verdict combine(const Verdict &Earlier, const Verdict &Last);

} // namespace tamarackdrum

#endif // TAMARACKDRUM_OUTCOME_H

#include "tamarackdrum/outcome.h"

#include "tamarackdrum/error.h"

#include <algorithm>

namespace tamarackdrum {
namespace {

constexpr unsigned StatusBadRequest = 400;
constexpr unsigned StatusNotFound = 404;
constexpr unsigned StatusUnprocessable = 422;
constexpr unsigned StatusBadGateway = 502;
constexpr unsigned StatusUnavailable = 503;
constexpr unsigned StatusTimeout = 504;

constexpr Millis RetryAfterLoad{100};
constexpr Millis RetryAfterMove{500};
constexpr Millis RetryAfterFault{1000};

Millis retryAfterOf(const std::error_code &Reason) {
  if (Reason == RouteErrc::Overloaded || Reason == RouteErrc::ServerRefused ||
      Reason == HttpErrc::PoolExhausted)
    return RetryAfterLoad;
  if (Reason == RouteErrc::SliceMoving || Reason == RouteErrc::NoLease)
    return RetryAfterMove;
  return RetryAfterFault;
}

bool wasSent(const std::error_code &Error) {
  return Error != HttpErrc::ConnectFailed &&
         Error != HttpErrc::ConnectTimedOut && Error != HttpErrc::PoolExhausted;
}

} // namespace

const char *toText(Outcome Value) noexcept {
  switch (Value) {
  case Outcome::Answered:
    return "answered";
  case Outcome::NotRun:
    return "not-run";
  case Outcome::Unknown:
    break;
  }
  return "unknown";
}

Verdict verdictOfRefusal(const std::error_code &Reason) {
  if (Reason == RouteErrc::UnknownClass)
    return {Outcome::NotRun, Reason, StatusNotFound, Millis(0)};
  if (Reason == RouteErrc::KeyMissing || Reason == RouteErrc::IdMissing ||
      Reason == RouteErrc::DeadlineInvalid)
    return {Outcome::NotRun, Reason, StatusBadRequest, Millis(0)};
  if (Reason == RouteErrc::Poisoned)
    return {Outcome::NotRun, Reason, StatusUnprocessable, Millis(0)};
  if (Reason == RouteErrc::DeadlinePassed)
    return {Outcome::NotRun, Reason, StatusTimeout, Millis(0)};
  return {Outcome::NotRun, Reason, StatusUnavailable, retryAfterOf(Reason)};
}

Verdict verdictOfFailure(const std::error_code &Error) {
  if (!wasSent(Error))
    return {Outcome::NotRun, Error, StatusUnavailable, retryAfterOf(Error)};
  const unsigned Status =
      Error == HttpErrc::TimedOut ? StatusTimeout : StatusBadGateway;
  return {Outcome::Unknown, Error, Status, Millis(0)};
}

Verdict verdictOfReply(const ReplyFacts &Reply) {
  const bool IsGatewayStatus =
      Reply.m_status == StatusUnavailable || Reply.m_status == StatusTimeout;
  if (IsGatewayStatus && Reply.m_saysNotRun) {
    const std::error_code Reason = RouteErrc::ServerRefused;
    return {Outcome::NotRun, Reason, StatusUnavailable,
            std::max(retryAfterOf(Reason), Reply.m_retryAfter)};
  }
  // A run that the server cut off may have had part of its effect.
  if (Reply.m_status == StatusTimeout)
    return {Outcome::Unknown, RouteErrc::ServerCancelled, StatusTimeout,
            Millis(0)};
  return {};
}

bool isRepeatable(const Verdict &Last, const ClassTarget &Target) noexcept {
  if (Last.m_outcome == Outcome::NotRun)
    return true;
  return Last.m_outcome == Outcome::Unknown && Target.m_idempotent &&
         !Target.m_onceOnly;
}

Verdict combine(const Verdict &Earlier, const Verdict &Last) {
  if (Earlier.m_outcome == Outcome::Unknown &&
      Last.m_outcome == Outcome::NotRun)
    return Earlier;
  return Last;
}

} // namespace tamarackdrum

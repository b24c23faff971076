#include "tamarackdrum/once-only.h"

#include "tamarackdrum/error.h"
#include "tamarackdrum/request-proxy.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <boost/beast/http.hpp>

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace tamarackdrum {
namespace {

constexpr unsigned StatusBadRequest = 400;
constexpr unsigned StatusConflict = 409;
constexpr unsigned StatusUnknown = 502;
constexpr unsigned StatusUnavailable = 503;

std::string_view workClassOf(const HttpRequest &Call) {
  std::string_view Target(Call.target().data(), Call.target().size());
  if (!Target.empty() && Target.front() == '/')
    Target.remove_prefix(1);
  return Target.substr(0, Target.find_first_of("/?"));
}

HttpResponse makeRefusal(unsigned Status, const char *Kind,
                         const std::string &Reason) {
  HttpResponse Response =
      makeResponse(Status, std::string("{\"outcome\":\"") + Kind +
                               "\",\"reason\":\"" + Reason + "\"}");
  Response.set("Tamarack-Outcome", Kind);
  Response.set("Tamarack-Reason", Reason);
  return Response;
}

HttpResponse makeReplay(const ClaimAnswer &Answer) {
  HttpResponse Response = makeResponse(Answer.m_status, Answer.m_body,
                                       Answer.m_contentType.c_str());
  Response.set("Tamarack-Outcome", toText(Outcome::Answered));
  Response.set("Tamarack-Replayed", "true");
  if (!Answer.m_isBodyKept)
    Response.set("Tamarack-Body", "not-kept");
  return Response;
}

/// Answers a request that was not granted its claim.
HttpResponse answerFor(const ClaimResult &Claim, const ClaimPolicy &Policy) {
  const std::string Reason = toText(Claim.m_verdict);
  if (Claim.m_verdict == ClaimVerdict::Replay)
    return makeReplay(Claim.m_row.m_answer);
  if (Claim.m_verdict == ClaimVerdict::Unknown)
    return makeRefusal(StatusUnknown, toText(Outcome::Unknown),
                       "first-run-unknown");
  if (Claim.m_verdict == ClaimVerdict::StillRunning) {
    HttpResponse Response =
        makeRefusal(StatusConflict, "still-running", Reason);
    const std::chrono::seconds Wait =
        retryAfter(Claim.m_row, unixMillis(), Policy);
    Response.set(http::field::retry_after, std::to_string(Wait.count()));
    return Response;
  }
  HttpResponse Response =
      makeRefusal(StatusUnavailable, toText(Outcome::NotRun),
                  make_error_code(RouteErrc::ClaimUnavailable).message());
  Response.set(http::field::retry_after, "1");
  return Response;
}

ClaimState stateAfter(std::string_view OutcomeText) {
  if (OutcomeText == toText(Outcome::Answered))
    return ClaimState::Done;
  if (OutcomeText == toText(Outcome::NotRun))
    return ClaimState::Released;
  return ClaimState::Unknown;
}

} // namespace

bool isRequestId(std::string_view Id) noexcept {
  return !Id.empty() && Id.size() <= MaxRequestId &&
         std::all_of(Id.begin(), Id.end(),
                     [](char Byte) { return Byte > ' ' && Byte < '\x7f'; });
}

asio::awaitable<HttpResponse> OnceOnlyGate::onCall(const HttpRequest &Call) {
  const RoutingTablePtr Table = m_router.table();
  const std::string WorkClass(workClassOf(Call));
  const auto Found = Table ? Table->m_classes.find(WorkClass)
                           : decltype(Table->m_classes.end()){};
  if (!Table || Found == Table->m_classes.end() ||
      !Found->second.m_target.m_onceOnly)
    co_return co_await m_next(Call);
  const std::string Id(Call["Idempotency-Key"]);
  if (!isRequestId(Id)) {
    const std::error_code Reason = RouteErrc::IdMissing;
    co_return makeRefusal(StatusBadRequest, toText(Outcome::NotRun),
                          Reason.message());
  }
  ClaimResult Claim = co_await m_claims.claim(WorkClass, Id);
  if (Claim.m_verdict != ClaimVerdict::Own)
    co_return answerFor(Claim, m_claims.policy());
  co_return co_await run(Call, std::move(Claim.m_attempt));
}

asio::awaitable<HttpResponse> OnceOnlyGate::run(const HttpRequest &Call,
                                                ClaimAttempt Claim) {
  HttpResponse Response = co_await m_next(Call);
  const std::string OutcomeText(Response["Tamarack-Outcome"]);
  const ClaimState State = stateAfter(OutcomeText);
  ClaimAnswer Answer;
  if (State == ClaimState::Done)
    Answer = {Response.result_int(),
              std::string(Response[http::field::content_type]),
              Response.body()};
  m_claims.settle(Claim, State, std::move(Answer));
  co_return Response;
}

} // namespace tamarackdrum

#include "tamarackdrum/request-proxy.h"

#include "tamarackdrum/error.h"

#include <boost/asio.hpp>
#include <boost/beast/http.hpp>

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace tamarackdrum {
namespace {

/// Splits "/class/key/..." into its first two segments.
RouteQuery parseTarget(std::string_view Target) {
  RouteQuery Query;
  Target = Target.substr(0, Target.find('?'));
  if (!Target.empty() && Target.front() == '/')
    Target.remove_prefix(1);
  const std::size_t Slash = Target.find('/');
  Query.m_workClass = Target.substr(0, Slash);
  if (Slash == std::string_view::npos)
    return Query;
  Target.remove_prefix(Slash + 1);
  Query.m_key = Target.substr(0, Target.find('/'));
  return Query;
}

unsigned statusOf(const std::error_code &Error) {
  if (Error == RouteErrc::UnknownClass)
    return 404;
  if (Error == RouteErrc::KeyMissing || Error == RouteErrc::IdMissing)
    return 400;
  return 503;
}

HttpResponse refusal(Outcome Kind, const std::error_code &Reason,
                     unsigned Status) {
  HttpResponse Response =
      makeResponse(Status, std::string("{\"outcome\":\"") + toText(Kind) +
                               "\",\"reason\":\"" + Reason.message() + "\"}");
  Response.set("Tamarack-Outcome", toText(Kind));
  Response.set("Tamarack-Reason", Reason.message());
  if (Status == 503)
    Response.set(http::field::retry_after, "1");
  return Response;
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

asio::awaitable<HttpResponse> RequestProxy::onCall(const HttpRequest &Call) {
  const std::string_view Target(Call.target().data(), Call.target().size());
  const RouteQuery Query = parseTarget(Target);
  Result<Dispatch> Granted = m_router.decide(Query, BootClock::now());
  if (!Granted) {
    m_counters.m_notRun.fetch_add(1);
    co_return refusal(Outcome::NotRun, Granted.error(),
                      statusOf(Granted.error()));
  }
  co_return co_await forward(Call, std::move(Granted).value());
}

asio::awaitable<HttpResponse> RequestProxy::forward(const HttpRequest &Call,
                                                    Dispatch Granted) {
  HttpRequest Outgoing = Call;
  Outgoing.keep_alive(true);
  const TimePoint Now = BootClock::now();
  Outgoing.set(
      "Tamarack-Deadline",
      std::to_string(toUnixMillis(Granted.deadline(), Now, unixMillis())));
  Outgoing.set("Tamarack-Epoch", std::to_string(Granted.epoch()));
  const Result<Endpoint> Server = parseEndpoint(Granted.server().m_address);
  if (!Server) {
    Granted.complete();
    co_return refusal(Outcome::NotRun, RouteErrc::NoServer, 503);
  }
  Result<HttpResponse> Reply = co_await m_client.send(
      Server.value(), std::move(Outgoing), Granted.deadline());
  if (Reply) {
    Granted.complete();
    HttpResponse Answer = std::move(Reply).value();
    Answer.set("Tamarack-Outcome", toText(Outcome::Answered));
    m_counters.m_answered.fetch_add(1);
    co_return Answer;
  }
  const std::error_code Error = Reply.error();
  if (Error == HttpErrc::ConnectFailed || Error == HttpErrc::PoolExhausted) {
    Granted.complete();
    m_counters.m_notRun.fetch_add(1);
    co_return refusal(Outcome::NotRun, Error, 503);
  }
  Granted.abandon();
  m_counters.m_unknown.fetch_add(1);
  co_return refusal(Outcome::Unknown, Error, 502);
}

} // namespace tamarackdrum

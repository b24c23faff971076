#include "tamarackdrum/request-proxy.h"

#include "tamarackdrum/error.h"
#include "tamarackdrum/sleep.h"

#include <boost/asio.hpp>
#include <boost/beast/http.hpp>
#include <charconv>

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace tamarackdrum {
namespace {

constexpr int MaxAttempts = 3;
constexpr Millis RepeatPause{20};
constexpr Millis MaxWait{60};
constexpr Millis WaitPoll{2};
constexpr unsigned FirstServerError = 500;
constexpr Millis OneSecond{1000};
constexpr Millis MaxServerWish{60000};

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

std::optional<std::int64_t> parseNumber(std::string_view Text) {
  std::int64_t Value = 0;
  const char *End = Text.data() + Text.size();
  const std::from_chars_result Parsed =
      std::from_chars(Text.data(), End, Value);
  if (Parsed.ec != std::errc() || Parsed.ptr != End)
    return std::nullopt;
  return Value;
}

std::string_view header(const HttpRequest &Call, std::string_view Name) {
  const auto Found = Call.find(Name);
  if (Found == Call.end())
    return {};
  return {Found->value().data(), Found->value().size()};
}

/// Returns the time that the caller gives, the class's at most.
Result<Millis> timeGiven(const HttpRequest &Call, Millis ClassDeadline) {
  const std::string_view Text = header(Call, "Tamarack-Deadline-Ms");
  if (Text.empty())
    return ClassDeadline;
  const std::optional<std::int64_t> Wanted = parseNumber(Text);
  if (!Wanted || *Wanted < 0)
    return std::error_code(RouteErrc::DeadlineInvalid);
  if (*Wanted == 0)
    return std::error_code(RouteErrc::DeadlinePassed);
  return std::min(Millis(*Wanted), ClassDeadline);
}

ReplyFacts factsOf(const HttpResponse &Reply) {
  ReplyFacts Out;
  Out.m_status = Reply.result_int();
  Out.m_saysNotRun = Reply.find("X-Not-Run") != Reply.end();
  const auto Wish = Reply.find(http::field::retry_after);
  const std::optional<std::int64_t> Seconds =
      Wish == Reply.end() ? std::nullopt : parseNumber(Wish->value());
  if (Seconds && *Seconds > 0)
    Out.m_retryAfter =
        std::min(Millis(*Seconds * OneSecond.count()), MaxServerWish);
  return Out;
}

/// The right of a request to wait for a slot.
class WaitRight {
public:
  explicit WaitRight(const ClassRoutes &Routes)
      : m_load(Routes.m_load),
        m_isGiven(m_load->m_waiting.fetch_add(1) < Routes.m_maxWaiting) {}
  ~WaitRight() { m_load->m_waiting.fetch_sub(1); }
  WaitRight(const WaitRight &) = delete;
  WaitRight &operator=(const WaitRight &) = delete;

  bool isGiven() const { return m_isGiven; }

private:
  const std::shared_ptr<ClassLoad> m_load;
  const bool m_isGiven;
};

Exchange notRun(const std::error_code &Reason) {
  return {verdictOfRefusal(Reason), {}, {}};
}

} // namespace

HttpResponse toResponse(const Verdict &Final) {
  const std::string Reason = Final.m_reason.message();
  HttpResponse Response = makeResponse(
      Final.m_status, std::string("{\"outcome\":\"") + toText(Final.m_outcome) +
                          "\",\"reason\":\"" + Reason + "\"}");
  Response.set("Tamarack-Outcome", toText(Final.m_outcome));
  Response.set("Tamarack-Reason", Reason);
  if (Final.m_retryAfter <= Millis(0))
    return Response;
  const std::int64_t Wait = Final.m_retryAfter.count();
  const std::int64_t Seconds =
      (Wait + OneSecond.count() - 1) / OneSecond.count();
  Response.set(http::field::retry_after, std::to_string(Seconds));
  Response.set("Tamarack-Retry-After-Ms", std::to_string(Wait));
  return Response;
}

asio::awaitable<HttpResponse> RequestProxy::onCall(const HttpRequest &Call) {
  const Result<AdmittedCall> Admitted = admit(Call, BootClock::now());
  Exchange Done;
  if (Admitted)
    Done = co_await runAttempts(Admitted.value());
  else
    Done = notRun(Admitted.error());
  const Outcome Kind = Done.m_verdict.m_outcome;
  count(Kind);
  HttpResponse Answer = Kind == Outcome::Answered ? std::move(Done.m_reply)
                                                  : toResponse(Done.m_verdict);
  Answer.set("Tamarack-Outcome", toText(Kind));
  if (!Done.m_server.empty())
    Answer.set("Tamarack-Server", Done.m_server);
  co_return Answer;
}

Result<AdmittedCall> RequestProxy::admit(const HttpRequest &Call,
                                         TimePoint Now) const {
  const std::string_view Target(Call.target().data(), Call.target().size());
  AdmittedCall Out{Call, nullptr, parseTarget(Target)};
  Out.m_routes = m_router.findRoutes(Out.m_query.m_workClass);
  if (!Out.m_routes)
    return std::error_code(m_router.table() ? RouteErrc::UnknownClass
                                            : RouteErrc::NoLease);
  const ClassTarget &Class = Out.m_routes->m_target;
  if (Class.m_onceOnly && header(Call, "Idempotency-Key").empty())
    return std::error_code(RouteErrc::IdMissing);
  const Result<Millis> Time = timeGiven(Call, Class.m_deadline);
  if (!Time)
    return Time.error();
  Out.m_query.m_deadline = Now + Time.value();
  const std::string_view Method(Call.method_string().data(),
                                Call.method_string().size());
  Out.m_fingerprint = fingerprintOf(Method, Target, Call.body());
  return Out;
}

/// Dispatches until the call has a final verdict. A once-only call is
/// dispatched again only after an attempt that provably did not run.
asio::awaitable<Exchange> RequestProxy::runAttempts(AdmittedCall Call) {
  Call.m_routes->m_load->m_budget.noteRequest();
  Exchange Last = co_await attempt(Call);
  for (int Attempt = 1; Attempt < MaxAttempts; ++Attempt) {
    if (!mayRepeat(Call, Last))
      break;
    if (Call.m_routes->m_target.m_keyed)
      co_await sleepFor(RepeatPause * Attempt);
    if (BootClock::now() >= Call.m_query.m_deadline)
      break;
    m_counters.m_retries.fetch_add(1);
    const std::string Failed = Last.m_server;
    Call.m_query.m_excludeServer = Failed;
    Call.m_query.m_mayBorrow = false;
    Exchange Next = co_await attempt(Call);
    Next.m_verdict = combine(Last.m_verdict, Next.m_verdict);
    if (Next.m_server.empty()) {
      // Nothing was dispatched, so that the token is unused.
      Call.m_routes->m_load->m_budget.giveBack();
      Next.m_server = Failed;
      co_return Next;
    }
    Last = std::move(Next);
  }
  co_return Last;
}

bool RequestProxy::mayRepeat(const AdmittedCall &Call,
                             const Exchange &Last) const {
  const Verdict &Final = Last.m_verdict;
  if (Final.m_outcome == Outcome::Answered || Last.m_server.empty() ||
      !isRepeatable(Final, Call.m_routes->m_target))
    return false;
  const TimePoint Earliest =
      BootClock::now() +
      (Call.m_routes->m_target.m_keyed ? RepeatPause : Millis(0));
  return Earliest < Call.m_query.m_deadline &&
         (Last.m_hasToken || Call.m_routes->m_load->m_budget.take());
}

asio::awaitable<Exchange> RequestProxy::attempt(const AdmittedCall &Call) {
  if (m_poison.refuses(Call.m_fingerprint))
    co_return notRun(RouteErrc::Poisoned);
  // A call that may not be repeated has to fit into the stop with all its time.
  const TimePoint Latest = Call.m_routes->m_target.m_idempotent
                               ? BootClock::now()
                               : Call.m_query.m_deadline;
  if (Latest > m_end.load())
    co_return notRun(RouteErrc::Stopping);
  Result<Dispatch> Granted = co_await obtain(Call);
  if (!Granted)
    co_return notRun(Granted.error());
  co_return co_await forward(Call, std::move(Granted).value());
}

/// Waits for a slot for a short time if few others do so.
asio::awaitable<Result<Dispatch>>
RequestProxy::obtain(const AdmittedCall &Call) {
  Result<Dispatch> Granted = m_router.decide(Call.m_query, BootClock::now());
  if (Granted || Granted.error() != RouteErrc::Overloaded)
    co_return Granted;
  const WaitRight Right(*Call.m_routes);
  if (!Right.isGiven())
    co_return Granted;
  const TimePoint End =
      std::min(Call.m_query.m_deadline, BootClock::now() + MaxWait);
  do {
    co_await sleepFor(WaitPoll);
    Granted = m_router.decide(Call.m_query, BootClock::now());
  } while (!Granted && Granted.error() == RouteErrc::Overloaded &&
           BootClock::now() < End);
  co_return Granted;
}

asio::awaitable<Exchange> RequestProxy::forward(const AdmittedCall &Call,
                                                Dispatch Granted) {
  Exchange Out;
  Out.m_server = Granted.server().m_name;
  const Result<Endpoint> Server = parseEndpoint(Granted.server().m_address);
  if (!Server) {
    Granted.complete();
    Out.m_verdict = verdictOfRefusal(RouteErrc::NoServer);
    co_return Out;
  }
  HttpRequest Outgoing = Call.m_request;
  Outgoing.keep_alive(true);
  const TimePoint Start = BootClock::now();
  const TimePoint Deadline = std::min(Granted.deadline(), m_end.load());
  Outgoing.set("Tamarack-Deadline",
               std::to_string(toUnixMillis(Deadline, Start, unixMillis())));
  Outgoing.set("Tamarack-Epoch", std::to_string(Granted.epoch()));
  Result<HttpResponse> Reply =
      co_await m_client.send(Server.value(), std::move(Outgoing), Deadline);
  Out.m_verdict = Reply ? verdictOfReply(factsOf(Reply.value()))
                        : verdictOfFailure(Reply.error());
  if (Out.m_verdict.m_reason == RouteErrc::ServerRefused)
    Granted.noteRefusal(BootClock::now());
  Out.m_hasToken =
      Granted.isBorrowed() && Out.m_verdict.m_outcome != Outcome::Answered;
  if (Granted.isBorrowed() && !Out.m_hasToken)
    Call.m_routes->m_load->m_budget.giveBack();
  if (Reply || Out.m_verdict.m_outcome == Outcome::NotRun)
    Granted.complete();
  else
    Granted.abandon();
  if (Reply) {
    m_poison.noteAnswered(Call.m_fingerprint);
  } else if (Reply.error() == HttpErrc::ReplyTorn ||
             Reply.error() == HttpErrc::SendFailed) {
    co_await noteBroken(Call, Out.m_server, Server.value());
  }
  if (Reply)
    Out.m_reply = std::move(Reply).value();
  noteHealth(Out, Call.m_routes->m_target,
             std::chrono::duration_cast<Millis>(Deadline - Start));
  co_return Out;
}

/// Waits for the evidence of a crash only if the request may be dispatched
/// again; otherwise its caller gets the final answer at once.
asio::awaitable<void> RequestProxy::noteBroken(const AdmittedCall &Call,
                                               std::string Server,
                                               Endpoint Address) {
  asio::awaitable<void> Noting =
      m_poison.noteBroken(Call.m_fingerprint, std::move(Server), Address);
  if (Call.m_routes->m_target.m_idempotent)
    co_await std::move(Noting);
  else
    asio::co_spawn(co_await asio::this_coro::executor, std::move(Noting),
                   asio::detached);
}

void RequestProxy::noteHealth(const Exchange &Done, const ClassTarget &Target,
                              Millis TimeGiven) {
  const Verdict &Final = Done.m_verdict;
  const TimePoint Now = BootClock::now();
  if (Final.m_outcome == Outcome::Answered) {
    const bool IsFailure = Done.m_reply.result_int() >= FirstServerError;
    m_health.noteResult(Done.m_server, IsFailure, Now);
    return;
  }
  if (Final.m_reason == HttpErrc::ConnectFailed) {
    m_health.noteConnectRefused(Done.m_server, Now);
    return;
  }
  // A shed request, a full pool or a caller in a hurry is no failure of the
  // server.
  const bool IsHurried = TimeGiven * 2 < Target.m_deadline;
  if (Final.m_reason == RouteErrc::ServerRefused ||
      Final.m_reason == HttpErrc::PoolExhausted || IsHurried)
    return;
  m_health.noteResult(Done.m_server, true, Now);
}

void RequestProxy::count(Outcome Value) {
  if (Value == Outcome::Answered)
    m_counters.m_answered.fetch_add(1);
  else if (Value == Outcome::NotRun)
    m_counters.m_notRun.fetch_add(1);
  else
    m_counters.m_unknown.fetch_add(1);
}

} // namespace tamarackdrum

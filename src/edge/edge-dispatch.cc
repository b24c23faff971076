// The part of EdgeServer that dispatches requests to servers and forwards the
// answers.

#include "client-session.h"

#include "tamarackdrum/error.h"
#include "tamarackdrum/sleep.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <spdlog/fmt/fmt.h>

namespace tamarackdrum::gateway {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t PieceBytes = 16U << 10U;
/// Retry-After if a server refused or was unreachable: other servers are
/// expected to have a free slot within the time of one request.
constexpr Millis ServerRetryAfter{200};
/// Retry-After if the chosen server must no longer be used: the next decision
/// excludes it.
constexpr Millis GoneRetryAfter{500};
/// Requests with less time left are not dispatched.
constexpr Millis MinTimeToDispatch{20};
/// Time that this host waits for an answer beyond the deadline that it sends to
/// the server: the server ends its work at the deadline and then answers.
constexpr Millis TimeoutGrace{60};
/// Time before the end of a stop at which the last answers have to be there.
constexpr Millis StopAnswerTime{150};
/// Mean deviations by which a request may take longer than usual and still has
/// to end before a stop. An unsafe request that is cut cannot be repeated.
constexpr double UnsafeDeviations = 4;
constexpr double SafeDeviations = 2;
/// Time that a request may need if the usual time of its route is not known.
constexpr Millis UnknownAnswerTime{1000};
/// Servers that a request has not reached before it is sent through a peer.
constexpr unsigned UnreachableBeforeRelay = 2;

/// Returns whether the server reported that it did not run the request.
bool isRefusal(DispatchResult Value) {
  return Value == DispatchResult::Refused || Value == DispatchResult::NotHeld;
}

/// Returns the framing with which the client gets the body of \p Reply.
Framing replyFraming(const UpstreamReply &Reply, bool IsToHead) {
  const unsigned Status = Reply.m_parser->get().result_int();
  const boost::optional<std::uint64_t> Length =
      Reply.m_parser->content_length();
  if (Reply.m_hasMore)
    return Length ? Framing{false, *Length} : Framing{true, {}};
  if (IsToHead)
    return Length ? Framing{false, *Length} : Framing{};
  const bool HasNoBody = Status == 204 || Status == 304;
  return HasNoBody ? Framing{} : Framing{false, Reply.m_body.size()};
}

} // namespace

bool mayRetry(RequestKind Kind, DispatchResult Result, bool MayHaveRun,
              unsigned Dispatches, unsigned Attempts) {
  if (Result == DispatchResult::Unreachable)
    return !MayHaveRun || Kind == RequestKind::Safe;
  if (Dispatches >= Attempts)
    return false;
  if (isRefusal(Result))
    return !MayHaveRun || Kind == RequestKind::Safe;
  return Kind == RequestKind::Safe &&
         (Result == DispatchResult::Failed ||
          Result == DispatchResult::ConnectionLost);
}

Framing EdgeServer::requestFraming(const ClientRequest &Request) {
  const boost::optional<std::uint64_t> Length =
      Request.m_parser->content_length();
  if (!Request.m_isBodyWhole)
    return Length ? Framing{false, *Length} : Framing{true, {}};
  const bool HasBody =
      !Request.m_body.empty() || Request.m_parser->chunked() || Length;
  return HasBody ? Framing{false, Request.m_body.size()} : Framing{};
}

asio::awaitable<void>
EdgeServer::dispatch(SessionPtr Client,
                     std::shared_ptr<ClientRequest> Request) {
  bool MayContinue = true;
  while (MayContinue)
    MayContinue = co_await attemptDispatch(Client, Request);
  if (!Request->m_isAnswered)
    co_await answerUnserved(Client, Request);
}

DispatchRequest EdgeServer::makeAsk(const ClientRequest &Request) const {
  DispatchRequest Out;
  Out.m_route = Request.m_route->m_name;
  Out.m_key = Request.m_key;
  Out.m_priority = Request.m_route->m_priority;
  Out.m_isRetry = Request.m_dispatches > 0;
  Out.m_objectiveLeft = std::max(Millis(0), timeLeft(Request.m_objectiveAt));
  Out.m_timeLeft = timeLeft(Request.m_deadline);
  Out.m_triedServers = Request.m_triedServers;
  Out.m_backoffs =
      m_restingServers.activeFor(Request.m_service->m_name, BootClock::now());
  return Out;
}

bool EdgeServer::canEndBeforeStop(const ClientRequest &Request) const {
  if (!m_isDraining)
    return true;
  // Nobody knows how long the client needs for the rest of a long body.
  if (!Request.m_isBodyWhole)
    return false;
  const Route &Item = *Request.m_route;
  const auto Found = m_answerTimes.find(Item.m_name);
  Millis Needed = UnknownAnswerTime;
  if (Found != m_answerTimes.end())
    Needed = upperBound(Found->second, Item.m_kind == RequestKind::Safe
                                           ? SafeDeviations
                                           : UnsafeDeviations);
  return timeLeft(m_drainEnd) >= Needed + StopAnswerTime;
}

bool EdgeServer::fitIntoStop(ClientRequest &Request) const {
  if (m_isDraining)
    Request.m_deadline =
        std::min(Request.m_deadline, m_drainEnd - StopAnswerTime);
  Request.m_isHostStopping = !canEndBeforeStop(Request);
  return !Request.m_isHostStopping;
}

const ServerEntry *EdgeServer::findUsableServer(ClientRequest &Request,
                                                const AdmissionResult &Taken) {
  const std::string &Id = Taken.m_decision.m_server;
  const ServerEntry *Server = m_callbacks.m_findServer(Id);
  // The coordinator may not have received yet what this host knows.
  const bool IsGone = Server == nullptr || !mayGetRequests(*Server);
  const Millis Rest =
      IsGone ? Millis(0)
             : m_restingServers.remaining(*Server, BootClock::now());
  if (!Request.m_isClientGone && !IsGone && Rest == Millis(0))
    return Server;
  m_admission.finish(Request.m_service->m_name, Taken,
                     DispatchResult::Withdrawn, Millis(0));
  if (IsGone)
    Request.m_triedServers.push_back(Id);
  if (Server != nullptr && Server->m_isEvacuated)
    m_metrics.count("evacuated_server_chosen",
                    fmt::format("service=\"{}\"", Request.m_service->m_name));
  Request.m_refusal.m_reason =
      IsGone ? RefusalReason::NoServer : RefusalReason::ServerBackoff;
  Request.m_refusal.m_retryAfter = IsGone ? GoneRetryAfter : Rest;
  return nullptr;
}

asio::awaitable<bool>
EdgeServer::attemptDispatch(SessionPtr Client,
                            std::shared_ptr<ClientRequest> Request) {
  const bool MayEnd = fitIntoStop(*Request);
  DispatchRequest Ask = makeAsk(*Request);
  if (!MayEnd || Ask.m_timeLeft < MinTimeToDispatch)
    co_return false;
  const TimePoint AskedAt = BootClock::now();
  const AdmissionResult Taken = co_await m_admission.acquire(
      Request->m_service->m_name, std::move(Ask), Request->m_admissionHandle);
  const Millis Waited =
      std::chrono::duration_cast<Millis>(BootClock::now() - AskedAt);
  Request->m_slotWait += Waited;
  m_metrics.recordWait(Request->m_service->m_name, Waited);
  Request->m_places.append(Request->m_places.empty() ? "" : ",")
      .append(toText(Taken.m_place));
  if (Taken.m_decision.m_server.empty()) {
    Request->m_refusal = Taken.m_decision;
    co_return false;
  }
  if (!fitIntoStop(*Request)) {
    m_admission.finish(Request->m_service->m_name, Taken,
                       DispatchResult::Withdrawn, Millis(0));
    co_return false;
  }
  // On a host short of processor time, watchForDisconnect() may run late.
  Request->m_isClientGone = Request->m_isClientGone || isDisconnected(*Client);
  const ServerEntry *Server = findUsableServer(*Request, Taken);
  if (Server == nullptr)
    co_return !Request->m_isClientGone &&
        ++Request->m_unreachableAttempts < m_policy.m_maxUnreachableAttempts;
  const ServerEntry Chosen = *Server;
  UpstreamRequest Upstream = makeRequest(Client, Request, Chosen);
  Upstream.m_onHead = [this, Service = Request->m_service->m_name,
                       Taken](DispatchResult Result, Millis ServiceTime,
                              const AnswerReport &Report) {
    m_admission.finish(Service, Taken, Result, ServiceTime, Report);
  };
  const std::size_t SentBytes = Upstream.m_head.size() + Upstream.m_body.size();
  Request->m_sentAt = BootClock::now();
  UpstreamReply Reply = co_await sendUpstream(std::move(Upstream), Request);
  co_await stopBodySource(Client, Request);
  // The loss of a peer tells nothing about the server.
  m_admission.finish(Request->m_service->m_name, Taken,
                     Reply.m_isPeerLost ? DispatchResult::Withdrawn
                                        : Reply.m_result,
                     Reply.m_serviceTime);
  recordReply(*Request, Chosen, Reply, SentBytes);
  if (Reply.m_result == DispatchResult::Served) {
    co_await forwardReply(Client, Request, Reply);
    if (Reply.m_result == DispatchResult::ConnectionLost)
      handleBrokenOff(Request->m_fingerprint, Chosen);
    co_return false;
  }
  if (Reply.m_result == DispatchResult::NotHeld && Request->m_key) {
    m_callbacks.m_onNotHeld(Request->m_service->m_name, *Request->m_key);
    co_await sleepFor(m_policy.m_notHeldRetryDelay);
  }
  if (Reply.m_result == DispatchResult::Failed && !Reply.m_hasMore)
    Request->m_lastReply = std::move(Reply);
  else
    Request->m_lastReply = UpstreamReply{};
  co_return shouldRetry(*Request);
}

asio::awaitable<UpstreamReply>
EdgeServer::sendUpstream(UpstreamRequest Upstream,
                         std::shared_ptr<ClientRequest> Request) {
  CancelToken &Token = Request->m_cancelToken;
  // Connections that are open may still work while new ones fail.
  const bool IsSuspected =
      m_contacts.isSuspected() ||
      (m_contacts.isEnabled() &&
       Request->m_unreachableAttempts >= UnreachableBeforeRelay);
  const bool IsCutOff = m_contacts.isCutOff();
  // A body that is too long to be buffered cannot be relayed.
  if (IsCutOff && Upstream.m_bodySource) {
    UpstreamReply Refused;
    Refused.m_result = DispatchResult::Withdrawn;
    co_return Refused;
  }
  if (IsCutOff ||
      (IsSuspected && !Upstream.m_bodySource && m_relay.hasPeer())) {
    Request->m_places.append(",relay");
    UpstreamReply Relayed = co_await m_relay.execute(Upstream, Token);
    const bool IsTaken =
        Relayed.m_isSent || Relayed.m_result != DispatchResult::Withdrawn;
    if (IsCutOff || IsTaken || Token.isCancelled())
      co_return Relayed;
  }
  const std::string Server = Upstream.m_server.m_id;
  const bool IsSafe = Upstream.m_isSafe && !Upstream.m_bodySource;
  const std::uint32_t Attempt =
      m_contacts.begin(IsSafe ? &Token : nullptr,
                       [this, Request] { return canResend(*Request); });
  UpstreamReply Reply =
      co_await m_upstreamClient.execute(std::move(Upstream), Token);
  m_contacts.end(Attempt, Server, Reply);
  co_return Reply;
}

void EdgeServer::recordReply(ClientRequest &Request, const ServerEntry &Server,
                             const UpstreamReply &Reply,
                             std::size_t SentBytes) {
  const std::string &Service = Request.m_service->m_name;
  m_metrics.countServerBytes(Service, Server.m_zone != m_hosts.self().m_zone,
                             SentBytes + Reply.m_body.size());
  m_metrics.count("dispatches",
                  fmt::format("service=\"{}\",result=\"{}\"", Service,
                              static_cast<int>(Reply.m_result)));
  Request.m_lastServer = Server.m_id;
  Request.m_lastResult = Reply.m_result;
  if (Reply.m_isSent) {
    ++Request.m_dispatches;
    Request.m_connections.append(Request.m_connections.empty() ? "" : ",")
        .append(std::to_string(Reply.m_connectionNumber));
  }
  const bool MayHaveRun = Reply.m_isSent && !isRefusal(Reply.m_result);
  Request.m_mayHaveRun = Request.m_mayHaveRun || MayHaveRun;
  // Of a relayed request the peer knows better.
  if (Reply.m_result == DispatchResult::ConnectionLost && !Reply.m_isRelayed)
    handleBrokenOff(Request.m_fingerprint, Server);
  if (Reply.m_isLeaving)
    m_callbacks.m_onLeaving(Server);
  if (Reply.m_restTime > Millis(0)) {
    m_restingServers.extend(Server, Reply.m_restTime, BootClock::now());
    m_log.writeRequest("server-rests", {{"request", Request.m_id},
                                        {"server", Server.m_id},
                                        {"service", Service},
                                        {"for_ms", Reply.m_restTime}});
  }
  if (!Reply.m_unreadableLimit.empty())
    m_log.writeRequest("server-limit-unreadable",
                       {{"request", Request.m_id},
                        {"server", Server.m_id},
                        {"service", Service},
                        {"text", Reply.m_unreadableLimit}});
  if (!Reply.m_unreadableLoad.empty())
    m_log.writeRequest("server-load-unreadable",
                       {{"request", Request.m_id},
                        {"server", Server.m_id},
                        {"service", Service},
                        {"text", Reply.m_unreadableLoad}});
  // A server that fails may do so at once.
  if (Reply.m_result == DispatchResult::Served && !Reply.m_hasMore)
    recordAnswerTime(Request);
  // Also a server that answers with a failure has not crashed.
  const bool IsAnswer = Reply.m_result == DispatchResult::Served ||
                        Reply.m_result == DispatchResult::Failed;
  if (IsAnswer && !Reply.m_hasMore)
    m_callbacks.m_onAnswered(Request.m_fingerprint);
  if (Reply.m_result != DispatchResult::Served)
    Request.m_triedServers.push_back(Server.m_id);
}

void EdgeServer::recordAnswerTime(const ClientRequest &Request) {
  DurationEstimate &Known = m_answerTimes[Request.m_route->m_name];
  Known = withSample(Known, std::chrono::duration_cast<Millis>(
                                BootClock::now() - Request.m_sentAt));
}

bool EdgeServer::shouldRetry(ClientRequest &Request) const {
  const bool IsTrialSent = Request.m_isTrial && Request.m_mayHaveRun;
  if (Request.m_isClientGone || Request.m_isStreaming || IsTrialSent)
    return false;
  if (Request.m_lastResult == DispatchResult::Unreachable &&
      ++Request.m_unreachableAttempts >= m_policy.m_maxUnreachableAttempts)
    return false;
  return mayRetry(Request.m_route->m_kind, Request.m_lastResult,
                  Request.m_mayHaveRun, Request.m_dispatches,
                  Request.m_route->m_attempts);
}

bool EdgeServer::canResend(const ClientRequest &Request) const {
  // A stop leaves no time for a second attempt that fails as well.
  return !m_isDraining && !Request.m_isTrial &&
         Request.m_dispatches + 1 < Request.m_route->m_attempts;
}

asio::awaitable<void>
EdgeServer::answerUnserved(SessionPtr Client,
                           std::shared_ptr<ClientRequest> Request) {
  if (Request->m_isClientGone) {
    recordOutcome(*Request, 0, "client left");
    co_return;
  }
  if (Request->m_lastReply.m_parser != nullptr) {
    co_await forwardReply(Client, Request, Request->m_lastReply);
    co_return;
  }
  if (Request->m_mayHaveRun) {
    const bool IsLate = Request->m_lastResult == DispatchResult::TimedOut;
    const unsigned Status = IsLate ? 504 : 502;
    const bool HasFailed = Request->m_lastResult == DispatchResult::Failed;
    const std::string_view Reason = IsLate      ? "no answer in time"
                                    : HasFailed ? "server failed"
                                    : Request->m_isHostStopping
                                        ? "stopped before the answer"
                                        : "connection broke";
    co_await sendAnswer(Client, Request, Status, Reason, Millis(0));
    co_return;
  }
  if (!Request->m_isHostStopping &&
      Request->m_refusal.m_reason != RefusalReason::None) {
    co_await sendAnswer(Client, Request, 503,
                        toText(Request->m_refusal.m_reason),
                        Request->m_refusal.m_retryAfter);
    co_return;
  }
  if (Request->m_isHostStopping) {
    co_await sendAnswer(Client, Request, 503, "stopping", StoppingRetryAfter);
    co_return;
  }
  const bool IsRefused = isRefusal(Request->m_lastResult);
  const std::string_view Reason =
      IsRefused ? "server refused" : "server unreachable";
  co_await sendAnswer(Client, Request, 503, Reason, ServerRetryAfter);
}

BodySource
EdgeServer::makeBodySource(SessionPtr Client,
                           std::shared_ptr<ClientRequest> Request) const {
  const bool IsChunked = !Request->m_parser->content_length();
  const std::shared_ptr<bool> IsEnded = std::make_shared<bool>(false);
  return [Client, Request, IsChunked,
          IsEnded]() -> asio::awaitable<Result<std::string>> {
    RequestParser &Parser = *Request->m_parser;
    Request->m_isStreaming = true;
    std::string Piece(PieceBytes, '\0');
    std::size_t Length = 0;
    while (!Parser.is_done() && Length == 0) {
      Parser.get().body().data = Piece.data();
      Parser.get().body().size = Piece.size();
      Request->m_isBodyBeingRead = true;
      const auto [Error, Count] = co_await http::async_read_some(
          Client->m_stream, Client->m_buffer, Parser, UseTuple);
      Request->m_isBodyBeingRead = false;
      Length = Piece.size() - Parser.get().body().size;
      if (Error && Error != http::error::need_buffer)
        co_return HttpErrc::SendFailed;
    }
    Piece.resize(Length);
    if (!IsChunked)
      co_return Piece;
    if (Length > 0)
      co_return makeChunk(Piece);
    if (*IsEnded)
      co_return std::string();
    *IsEnded = true;
    co_return std::string("0\r\n\r\n");
  };
}

asio::awaitable<void>
EdgeServer::stopBodySource(SessionPtr Client,
                           std::shared_ptr<ClientRequest> Request) {
  while (Request->m_isBodyBeingRead) {
    Client->m_stream.cancel();
    co_await sleepFor(Millis(1));
  }
}

UpstreamRequest EdgeServer::makeRequest(SessionPtr Client,
                                        std::shared_ptr<ClientRequest> Request,
                                        const ServerEntry &Server) const {
  UpstreamRequest Out;
  Out.m_server = Server;
  const Framing Body = requestFraming(*Request);
  Out.m_head = makeRequestHead(Request->head(), Body, m_settings.m_headers,
                               Server, timeLeft(Request->m_deadline));
  Out.m_body = Body.m_isChunked ? makeChunk(Request->m_body) : Request->m_body;
  if (!Request->m_isBodyWhole)
    Out.m_bodySource = makeBodySource(std::move(Client), Request);
  Out.m_requestId = Request->m_id;
  Out.m_isHeadRequest = Request->head().method() == http::verb::head;
  Out.m_isSafe = Request->m_route->m_kind == RequestKind::Safe;
  Out.m_deadline = Request->m_deadline + TimeoutGrace;
  // All hosts share the connections of a server; half of them may be idle.
  const std::size_t Hosts = m_hosts.hostCount();
  Out.m_maxIdleConnections = std::max<std::size_t>(
      1, Request->m_service->m_maxConnections / (2 * Hosts));
  return Out;
}

asio::awaitable<void>
EdgeServer::forwardReply(SessionPtr Client,
                         std::shared_ptr<ClientRequest> Request,
                         UpstreamReply &Reply) {
  Request->m_isAnswered = true;
  const ReplyHead &Head = Reply.m_parser->get();
  unsigned Status = Head.result_int();
  // The server has not said that the request did not run; see resultOf().
  if (promisesNotRun(Status)) {
    const std::string Reason = fmt::format("server failed with {}", Status);
    co_await sendAnswer(Client, Request, 502, Reason, Millis(0));
    co_return;
  }
  if (m_isDraining || !Request->m_parser->is_done())
    Client->m_mustClose = true;
  const Framing Body =
      replyFraming(Reply, Request->head().method() == http::verb::head);
  std::string Out =
      makeReplyHead(Head, Body, Client->m_mustClose, nameIdleLimit(*Client));
  Out.append(Body.m_isChunked ? makeChunk(Reply.m_body) : Reply.m_body);
  bool IsSent = co_await write(Client, std::move(Out));
  while (IsSent && Reply.m_hasMore) {
    Result<std::string> Piece = co_await m_upstreamClient.readMore(Reply);
    if (!Piece) {
      if (Piece.error() == HttpErrc::ReplyTorn)
        Reply.m_result = DispatchResult::ConnectionLost;
      // Closing the connection without the end of the body lets the client
      // detect the truncated answer.
      recordOutcome(*Request, Status, "torn answer");
      Client->m_mustClose = true;
      Client->m_stream.close();
      co_return;
    }
    const bool IsLast = Piece.value().empty();
    if (IsLast && Body.m_isChunked) {
      std::string End = "0\r\n\r\n";
      IsSent = co_await write(Client, std::move(End));
    }
    if (IsLast) {
      recordAnswerTime(*Request);
      m_callbacks.m_onAnswered(Request->m_fingerprint);
      break;
    }
    std::string Bytes =
        Body.m_isChunked ? makeChunk(Piece.value()) : Piece.value();
    IsSent = co_await write(Client, std::move(Bytes));
  }
  if (!IsSent)
    Request->m_isClientGone = true;
  recordOutcome(*Request, Status, "");
}

} // namespace tamarackdrum::gateway

// The part of EdgeServer that brings a request to a server and its answer back.

#include "client-session.h"

#include "tamarackdrum/error.h"
#include "tamarackdrum/sleep.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <spdlog/fmt/fmt.h>

namespace tamarackdrum::gateway {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t PieceBytes = 16U << 10U;
/// Retry-After where a server has refused or could not be reached: others have
/// room within the time of a request.
constexpr Millis ServerRetryAfter{200};
/// Retry-After where the chosen server is no longer to be used: the next
/// decision is made without it.
constexpr Millis GoneRetryAfter{500};
/// Least time that is worth another dispatch.
constexpr Millis LeastTime{20};
/// The server ends work by itself at the deadline that it is told; this host
/// waits that much longer for its answer.
constexpr Millis TimeoutGrace{60};

/// Returns whether the server has said that it did not run the request.
bool isRefusal(DispatchResult Value) {
  return Value == DispatchResult::Refused || Value == DispatchResult::NotHeld;
}

/// Returns how the client learns where the body of \p Reply ends.
Framing replyFraming(const UpstreamReply &Reply, bool IsToHead) {
  const unsigned Status = Reply.m_head->get().result_int();
  const boost::optional<std::uint64_t> Length = Reply.m_head->content_length();
  if (Reply.m_isTooLong)
    return Length ? Framing{false, *Length} : Framing{true, {}};
  if (IsToHead)
    return Length ? Framing{false, *Length} : Framing{};
  const bool HasNoBody = Status == 204 || Status == 304;
  return HasNoBody ? Framing{} : Framing{false, Reply.m_body.size()};
}

} // namespace

bool mayDispatchAgain(RequestKind Kind, DispatchResult Result, bool WasRun,
                      unsigned Dispatches, unsigned Attempts) {
  if (Result == DispatchResult::Unreachable)
    return !WasRun || Kind == RequestKind::Safe;
  if (Dispatches >= Attempts)
    return false;
  if (isRefusal(Result))
    return !WasRun || Kind == RequestKind::Safe;
  return Kind == RequestKind::Safe &&
         (Result == DispatchResult::Failed ||
          Result == DispatchResult::ConnectionLost);
}

Framing EdgeServer::requestFraming(const Exchange &Item) {
  const boost::optional<std::uint64_t> Length = Item.m_parser->content_length();
  if (!Item.m_isBodyWhole)
    return Length ? Framing{false, *Length} : Framing{true, {}};
  const bool HasBody =
      !Item.m_body.empty() || Item.m_parser->chunked() || Length;
  return HasBody ? Framing{false, Item.m_body.size()} : Framing{};
}

asio::awaitable<void> EdgeServer::dispatch(SessionPtr Client,
                                           std::shared_ptr<Exchange> Item) {
  bool GoesOn = true;
  while (GoesOn)
    GoesOn = co_await tryOnce(Client, Item);
  if (!Item->m_isAnswered)
    co_await settle(Client, Item);
}

DispatchRequest EdgeServer::makeAsk(const Exchange &Item) const {
  DispatchRequest Out;
  Out.m_route = Item.m_route->m_name;
  Out.m_key = Item.m_key;
  Out.m_priority = Item.m_route->m_priority;
  Out.m_isRetry = Item.m_dispatches > 0;
  Out.m_objectiveLeft = std::max(Millis(0), left(Item.m_objectiveAt));
  Out.m_timeLeft = left(Item.m_endsAt);
  Out.m_triedServers = Item.m_tried;
  Out.m_backoffs = m_rests.activeFor(Item.m_service->m_name, BootClock::now());
  return Out;
}

const ServerEntry *EdgeServer::checkServer(Exchange &Item,
                                           const Admitted &Taken) {
  const std::string &Id = Taken.m_decision.m_server;
  const ServerEntry *Server = m_view.m_findServer(Id);
  // Whoever decided may not know yet what this host has been told.
  const bool IsGone = Server == nullptr || Server->m_isDraining;
  const Millis Rest =
      IsGone ? Millis(0) : m_rests.remaining(*Server, BootClock::now());
  if (!Item.m_isClientGone && !IsGone && Rest == Millis(0))
    return Server;
  m_slots.finish(Item.m_service->m_name, Taken, DispatchResult::Withdrawn,
                 Millis(0));
  if (IsGone)
    Item.m_tried.push_back(Id);
  Item.m_refusal.m_reason =
      IsGone ? RefusalReason::NoServer : RefusalReason::ServerBackoff;
  Item.m_refusal.m_retryAfter = IsGone ? GoneRetryAfter : Rest;
  return nullptr;
}

/// One slot and one server. Returns whether to go on with another.
asio::awaitable<bool> EdgeServer::tryOnce(SessionPtr Client,
                                          std::shared_ptr<Exchange> Item) {
  DispatchRequest Ask = makeAsk(*Item);
  if (Ask.m_timeLeft < LeastTime)
    co_return false;
  const TimePoint AskedAt = BootClock::now();
  const Admitted Taken = co_await m_slots.acquire(Item->m_service->m_name,
                                                  std::move(Ask), Item->m_wait);
  const Millis Waited =
      std::chrono::duration_cast<Millis>(BootClock::now() - AskedAt);
  Item->m_waited += Waited;
  m_metrics.recordWait(Item->m_service->m_name, Waited);
  Item->m_places.append(Item->m_places.empty() ? "" : ",")
      .append(toText(Taken.m_place));
  if (Taken.m_decision.m_server.empty()) {
    Item->m_refusal = Taken.m_decision;
    co_return false;
  }
  // A host with too little processor time learns late that a client has left.
  Item->m_isClientGone = Item->m_isClientGone || hasLeft(*Client);
  const ServerEntry *Server = checkServer(*Item, Taken);
  if (Server == nullptr)
    co_return !Item->m_isClientGone &&
        ++Item->m_unreachable < m_policy.m_unreachableTries;
  const ServerEntry Chosen = *Server;
  UpstreamRequest Request = makeRequest(Client, Item, Chosen);
  Request.m_onHead = [this, Service = Item->m_service->m_name,
                      Taken](DispatchResult Result, Millis ServiceTime) {
    m_slots.finish(Service, Taken, Result, ServiceTime);
  };
  const std::size_t SentBytes = Request.m_head.size() + Request.m_body.size();
  UpstreamReply Reply =
      co_await m_upstreams.run(std::move(Request), Item->m_control);
  m_slots.finish(Item->m_service->m_name, Taken, Reply.m_result, Reply.m_time);
  noteReply(*Item, Chosen, Reply, SentBytes);
  if (Reply.m_result == DispatchResult::Served) {
    co_await relay(Client, Item, Reply);
    co_return false;
  }
  if (Reply.m_result == DispatchResult::NotHeld && Item->m_key) {
    m_view.m_onNotHeld(Item->m_service->m_name, *Item->m_key);
    co_await sleepFor(m_policy.m_notHeldPause);
  }
  if (Reply.m_result == DispatchResult::Failed && !Reply.m_isTooLong)
    Item->m_reply = std::move(Reply);
  else
    Item->m_reply = UpstreamReply{};
  co_return goesOn(*Item);
}

void EdgeServer::noteReply(Exchange &Item, const ServerEntry &Server,
                           const UpstreamReply &Reply, std::size_t SentBytes) {
  const std::string &Service = Item.m_service->m_name;
  m_metrics.countServerBytes(Service, Server.m_zone != m_hosts.self().m_zone,
                             SentBytes + Reply.m_body.size());
  m_metrics.count("dispatches",
                  fmt::format("service=\"{}\",result=\"{}\"", Service,
                              static_cast<int>(Reply.m_result)));
  Item.m_lastServer = Server.m_id;
  Item.m_lastResult = Reply.m_result;
  if (Reply.m_isSent)
    ++Item.m_dispatches;
  const bool MayHaveRun = Reply.m_isSent && !isRefusal(Reply.m_result);
  Item.m_wasRun = Item.m_wasRun || MayHaveRun;
  if (Reply.m_result == DispatchResult::ConnectionLost)
    asio::co_spawn(m_executor, checkCrash(Item.m_fingerprint, Server),
                   asio::detached);
  if (Reply.m_isLeaving)
    m_view.m_onLeaving(Server);
  if (Reply.m_rest > Millis(0)) {
    m_rests.extend(Server, Reply.m_rest, BootClock::now());
    m_log.writeRequest("server-rests", {{"request", Item.m_id},
                                        {"server", Server.m_id},
                                        {"service", Service},
                                        {"for_ms", Reply.m_rest}});
  }
  if (Reply.m_result == DispatchResult::Served)
    m_poison.noteAnswered(Item.m_fingerprint, bootMillis());
  else
    Item.m_tried.push_back(Server.m_id);
}

bool EdgeServer::goesOn(Exchange &Item) const {
  if (Item.m_isClientGone || Item.m_isStreaming)
    return false;
  if (Item.m_lastResult == DispatchResult::Unreachable &&
      ++Item.m_unreachable >= m_policy.m_unreachableTries)
    return false;
  return mayDispatchAgain(Item.m_route->m_kind, Item.m_lastResult,
                          Item.m_wasRun, Item.m_dispatches,
                          Item.m_route->m_attempts);
}

/// Answers a request that no server has served.
asio::awaitable<void> EdgeServer::settle(SessionPtr Client,
                                         std::shared_ptr<Exchange> Item) {
  if (Item->m_isClientGone) {
    account(*Item, 0, "client left");
    co_return;
  }
  if (Item->m_reply.m_head != nullptr) {
    co_await relay(Client, Item, Item->m_reply);
    co_return;
  }
  if (Item->m_wasRun) {
    const bool IsLate = Item->m_lastResult == DispatchResult::TimedOut;
    const unsigned Status = IsLate ? 504 : 502;
    const std::string_view Reason =
        IsLate ? "no answer in time" : "connection broke";
    co_await answer(Client, Item, Status, Reason, Millis(0));
    co_return;
  }
  if (!Item->m_isStopped && Item->m_refusal.m_reason != RefusalReason::None) {
    co_await answer(Client, Item, 503, toText(Item->m_refusal.m_reason),
                    Item->m_refusal.m_retryAfter);
    co_return;
  }
  if (Item->m_isStopped) {
    co_await answer(Client, Item, 503, "stopping", StoppingRetryAfter);
    co_return;
  }
  const bool IsRefused = isRefusal(Item->m_lastResult);
  const std::string_view Reason =
      IsRefused ? "server refused" : "server unreachable";
  co_await answer(Client, Item, 503, Reason, ServerRetryAfter);
}

BodySource EdgeServer::makeSource(SessionPtr Client,
                                  std::shared_ptr<Exchange> Item) const {
  const bool IsChunked = !Item->m_parser->content_length();
  const std::shared_ptr<bool> IsEnded = std::make_shared<bool>(false);
  return [Client, Item, IsChunked,
          IsEnded]() -> asio::awaitable<Result<std::string>> {
    RequestParser &Parser = *Item->m_parser;
    Item->m_isStreaming = true;
    std::string Piece(PieceBytes, '\0');
    std::size_t Length = 0;
    while (!Parser.is_done() && Length == 0) {
      Parser.get().body().data = Piece.data();
      Parser.get().body().size = Piece.size();
      const auto [Error, Count] = co_await http::async_read_some(
          Client->m_stream, Client->m_buffer, Parser, UseTuple);
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

UpstreamRequest EdgeServer::makeRequest(SessionPtr Client,
                                        std::shared_ptr<Exchange> Item,
                                        const ServerEntry &Server) const {
  UpstreamRequest Out;
  Out.m_server = Server;
  const Framing Body = requestFraming(*Item);
  Out.m_head = makeRequestHead(Item->head(), Body, m_settings.m_headers, Server,
                               left(Item->m_endsAt));
  Out.m_body = Body.m_isChunked ? makeChunk(Item->m_body) : Item->m_body;
  if (!Item->m_isBodyWhole)
    Out.m_more = makeSource(std::move(Client), Item);
  Out.m_requestId = Item->m_id;
  Out.m_isHead = Item->head().method() == http::verb::head;
  Out.m_isSafe = Item->m_route->m_kind == RequestKind::Safe;
  Out.m_endsAt = Item->m_endsAt + TimeoutGrace;
  // All hosts share the connections of a server; half are left for use.
  const std::size_t Hosts = m_hosts.hostCount();
  Out.m_maxIdle =
      std::max<std::size_t>(1, Item->m_service->m_maxConnections / (2 * Hosts));
  return Out;
}

asio::awaitable<void> EdgeServer::checkCrash(std::uint64_t Fingerprint,
                                             ServerEntry Server) {
  const bool IsDown = co_await m_upstreams.isDown(Server.m_address);
  m_log.writeRequest("server-broke-off",
                     {{"server", Server.m_id},
                      {"address", Server.m_address},
                      {"is_down", IsDown},
                      {"fingerprint", std::to_string(Fingerprint)}});
  if (IsDown)
    m_view.m_onCrash(Fingerprint, Server);
}

asio::awaitable<void> EdgeServer::relay(SessionPtr Client,
                                        std::shared_ptr<Exchange> Item,
                                        UpstreamReply &Reply) {
  Item->m_isAnswered = true;
  const ReplyHead &Head = Reply.m_head->get();
  unsigned Status = Head.result_int();
  // These promise that the request has not run; the server has not said so.
  if (Reply.m_result == DispatchResult::Failed && Status == 503) {
    co_await answer(Client, Item, 502, "server failed with 503", Millis(0));
    co_return;
  }
  if (m_isDraining)
    Client->m_mustClose = true;
  const Framing Body =
      replyFraming(Reply, Item->head().method() == http::verb::head);
  std::string Out = makeReplyHead(Head, Body, Client->m_mustClose);
  Out.append(Body.m_isChunked ? makeChunk(Reply.m_body) : Reply.m_body);
  bool IsSent = co_await write(Client, std::move(Out));
  while (IsSent && Reply.m_isTooLong) {
    Result<std::string> Piece = co_await m_upstreams.readMore(Reply);
    if (!Piece) {
      // The answer must be seen to be torn: no end of it is sent.
      account(*Item, Status, "torn answer");
      Client->m_mustClose = true;
      Client->m_stream.close();
      co_return;
    }
    const bool IsLast = Piece.value().empty();
    if (IsLast && Body.m_isChunked) {
      std::string End = "0\r\n\r\n";
      IsSent = co_await write(Client, std::move(End));
    }
    if (IsLast)
      break;
    std::string Bytes =
        Body.m_isChunked ? makeChunk(Piece.value()) : Piece.value();
    IsSent = co_await write(Client, std::move(Bytes));
  }
  if (!IsSent)
    Item->m_isClientGone = true;
  account(*Item, Status, "");
}

} // namespace tamarackdrum::gateway

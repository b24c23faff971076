#include "tamarackdrum/gateway/upstream-client.h"

#include "tamarackdrum/error.h"
#include "tamarackdrum/gateway/message-head.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <charconv>
#include <cmath>
#include <cstdlib>
#include <spdlog/fmt/fmt.h>

namespace tamarackdrum::gateway {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);

/// Answers up to this length are read whole before they are forwarded, so that
/// the request can be sent again if the answer is truncated. Answers of the
/// users' services have up to 30 KB.
constexpr std::size_t MaxBufferedReplyBytes = 128U << 10U;
constexpr std::size_t PieceBytes = 16U << 10U;
/// Shorter requests are written before the answer is read, because they fit
/// into the send buffer of a socket. Longer ones are written concurrently.
constexpr std::size_t ShortRequestBytes = 16U << 10U;
/// Idle time after which a connection is not used for an unsafe request: if the
/// server has closed it, the request cannot be sent again.
constexpr Millis UnsafeMaxIdle{2500};
/// Limit for answers to earlier requests that arrive first on a connection.
constexpr int MaxStaleReplies = 2;
/// Limit for interim (1xx) answers before the final one.
constexpr int MaxInterimReplies = 8;
/// Added to the deadline of a request for reading its answer: the server ends
/// its work by itself at the deadline.
constexpr Millis AnswerGrace{80};
constexpr Millis ProbeTimeout{250};
/// A health check waits for a slot of its server.
constexpr Millis HealthTimeout{600};
constexpr std::size_t MaxHealthAnswerBytes = 64U << 10U;
/// Upper limit of the time without requests that a server can ask for; guards
/// against invalid values.
constexpr std::chrono::hours MaxRestTime{1};
constexpr std::uint32_t HeaderBytes = 64U << 10U;
/// Part of an unreadable header value that is logged.
constexpr std::size_t MaxLoggedHeaderBytes = 64;

Millis elapsed(TimePoint Since) {
  return std::chrono::duration_cast<Millis>(BootClock::now() - Since);
}

/// Returns the timeout of a Keep-Alive header, "timeout=N" in seconds, or 0.
Millis keepAliveTime(std::string_view Value) {
  const std::string_view Name = "timeout=";
  const std::size_t Found = Value.find(Name);
  if (Found == std::string_view::npos)
    return Millis(0);
  unsigned Seconds = 0;
  const char *First = Value.data() + Found + Name.size();
  std::from_chars(First, Value.data() + Value.size(), Seconds);
  return std::chrono::seconds(Seconds);
}

/// Returns the time for which a server that answered with \p Head asks for no
/// requests: Retry-After of a 503 answer, else 0.
Millis restTime(const http::response_header<> &Head) {
  if (Head.result() != http::status::service_unavailable)
    return Millis(0);
  const std::string Text(Head[http::field::retry_after]);
  // The date form of the header is ignored: servers send seconds.
  char *End = nullptr;
  const double Seconds = std::strtod(Text.c_str(), &End);
  if (Text.empty() || *End != '\0' || !(Seconds > 0))
    return Millis(0);
  const double Longest =
      static_cast<double>(std::chrono::seconds(MaxRestTime).count());
  return Millis(std::lround(std::min(Seconds, Longest) * 1000));
}

} // namespace

/// State of writing a request, shared by the writer and the reader.
struct UpstreamClient::WriteState {
  beast::tcp_stream *m_stream = nullptr;
  std::shared_ptr<WriteStatus> m_writes;
  std::string m_bytes;
  BodySource m_bodySource;
  bool m_isDone = false;
};

asio::awaitable<void>
UpstreamClient::writeRequest(std::shared_ptr<WriteState> State) {
  while (!State->m_writes->m_isAbandoned) {
    // Not one composed write, which would use the stream after its owner has
    // ended it.
    for (std::size_t Done = 0; Done < State->m_bytes.size();) {
      State->m_writes->m_isPending = true;
      const auto [Error, Count] =
          co_await State->m_stream->socket().async_write_some(
              asio::buffer(State->m_bytes) + Done, UseTuple);
      State->m_writes->m_isPending = false;
      State->m_writes->m_error = Error;
      if (Error || State->m_writes->m_isAbandoned)
        co_return;
      Done += Count;
    }
    if (!State->m_bodySource)
      break;
    Result<std::string> Piece = co_await State->m_bodySource();
    if (!Piece || State->m_writes->m_isAbandoned) {
      // Closes the connection so that the server sees a truncated body.
      if (!State->m_writes->m_isAbandoned)
        State->m_stream->close();
      co_return;
    }
    if (Piece.value().empty())
      break;
    State->m_bytes = std::move(Piece.value());
  }
  State->m_isDone = true;
}

void UpstreamClient::endWriter(WriteState &State,
                               ConnectionPool::ConnectionPtr &Used,
                               bool IsReadOn) {
  State.m_writes->m_isAbandoned = true;
  boost::system::error_code Ignored; // The writer ends in any case.
  Used->m_stream.socket().cancel(Ignored);
  if (IsReadOn)
    return;
  // Keeps the connection alive until the writer has seen the close.
  const std::shared_ptr<Connection> Last(Used.release());
  Last->m_stream.close();
  asio::post(Last->m_stream.get_executor(), [Last] {});
}

asio::awaitable<bool> UpstreamClient::readHead(Connection &Used,
                                               const UpstreamRequest &Request,
                                               UpstreamReply &Reply) {
  int Interim = 0;
  for (int Stale = 0; Stale <= MaxStaleReplies; ++Stale) {
    std::shared_ptr<ResponseParser> Parser = std::make_shared<ResponseParser>();
    Parser->header_limit(HeaderBytes);
    Parser->body_limit(boost::none);
    Parser->skip(Request.m_isHeadRequest);
    Parser->eager(false);
    while (!Parser->is_header_done()) {
      const boost::system::error_code Error = co_await readSome(Used, *Parser);
      if (Error == beast::error::timeout)
        Reply.m_result = DispatchResult::TimedOut;
      if (Error)
        co_return false;
    }
    const http::response_header<> &Head = Parser->get();
    if (Head.result_int() / 100 == 1) {
      if (++Interim > MaxInterimReplies)
        co_return false;
      --Stale;
      continue;
    }
    const std::string_view Echo = Head[m_headers.m_requestId];
    Reply.m_parser = Parser;
    // Without an id, it can be the answer to an earlier request of a reused
    // connection.
    const bool IsOwnFailure =
        Echo.empty() && !Used.m_isReused && Head.result_int() / 100 != 2;
    if (Echo == Request.m_requestId || IsOwnFailure)
      co_return true;
    // An answer to an earlier request: skips it and reads the next one.
    const bool IsRead = co_await readBody(Used, Reply);
    if (!IsRead || Reply.m_hasMore)
      co_return false;
    Reply.m_parser = nullptr;
    Reply.m_body.clear();
  }
  co_return false;
}

asio::awaitable<bool> UpstreamClient::readBody(Connection &Used,
                                               UpstreamReply &Reply) {
  ResponseParser &Parser = *Reply.m_parser;
  std::string Piece(PieceBytes, '\0');
  while (!Parser.is_done()) {
    if (Reply.m_body.size() >= MaxBufferedReplyBytes) {
      Reply.m_hasMore = true;
      co_return true;
    }
    if (Used.isPastDeadline()) {
      Reply.m_result = DispatchResult::TimedOut;
      co_return false;
    }
    Parser.get().body().data = Piece.data();
    Parser.get().body().size = Piece.size();
    // Not one read of a whole piece: the lines before its chunks may be long.
    const boost::system::error_code Error = co_await readSome(Used, Parser);
    Reply.m_body.append(Piece.data(), Piece.size() - Parser.get().body().size);
    if (Error) {
      if (Error == beast::error::timeout)
        Reply.m_result = DispatchResult::TimedOut;
      co_return false;
    }
  }
  co_return true;
}

DispatchResult UpstreamClient::resultOf(const UpstreamReply &Reply) const {
  const http::response_header<> &Head = Reply.m_parser->get();
  const unsigned Status = Head.result_int();
  if (Status == 421)
    return DispatchResult::NotHeld;
  // Without the header, the server may have run the request.
  const bool IsPromise = promisesNotRun(Status);
  if (IsPromise && Head.count(m_headers.m_notRun) > 0)
    return DispatchResult::Refused;
  return IsPromise || Status >= 500 ? DispatchResult::Failed
                                    : DispatchResult::Served;
}

std::optional<NamedLimit>
UpstreamClient::limitOf(const UpstreamReply &Reply) const {
  const http::response_header<> &Head = Reply.m_parser->get();
  const auto Found = Head.find(m_headers.m_rateLimit);
  if (Found != Head.end())
    return parseRateLimit(Found->value());
  // Only an answer of a server that ran the request withdraws a limit: one that
  // rejects requests may do so before it adds its headers.
  const DispatchResult Result = resultOf(Reply);
  const bool HasRun =
      Result == DispatchResult::Served || Result == DispatchResult::Failed;
  return HasRun ? std::optional<NamedLimit>(NamedLimit{}) : std::nullopt;
}

AnswerReport UpstreamClient::reportOf(const UpstreamReply &Reply) const {
  const http::response_header<> &Head = Reply.m_parser->get();
  AnswerReport Out;
  Out.m_limit = limitOf(Reply);
  const auto Load = Head.find(m_headers.m_load);
  if (Load != Head.end())
    Out.m_load = parseReportedLoad(Load->value());
  const auto Cold = Head.find(m_headers.m_coldLeftMs);
  if (Cold != Head.end())
    Out.m_coldLeft = parseColdTime(Cold->value());
  return Out;
}

void UpstreamClient::handleHead(const UpstreamRequest &Request,
                                UpstreamReply &Reply) const {
  const http::response_header<> &Head = Reply.m_parser->get();
  Reply.m_isLeaving = Head[m_headers.m_leaving] == "1";
  Reply.m_restTime = restTime(Head);
  Reply.m_report = reportOf(Reply);
  const AnswerReport &Report = Reply.m_report;
  if (!Report.m_limit)
    Reply.m_unreadableLimit =
        Head[m_headers.m_rateLimit].substr(0, MaxLoggedHeaderBytes);
  if (!Report.m_load)
    Reply.m_unreadableLoad =
        Head[m_headers.m_load].substr(0, MaxLoggedHeaderBytes);
  if (Request.m_onHead)
    Request.m_onHead(resultOf(Reply), Reply.m_serviceTime, Report);
}

asio::awaitable<UpstreamReply> UpstreamClient::execute(UpstreamRequest Request,
                                                       CancelToken &Token) {
  UpstreamReply Reply;
  const TimePoint StartedAt = BootClock::now();
  const std::string Peer = Request.m_server.m_id;
  const Millis MaxIdle =
      Request.m_isSafe ? m_pool.policy().m_maxIdleTime : UnsafeMaxIdle;
  ConnectionPool::ConnectionPtr Used =
      m_pool.takeIdle(Peer, MaxIdle, Request.m_requestId);
  if (Used == nullptr) {
    const Millis Left =
        std::chrono::duration_cast<Millis>(Request.m_deadline - StartedAt);
    const Millis Timeout = std::min(m_pool.policy().m_connectTimeout, Left);
    Result<ConnectionPool::ConnectionPtr> Opened =
        co_await m_pool.open(Request.m_server.m_address, Timeout);
    if (!Opened || Token.isCancelled()) {
      Reply.m_serviceTime = elapsed(StartedAt);
      if (Token.isCancelled())
        Reply.m_result = DispatchResult::Withdrawn;
      co_return Reply;
    }
    Used = std::move(Opened.value());
  }
  // The process may have been frozen since the request was decided on.
  if (BootClock::now() >= Request.m_deadline) {
    Reply.m_result = DispatchResult::TimedOut;
    m_pool.putIdle(Peer, std::move(Used), Request.m_maxIdleConnections);
    co_return Reply;
  }
  Reply.m_isSent = true;
  Reply.m_connectionNumber = Used->m_number;
  Reply.m_result = DispatchResult::ConnectionLost;
  Token.m_stream = &Used->m_stream;

  const std::shared_ptr<WriteState> State = std::make_shared<WriteState>();
  State->m_stream = &Used->m_stream;
  State->m_writes = Used->m_writes;
  State->m_bytes = std::move(Request.m_head);
  State->m_bytes += Request.m_body;
  State->m_bodySource = Request.m_bodySource;
  const bool IsShort =
      !Request.m_bodySource && State->m_bytes.size() < ShortRequestBytes;
  Used->setDeadline(Request.m_deadline + AnswerGrace);
  if (IsShort)
    co_await writeRequest(State);
  else
    asio::co_spawn(co_await asio::this_coro::executor, writeRequest(State),
                   asio::detached);

  bool IsWhole = co_await readHead(*Used, Request, Reply);
  Reply.m_serviceTime = elapsed(StartedAt);
  if (IsWhole) {
    handleHead(Request, Reply);
    IsWhole = co_await readBody(*Used, Reply);
  }
  Token.m_stream = nullptr;
  const bool CanKeep = IsWhole && !Reply.m_hasMore && State->m_isDone &&
                       Reply.m_parser->get().keep_alive() &&
                       !Reply.m_parser->need_eof();
  if (!State->m_isDone)
    endWriter(*State, Used, IsWhole && Reply.m_hasMore);
  if (!IsWhole) {
    if (Token.isCancelled())
      Reply.m_result = DispatchResult::Withdrawn;
    co_return Reply;
  }
  Reply.m_result = resultOf(Reply);
  if (Reply.m_hasMore) {
    Reply.m_connection = std::move(Used);
    co_return Reply;
  }
  if (Used == nullptr)
    co_return Reply;
  if (Reply.m_result != DispatchResult::Served)
    Used->noteRepeatable(Request.m_requestId);
  if (CanKeep)
    Used->m_keepAliveTimeout =
        keepAliveTime(Reply.m_parser->get()[http::field::keep_alive]);
  m_pool.putIdle(Peer, std::move(Used),
                 CanKeep ? Request.m_maxIdleConnections : 0);
  co_return Reply;
}

asio::awaitable<Result<std::string>>
UpstreamClient::readMore(UpstreamReply &Reply) {
  ResponseParser &Parser = *Reply.m_parser;
  std::string Piece(PieceBytes, '\0');
  while (!Parser.is_done()) {
    if (Reply.m_connection->isPastDeadline())
      co_return HttpErrc::TimedOut;
    Parser.get().body().data = Piece.data();
    Parser.get().body().size = Piece.size();
    const boost::system::error_code Error =
        co_await readSome(*Reply.m_connection, Parser);
    const std::size_t Length = Piece.size() - Parser.get().body().size;
    if (Error == beast::error::timeout)
      co_return HttpErrc::TimedOut;
    if (Error)
      co_return HttpErrc::ReplyTorn;
    if (Length > 0) {
      Piece.resize(Length);
      co_return Piece;
    }
  }
  setAbortiveClose(Reply.m_connection->m_stream.socket(), false);
  co_return std::string();
}

asio::awaitable<bool> UpstreamClient::isDown(std::string Address) {
  Result<ConnectionPool::ConnectionPtr> Opened =
      co_await m_pool.open(Address, ProbeTimeout);
  if (!Opened)
    co_return true;
  m_pool.putIdle(Address, std::move(Opened.value()), 0);
  co_return false;
}

asio::awaitable<ProbeResult> UpstreamClient::probe(std::string Address,
                                                   std::string HealthPath) {
  Result<ConnectionPool::ConnectionPtr> Opened =
      co_await m_pool.open(Address, ProbeTimeout);
  if (!Opened)
    co_return ProbeResult::Unreachable;
  Connection &Used = *Opened.value();
  if (!HealthPath.empty()) {
    Used.setDeadline(BootClock::now() + HealthTimeout);
    const std::string Request = fmt::format(
        "GET {} HTTP/1.1\r\nHost: {}\r\n{}: {}\r\nConnection: close\r\n\r\n",
        HealthPath, Address, m_headers.m_deadlineMs, HealthTimeout.count());
    co_await asio::async_write(Used.m_stream, asio::buffer(Request), UseTuple);
    AnswerParser Answer;
    Answer.body_limit(MaxHealthAnswerBytes);
    const boost::system::error_code Error = co_await readWhole(Used, Answer);
    if (!Answer.got_some())
      co_return Error == beast::error::timeout ? ProbeResult::Silent
                                               : ProbeResult::BrokenOff;
  }
  m_pool.putIdle(Address, std::move(Opened.value()), 0);
  co_return ProbeResult::Answered;
}

} // namespace tamarackdrum::gateway

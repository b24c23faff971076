// The part of EdgeServer that reads the bodies of requests and writes answers.

#include "client-session.h"

#include "tamarackdrum/error.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/buffers_suffix.hpp>
#include <spdlog/fmt/fmt.h>

namespace tamarackdrum::gateway {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t PieceBytes = 16U << 10U;
constexpr std::size_t DiscardBytes = 4U << 10U;
/// Silence after which a client is taken to have sent all it will send.
constexpr Millis MaxSilence{300};

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

asio::awaitable<bool>
EdgeServer::reserveBody(SessionPtr Client,
                        std::shared_ptr<ClientRequest> Request) {
  const RequestParser &Parser = *Request->m_parser;
  Request->m_heldBytes = HeldBytes(m_bodyMemory, BodyDirection::Request);
  const boost::optional<std::uint64_t> Length = Parser.content_length();
  std::size_t Bytes = 0;
  if (!Parser.is_done())
    Bytes = Length ? static_cast<std::size_t>(std::min<std::uint64_t>(
                         *Length, m_policy.m_bufferedBodyBytes + PieceBytes))
                   : PieceBytes;
  const bool Fits = Bytes == 0 ? !m_bodyMemory->isFull()
                               : Request->m_heldBytes.tryGrowTo(Bytes);
  if (Fits && Length)
    Request->m_body->reserve(Bytes);
  if (!Fits)
    co_await refuseForMemory(Client, Request, Bytes);
  co_return Fits;
}

asio::awaitable<void>
EdgeServer::refuseForMemory(SessionPtr Client,
                            std::shared_ptr<ClientRequest> Request,
                            std::size_t Bytes) {
  const Millis RetryAfter =
      m_bodyMemory->refuse(BodyDirection::Request, Bytes, BootClock::now());
  m_metrics.count("body_memory_refused", "direction=\"request\"");
  logBodyMemory();
  Request->releaseBody(0);
  co_await sendAnswer(Client, Request, 503, "memory", RetryAfter);
}

void EdgeServer::logBodyMemory() {
  const std::optional<bool> IsShort = m_bodyMemory->takeTransition();
  if (!IsShort)
    return;
  m_log.write(*IsShort ? "body-memory-short" : "body-memory-ample",
              {{"requests", m_bodyMemory->held(BodyDirection::Request)},
               {"answers", m_bodyMemory->held(BodyDirection::Answer)},
               {"relayed", m_bodyMemory->held(BodyDirection::Relayed)},
               {"limit", m_bodyMemory->bodyLimit()},
               {"freed_per_ms", m_bodyMemory->freedPerMs(BootClock::now())}});
}

asio::awaitable<bool>
EdgeServer::readBody(SessionPtr Client,
                     std::shared_ptr<ClientRequest> Request) {
  RequestParser &Parser = *Request->m_parser;
  std::string &Body = *Request->m_body;
  const boost::optional<std::uint64_t> Length = Parser.content_length();
  while (!Parser.is_done() && Body.size() < m_policy.m_bufferedBodyBytes) {
    const std::size_t Read = Body.size();
    if (!Length && !Request->m_heldBytes.tryGrowTo(Read + PieceBytes)) {
      co_await refuseForMemory(Client, Request, Read + PieceBytes);
      co_return false;
    }
    const std::size_t Wanted =
        Length ? std::min<std::size_t>(PieceBytes, *Length - Read) : PieceBytes;
    Body.resize(Read + Wanted);
    Parser.get().body().data = Body.data() + Read;
    Parser.get().body().size = Wanted;
    Client->m_stream.expires_after(
        std::max(Millis(1), timeLeft(Request->m_deadline)));
    const auto [Error, Count] = co_await http::async_read_some(
        Client->m_stream, Client->m_buffer, Parser, UseTuple);
    Body.resize(Read + Wanted - Parser.get().body().size);
    if (!Error || Error == http::error::need_buffer)
      continue;
    Client->m_mustClose = true;
    if (Error == http::error::body_limit)
      co_await sendAnswer(Client, Request, 413, "body too long", Millis(0));
    else if (Error == beast::error::timeout)
      co_await sendAnswer(Client, Request, 408, "body not sent in time",
                          Millis(0));
    else if (Error.category() ==
                 http::make_error_code(http::error::bad_chunk).category() &&
             Error != http::error::partial_message)
      co_await sendAnswer(Client, Request, 400, Error.message(), Millis(0));
    else
      Request->m_isClientGone = true;
    co_return false;
  }
  Request->m_isBodyWhole = Parser.is_done();
  if (Request->m_isBodyWhole)
    Request->m_heldBytes.shrinkTo(Body.size());
  co_return true;
}

BodySource
EdgeServer::makeBodySource(SessionPtr Client,
                           std::shared_ptr<ClientRequest> Request) const {
  const bool IsChunked = !Request->m_parser->content_length();
  const std::shared_ptr<bool> IsEnded = std::make_shared<bool>(false);
  // The buffered part is sent as a chunk whose end is still missing.
  const std::shared_ptr<std::string> Out =
      std::make_shared<std::string>(IsChunked ? "\r\n" : "");
  return [Client, Request, IsChunked, IsEnded,
          Out]() -> asio::awaitable<Result<std::string>> {
    RequestParser &Parser = *Request->m_parser;
    Request->m_isStreaming = true;
    Request->releaseBody(PieceBytes);
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
    std::string Bytes = std::exchange(*Out, std::string());
    if (Length > 0)
      Bytes += makeChunk(Piece);
    else if (!std::exchange(*IsEnded, true))
      Bytes += "0\r\n\r\n";
    co_return Bytes;
  };
}

asio::awaitable<bool> EdgeServer::write(SessionPtr Client, std::string Head,
                                        std::string Body, bool IsChunk) {
  if (IsChunk)
    Head += fmt::format("{:x}\r\n", Body.size());
  const std::string_view End = IsChunk ? "\r\n" : "";
  const std::array<asio::const_buffer, 3> All{
      asio::buffer(Head), asio::buffer(Body), asio::buffer(End)};
  beast::buffers_suffix<std::array<asio::const_buffer, 3>> Rest(All);
  while (asio::buffer_size(Rest) > 0) {
    Client->m_stream.expires_after(m_policy.m_writeTimeout);
    const auto [Error, Count] =
        co_await Client->m_stream.async_write_some(Rest, UseTuple);
    if (Error)
      co_return false;
    Rest.consume(Count);
  }
  co_return true;
}

asio::awaitable<bool> EdgeServer::writePiece(SessionPtr Client,
                                             UpstreamReply &Reply,
                                             std::string Head, std::string Body,
                                             bool IsChunk) {
  const TimePoint StartedAt = BootClock::now();
  const bool IsSent = co_await write(std::move(Client), std::move(Head),
                                     std::move(Body), IsChunk);
  const BootClock::duration Took = BootClock::now() - StartedAt;
  if (Reply.m_connection != nullptr)
    Reply.m_connection->extendDeadline(Took);
  co_return IsSent;
}

asio::awaitable<void>
EdgeServer::forwardReply(SessionPtr Client,
                         std::shared_ptr<ClientRequest> Request,
                         UpstreamReply &Reply) {
  Request->m_isAnswered = true;
  const ReplyHead &Head = Reply.m_parser->get();
  unsigned Status = Head.result_int();
  // A 503 answer promises that the request has not run. The server has not said
  // so, so the client gets a 502.
  if (Reply.m_result == DispatchResult::Failed && Status == 503) {
    co_await sendAnswer(Client, Request, 502, "server failed with 503",
                        Millis(0));
    co_return;
  }
  if (m_isDraining)
    Client->m_mustClose = true;
  Request->releaseBody(0);
  const Framing Body =
      replyFraming(Reply, Request->head().method() == http::verb::head);
  std::string Out = makeReplyHead(Head, Body, Client->m_mustClose);
  bool IsSent = co_await writePiece(Client, Reply, std::move(Out),
                                    std::move(Reply.m_body), Body.m_isChunked);
  Reply.m_held.shrinkTo(Reply.m_hasMore ? PieceBytes : 0);
  while (IsSent && Reply.m_hasMore) {
    Result<std::string> Piece = co_await m_upstreamClient.readMore(Reply);
    if (!Piece) {
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
    if (IsLast)
      break;
    std::string Start;
    IsSent = co_await writePiece(Client, Reply, std::move(Start),
                                 std::move(Piece.value()), Body.m_isChunked);
  }
  if (!IsSent)
    Request->m_isClientGone = true;
  recordOutcome(*Request, Status, "");
}

asio::awaitable<void> EdgeServer::discardInput(SessionPtr Client) {
  // Closing a socket with unread bytes resets the connection, and the client
  // may lose the answer. A client may read it only after it has sent its whole
  // body.
  const TimePoint End = BootClock::now() + m_policy.m_writeTimeout;
  std::string Rest(DiscardBytes, '\0');
  while (BootClock::now() < End) {
    Client->m_stream.expires_after(MaxSilence);
    const auto [Error, Count] =
        co_await Client->m_stream.async_read_some(asio::buffer(Rest), UseTuple);
    if (Error)
      break;
  }
}

} // namespace tamarackdrum::gateway

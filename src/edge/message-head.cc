#include "tamarackdrum/gateway/message-head.h"

#include <boost/algorithm/string/predicate.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <spdlog/fmt/fmt.h>

namespace tamarackdrum::gateway {
namespace {

namespace http = boost::beast::http;

std::string_view toView(boost::beast::string_view Text) {
  return {Text.data(), Text.size()};
}

bool isAmong(std::string_view Name,
             std::initializer_list<std::string_view> Others) {
  return std::any_of(Others.begin(), Others.end(),
                     [Name](std::string_view Other) {
                       return boost::algorithm::iequals(Name, Other);
                     });
}

/// Returns whether a header applies to one connection only.
bool isHopByHop(std::string_view Name) {
  return isAmong(Name, {"connection", "keep-alive", "proxy-connection", "te",
                        "trailer", "transfer-encoding", "upgrade",
                        "content-length", "expect"});
}

/// Appends the headers of \p Head that are forwarded: all but hop-by-hop
/// headers, those that the Connection header names, and \p Dropped.
void appendHeaders(std::string &Out, const http::fields &Head,
                   std::initializer_list<std::string_view> Dropped) {
  http::token_list Named(Head[http::field::connection]);
  for (const http::fields::value_type &Item : Head) {
    const std::string_view Name = toView(Item.name_string());
    if (isHopByHop(Name) || isAmong(Name, Dropped) ||
        Named.exists(Item.name_string()))
      continue;
    fmt::format_to(std::back_inserter(Out), "{}: {}\r\n", Name,
                   toView(Item.value()));
  }
}

void appendFraming(std::string &Out, const Framing &Body) {
  if (Body.m_isChunked)
    Out.append("Transfer-Encoding: chunked\r\n");
  else if (Body.m_length)
    fmt::format_to(std::back_inserter(Out), "Content-Length: {}\r\n",
                   *Body.m_length);
}

void appendPersistence(std::string &Out, bool ClosesConnection,
                       Millis IdleLimit) {
  const auto Seconds =
      std::chrono::duration_cast<std::chrono::seconds>(IdleLimit);
  if (ClosesConnection)
    Out.append("Connection: close\r\n");
  else if (Seconds.count() > 0)
    fmt::format_to(std::back_inserter(Out), "Keep-Alive: timeout={}\r\n",
                   Seconds.count());
}

} // namespace

std::string makeRequestHead(const RequestHead &Head, const Framing &Body,
                            const HeaderNames &Names, const ServerEntry &Server,
                            Millis TimeLeft) {
  std::string Out;
  Out.reserve(512);
  fmt::format_to(std::back_inserter(Out), "{} {} HTTP/1.1\r\n",
                 toView(Head.method_string()), toView(Head.target()));
  appendHeaders(Out, Head, {Names.m_deadlineMs, Names.m_expectServer});
  fmt::format_to(std::back_inserter(Out), "{}: {}\r\n{}: {}\r\n",
                 Names.m_deadlineMs,
                 std::max<std::int64_t>(1, TimeLeft.count()),
                 Names.m_expectServer, Server.m_id);
  appendFraming(Out, Body);
  Out.append("\r\n");
  return Out;
}

std::string makeReplyHead(const ReplyHead &Head, const Framing &Body,
                          bool ClosesConnection, Millis IdleLimit) {
  std::string Out = fmt::format("HTTP/1.1 {} {}\r\n", Head.result_int(),
                                toView(Head.reason()));
  appendHeaders(Out, Head, {});
  appendFraming(Out, Body);
  appendPersistence(Out, ClosesConnection, IdleLimit);
  Out.append("\r\n");
  return Out;
}

std::string makeAnswer(const GatewayAnswer &Answer, const HeaderNames &Names,
                       const std::string &Id) {
  constexpr double MsPerSecond = 1000;
  const boost::beast::string_view Phrase =
      http::obsolete_reason(http::int_to_status(Answer.m_status));
  const std::string Body = fmt::format("{}\n", Answer.m_reason);
  std::string Out = fmt::format(
      "HTTP/1.1 {} {}\r\nContent-Type: text/plain\r\nContent-Length: {}\r\n",
      Answer.m_status, toView(Phrase), Body.size());
  if (!Id.empty())
    fmt::format_to(std::back_inserter(Out), "{}: {}\r\n", Names.m_requestId,
                   Id);
  if (Answer.m_retryAfter.count() > 0)
    fmt::format_to(std::back_inserter(Out), "Retry-After: {:.3f}\r\n",
                   static_cast<double>(Answer.m_retryAfter.count()) /
                       MsPerSecond);
  appendPersistence(Out, Answer.m_closesConnection, Answer.m_idleLimit);
  Out.append("\r\n");
  if (!Answer.m_isToHeadRequest)
    Out.append(Body);
  return Out;
}

bool promisesNotRun(unsigned Status) {
  return Status == 408 || Status == 421 || Status == 429 || Status == 503;
}

std::string makeChunk(const std::string &Piece) {
  return fmt::format("{:x}\r\n{}\r\n", Piece.size(), Piece);
}

} // namespace tamarackdrum::gateway

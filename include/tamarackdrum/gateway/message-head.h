/// \file
/// Heads of the HTTP/1.1 messages that a gateway forwards or generates.

#ifndef TAMARACKDRUM_GATEWAY_MESSAGE_HEAD_H
#define TAMARACKDRUM_GATEWAY_MESSAGE_HEAD_H

#include "tamarackdrum/gateway/ports.h"

#include <boost/beast/http/message.hpp>

namespace tamarackdrum::gateway {

using RequestHead = boost::beast::http::request_header<>;
using ReplyHead = boost::beast::http::response_header<>;

/// How the end of a message body is marked: chunked encoding or a length.
/// Neither: there is no body.
struct Framing {
  bool m_isChunked = false;
  std::optional<std::uint64_t> m_length; ///< In bytes.

  bool operator==(const Framing &) const = default;
};

/// Returns the head of the request that is sent to \p Server with \p TimeLeft
/// until its deadline. Omits headers that apply only to the client's
/// connection.
std::string makeRequestHead(const RequestHead &Head, const Framing &Body,
                            const HeaderNames &Names, const ServerEntry &Server,
                            Millis TimeLeft);

/// Returns the head of a server's answer as it is sent to the client.
/// \p ClosesConnection adds "Connection: close". Otherwise \p IdleLimit, if it
/// is a second or more, adds "Keep-Alive": the client must not use the
/// connection once it has been idle for that long.
std::string makeReplyHead(const ReplyHead &Head, const Framing &Body,
                          bool ClosesConnection, Millis IdleLimit = Millis(0));

/// An answer that the gateway generates.
struct GatewayAnswer {
  unsigned m_status = 0;
  std::string_view m_reason;
  Millis m_retryAfter{0};          ///< 0: no Retry-After header.
  bool m_closesConnection = false; ///< Adds "Connection: close".
  Millis m_idleLimit{0};           ///< See makeReplyHead().
  bool m_isToHeadRequest = false;  ///< HEAD: the answer has no body.
};

/// Returns head and body of \p Answer to the request with id \p Id, which is
/// empty if the request had none.
std::string makeAnswer(const GatewayAnswer &Answer, const HeaderNames &Names,
                       const std::string &Id);

/// Returns whether an answer with \p Status tells a client that its request has
/// not run and never will.
bool promisesNotRun(unsigned Status);

/// Returns \p Piece as a chunk of chunked encoding, e.g. "5\r\nhello\r\n".
std::string makeChunk(const std::string &Piece);

} // namespace tamarackdrum::gateway

#endif // TAMARACKDRUM_GATEWAY_MESSAGE_HEAD_H

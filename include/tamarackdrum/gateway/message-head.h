/// \file
/// Heads of the HTTP/1.1 messages that a gateway passes on or makes.

#ifndef TAMARACKDRUM_GATEWAY_MESSAGE_HEAD_H
#define TAMARACKDRUM_GATEWAY_MESSAGE_HEAD_H

#include "tamarackdrum/gateway/ports.h"

#include <boost/beast/http/message.hpp>

namespace tamarackdrum::gateway {

using RequestHead = boost::beast::http::request_header<>;
using ReplyHead = boost::beast::http::response_header<>;

/// How the receiver learns where a body ends. Neither: there is no body.
struct Framing {
  bool m_isChunked = false;
  std::optional<std::uint64_t> m_length; ///< In bytes.

  bool operator==(const Framing &) const = default;
};

/// Returns the head of a request to \p Server that has \p Left of its time.
/// Headers that concern the client's connection only are left out.
std::string makeRequestHead(const RequestHead &Head, const Framing &Body,
                            const HeaderNames &Names, const ServerEntry &Server,
                            Millis Left);

/// Returns the head of a server's answer as the client gets it.
std::string makeReplyHead(const ReplyHead &Head, const Framing &Body,
                          bool IsLast);

/// An answer of the gateway itself.
struct GatewayAnswer {
  unsigned m_status = 0;
  std::string_view m_reason;
  Millis m_retryAfter{0}; ///< 0: the client is not told when to come back.
  bool m_closesConnection = false; ///< The connection ends after it.
};

/// Returns the whole text of \p Answer to the request \p Id; empty: it had no
/// id.
std::string makeAnswer(const GatewayAnswer &Answer, const HeaderNames &Names,
                       const std::string &Id);

/// Returns \p Piece as a chunk of a body, e.g. "5\r\nhello\r\n".
std::string makeChunk(const std::string &Piece);

} // namespace tamarackdrum::gateway

#endif // TAMARACKDRUM_GATEWAY_MESSAGE_HEAD_H

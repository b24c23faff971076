/// \file
/// Connections of clients and the requests on them. For the files of EdgeServer
/// only.

#ifndef TAMARACKDRUM_CLIENT_SESSION_H
#define TAMARACKDRUM_CLIENT_SESSION_H

#include "tamarackdrum/gateway/edge-server.h"

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

namespace tamarackdrum::gateway {

/// Bytes of a client that are received and not parsed yet, at most. Source:
/// several times the largest head that configurations allow.
inline constexpr std::size_t ClientBufferBytes = 512U << 10U;
/// Retry-After of a host that stops: another host takes the request at once.
inline constexpr Millis StoppingRetryAfter{50};

/// Returns the time until \p Until.
inline Millis left(TimePoint Until) {
  return std::chrono::duration_cast<Millis>(Until - BootClock::now());
}

/// Gives the body away in pieces.
using RequestParser =
    boost::beast::http::request_parser<boost::beast::http::buffer_body>;

/// A connection of a client.
struct EdgeServer::Session {
  explicit Session(boost::asio::ip::tcp::socket Socket)
      : m_stream(std::move(Socket)) {}

  boost::beast::tcp_stream m_stream;
  boost::beast::flat_buffer m_buffer{ClientBufferBytes};
  bool m_isIdle = true;
  bool m_isWatched = false;
  bool m_mustClose = false;
  std::weak_ptr<Exchange> m_current;
};

/// A request and what has become of it.
struct EdgeServer::Exchange {
  std::shared_ptr<RequestParser> m_parser;
  std::string m_body;
  bool m_isBodyWhole = true;
  bool m_isStreaming = false; ///< Part of the body has been taken for good.
  std::shared_ptr<RouteTable> m_table;
  const Route *m_route = nullptr;
  const Service *m_service = nullptr;
  std::string m_id;
  std::optional<Key> m_key;
  TimePoint m_startedAt = BootClock::now();
  TimePoint m_objectiveAt{};
  TimePoint m_endsAt{};
  std::uint64_t m_fingerprint = 0;
  ExchangeControl m_control;
  AdmissionWait m_wait;
  bool m_isClientGone = false;
  bool m_isStopped = false; ///< Refused since this host stops.
  // What has happened so far:
  unsigned m_dispatches = 0;
  unsigned m_unreachable = 0;
  bool m_wasRun = false; ///< A server may have begun to run it.
  bool m_isAnswered = false;
  std::vector<std::string> m_tried;
  std::string m_lastServer;
  Millis m_waited{0};
  DispatchResult m_lastResult = DispatchResult::Unreachable;
  DispatchDecision m_refusal;
  std::string m_places;
  UpstreamReply m_reply; ///< Last answer of a server; m_head may be null.

  const RequestHead &head() const { return m_parser->get(); }
};

} // namespace tamarackdrum::gateway

#endif // TAMARACKDRUM_CLIENT_SESSION_H

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
inline Millis timeLeft(TimePoint Until) {
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
  std::weak_ptr<ClientRequest> m_request;
};

/// A request and what has become of it.
struct EdgeServer::ClientRequest {
  std::shared_ptr<RequestParser> m_parser;
  std::string m_body;
  bool m_isBodyWhole = true;
  bool m_isStreaming = false; ///< Part of the body has been taken for good.
  std::shared_ptr<RouteTable> m_routeTable;
  const Route *m_route = nullptr;
  const Service *m_service = nullptr;
  std::string m_id;
  std::optional<Key> m_key;
  TimePoint m_startedAt = BootClock::now();
  TimePoint m_objectiveAt{};
  TimePoint m_deadline{};
  std::uint64_t m_fingerprint = 0;
  CancelToken m_cancelToken;
  AdmissionHandle m_admissionHandle;
  bool m_isClientGone = false;
  bool m_isHostStopping = false; ///< Refused since this host stops.
  // What has happened so far:
  unsigned m_dispatches = 0;
  unsigned m_unreachableAttempts = 0;
  bool m_mayHaveRun = false; ///< A server may have begun to run it.
  bool m_isAnswered = false;
  std::vector<std::string> m_triedServers;
  std::string m_lastServer;
  Millis m_slotWait{0};
  DispatchResult m_lastResult = DispatchResult::Unreachable;
  DispatchDecision m_refusal;
  std::string m_places;
  UpstreamReply m_lastReply; ///< Last answer of a server; m_head may be null.

  const RequestHead &head() const { return m_parser->get(); }
};

} // namespace tamarackdrum::gateway

#endif // TAMARACKDRUM_CLIENT_SESSION_H

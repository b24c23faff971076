/// \file
/// Client connections and the requests on them. Private to the sources of
/// EdgeServer.

#ifndef TAMARACKDRUM_CLIENT_SESSION_H
#define TAMARACKDRUM_CLIENT_SESSION_H

#include "tamarackdrum/gateway/edge-server.h"
#include "tamarackdrum/read-limit.h"

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

namespace tamarackdrum::gateway {

/// Limit for the bytes received from a client that are not parsed yet: several
/// times the largest request head that configurations allow.
inline constexpr std::size_t ClientBufferBytes = 512U << 10U;
/// Retry-After of a host that shuts down: other hosts accept the request at
/// once.
inline constexpr Millis StoppingRetryAfter{50};

/// Returns the time until \p Until; negative if it has passed.
inline Millis timeLeft(TimePoint Until) {
  return std::chrono::duration_cast<Millis>(Until - BootClock::now());
}

/// Parses a request and delivers its body in pieces.
using RequestParser =
    boost::beast::http::request_parser<boost::beast::http::buffer_body>;

/// A client connection.
struct EdgeServer::Session {
  explicit Session(boost::asio::ip::tcp::socket Socket)
      : m_stream(std::move(Socket)), m_readLimit(m_stream) {}

  boost::beast::tcp_stream m_stream;
  ReadLimit m_readLimit; ///< Of heads and buffered bodies.
  boost::beast::flat_buffer m_buffer{ClientBufferBytes};
  bool m_isIdle = true; ///< There is no request on it.
  TimePoint m_idleSince = BootClock::now();
  /// The longest one that was named to the client, or in force since.
  Millis m_idleLimit{0};
  bool m_isWatched = false; ///< See watchForDisconnect().
  bool m_mustClose = false; ///< Ends after the current answer.
  std::weak_ptr<ClientRequest> m_request;
  /// Why the gateway ends it; empty if the client does.
  std::string_view m_endReason;

  /// Ends the wait for the next request.
  void endIdle(std::string_view Reason) {
    m_endReason = Reason;
    m_stream.cancel();
  }
};

/// A request of a client and the state of its processing.
struct EdgeServer::ClientRequest {
  std::shared_ptr<RequestParser> m_parser;
  std::string m_body;
  bool m_isBodyWhole = true;
  bool m_isStreaming = false; ///< Part of the body has been sent unbuffered.
  bool m_isBodyBeingRead = false; ///< A read of the body is pending.
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
  bool m_isHostStopping = false; ///< Refused because this host stops.
  // Results of the dispatches so far:
  unsigned m_dispatches = 0;
  TimePoint m_sentAt{}; ///< Start of the last one.
  unsigned m_unreachableAttempts = 0;
  bool m_mayHaveRun = false; ///< A server may have started to run it.
  bool m_isAnswered = false;
  bool m_isTrial = false; ///< May crash the server that gets it.
  std::vector<std::string> m_triedServers;
  std::string m_lastServer;
  Millis m_slotWait{0};
  DispatchResult m_lastResult = DispatchResult::Unreachable;
  DispatchDecision m_refusal;
  /// Dispatchers that decided on it, in order and separated by commas.
  std::string m_places;
  /// Numbers of the connections to servers on which it was sent, likewise.
  std::string m_connections;
  UpstreamReply m_lastReply; ///< m_parser may be null.

  const RequestHead &head() const { return m_parser->get(); }
};

} // namespace tamarackdrum::gateway

#endif // TAMARACKDRUM_CLIENT_SESSION_H

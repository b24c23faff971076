/// \file
/// Serves client connections: reads requests, selects their routes, gets slots,
/// dispatches the requests to servers and forwards the answers.

#ifndef TAMARACKDRUM_GATEWAY_EDGE_SERVER_H
#define TAMARACKDRUM_GATEWAY_EDGE_SERVER_H

#include "tamarackdrum/gateway/admission.h"
#include "tamarackdrum/gateway/backoff-tracker.h"
#include "tamarackdrum/gateway/duration-estimate.h"
#include "tamarackdrum/gateway/gateway-metrics.h"
#include "tamarackdrum/gateway/message-head.h"
#include "tamarackdrum/gateway/request-relay.h"
#include "tamarackdrum/gateway/upstream-client.h"
#include "tamarackdrum/poison.h"

#include <list>

namespace tamarackdrum::gateway {

/// Limits and timeouts of EdgeServer.
struct EdgePolicy {
  /// Bytes of a request body that are buffered, so that the request can be
  /// dispatched again. The rest of a longer body is streamed.
  std::size_t m_bufferedBodyBytes = 256U << 10U;
  /// Upper limit of the time for a request. The deadline header of the client
  /// and the timeout of the route may only shorten it.
  Millis m_maxRequestTime{30000};
  /// Limit of a write to a client, and of the time for which sent data may
  /// stay unacknowledged.
  Millis m_writeTimeout{10000};
  /// Time for which a connection that ends after an answer waits for the client
  /// to close it. After an answer that came before the end of the request's
  /// body, it is the time that the request has left, if that is longer.
  Millis m_closeTime{300};
  /// Least time beyond the configured limit for which an idle connection stays
  /// open: a request that was sent within the limit may be on its way, e.g. be
  /// sent again after a loss, or wait for a host that is short of processor
  /// time.
  Millis m_idleAllowance{3000};
  /// The same as a multiple of the limit: some clients send later than they
  /// should, and the fewer connections the host ends, the fewer requests cross
  /// that. Only while there are fewer than m_manyConnections.
  int m_idleLimitFactor = 2;
  std::size_t m_manyConnections = 1000;
  /// Number of dispatches that reach no usable server after which a request is
  /// refused.
  unsigned m_maxUnreachableAttempts = 3;
  /// Delay before a request asks for another slot after a server has refused
  /// it because it does not hold the key: the key may have just moved.
  Millis m_notHeldRetryDelay{30};
  /// Time after the start of the process during which requests wait for routes
  /// and servers; peers or the store supply them within it. After that,
  /// requests are refused if routes or servers are missing.
  Millis m_startupTimeout{900};
  /// Interval at which a waiting request checks for routes and servers.
  Millis m_startupPollInterval{10};
  /// Limit for the buffered bodies of all requests, in bytes. Requests beyond
  /// it are refused.
  std::size_t m_maxBufferedBytes = 64U << 20U;

  bool operator==(const EdgePolicy &) const = default;
};

/// Returns whether a request whose last dispatch ended with \p Result may be
/// dispatched to another server.
///
/// Load pattern: servers that fail, refuse or abort part of their requests.
/// \p MayHaveRun tells whether a server may have run the request already,
/// \p Dispatches how often it has been sent, \p Attempts how often its route
/// allows that.
bool mayRetry(RequestKind Kind, DispatchResult Result, bool MayHaveRun,
              unsigned Dispatches, unsigned Attempts);

/// Accepts client connections and serves their requests.
class EdgeServer {
public:
  /// State queries and event handlers that the host supplies.
  struct Callbacks {
    std::function<std::shared_ptr<RouteTable>()> m_routes;
    std::function<bool()> m_hasServers;
    std::function<const ServerEntry *(const std::string &Id)> m_findServer;
    std::function<void(const std::string &Service, Key Value)> m_onNotHeld;
    std::function<void(std::uint64_t Fingerprint, const ServerEntry &)>
        m_onCrash;
    std::function<void(std::uint64_t Fingerprint)> m_onAnswered;
    /// Returns whether a request that is refused for its crashes may be sent.
    std::function<bool(std::uint64_t Fingerprint)> m_mayTry;
    std::function<void(const ServerEntry &)> m_onLeaving;
  };

  EdgeServer(boost::asio::any_io_executor Executor, EdgePolicy Policy,
             const GatewaySettings &Settings, Admission &Slots,
             UpstreamClient &Upstreams, PoisonRegistry &Poison, EventLog &Log,
             GatewayMetrics &Metrics, Roster &Hosts, ContactMonitor &Contacts,
             RequestRelay &Relay, Callbacks Context);

  /// Opens the client port. Errors: those of parseEndpoint() and of the system.
  std::error_code start();

  /// Adds "Connection: close" to all answers from now on, and sends to servers
  /// only what can be expected to end before \p End.
  void beginDrain(TimePoint End) {
    m_isDraining = true;
    m_drainEnd = End;
  }
  /// Refuses requests that arrive from now on.
  void refuseNewRequests() { m_isRefusing = true; }
  /// Refuses the requests that wait for a slot and can no longer end in time;
  /// clients may send them to other hosts.
  void refuseLateRequests();
  /// Closes the connections on which no client has sent a request lately.
  void closeIdleConnections();
  /// Stops accepting connections, and answers the requests that still run: the
  /// process is about to end.
  void endAllRequests();
  /// Closes the connections that have been idle for longer than clients may
  /// count on.
  void closeExpiredConnections();
  /// Notes that \p Server has broken off a request, and reports a crash if that
  /// is what it turns out to be.
  void handleBrokenOff(Fingerprint Request, const ServerEntry &Server);
  std::size_t activeRequests() const { return m_activeRequests; }
  std::size_t connectionCount() const { return m_sessions.size(); }

private:
  struct Session;
  struct ClientRequest;
  using SessionPtr = std::shared_ptr<Session>;

  /// Closes the connection that has been idle for longest, to free its socket.
  void closeLongestIdle();

  boost::asio::awaitable<void> acceptLoop();
  /// Serves the requests of one connection until it ends.
  boost::asio::awaitable<void> serve(SessionPtr Client);
  /// Reads and discards what the client still sends until it closes the
  /// connection, at most until \p End: closing a socket with unread bytes
  /// resets the connection, and the client may lose the answer.
  boost::asio::awaitable<void> discardRest(SessionPtr Client, TimePoint End);
  /// Waits for requests that cross the end of an idle connection, and counts
  /// and logs them.
  boost::asio::awaitable<void> awaitIdleEnd(SessionPtr Client);
  /// Reads the head of the next request. Returns false if there is none; the
  /// connection then ends.
  boost::asio::awaitable<bool>
  readRequest(SessionPtr Client, std::shared_ptr<ClientRequest> Request);
  /// Reads the body up to the limit for buffered bodies. Returns false if the
  /// request has been answered or the client has disconnected.
  boost::asio::awaitable<bool> readBody(SessionPtr Client,
                                        std::shared_ptr<ClientRequest> Request);
  /// Returns the limits that the configuration in force sets.
  ClientLimits clientLimits() const;
  /// Returns the idle limit that an answer to \p Client names. The connection
  /// is kept for it, whatever configuration comes next.
  Millis nameIdleLimit(Session &Client) const;
  /// Returns whether both routes and servers are known.
  bool hasRoutesAndServers() const;
  /// Waits for routes and servers, at most until the startup timeout.
  boost::asio::awaitable<void> awaitRoutesAndServers();
  /// Serves a request whose head has been read.
  boost::asio::awaitable<void> handle(SessionPtr Client,
                                      std::shared_ptr<ClientRequest> Request);
  /// Dispatches a request until it is served or may not be dispatched again.
  boost::asio::awaitable<void> dispatch(SessionPtr Client,
                                        std::shared_ptr<ClientRequest> Request);
  /// Gets a slot and sends the request to one server. Returns whether to
  /// dispatch it again.
  boost::asio::awaitable<bool>
  attemptDispatch(SessionPtr Client, std::shared_ptr<ClientRequest> Request);
  /// Sends a request to its server, or through a peer if this host seems to be
  /// cut off from the servers.
  boost::asio::awaitable<UpstreamReply>
  sendUpstream(UpstreamRequest Upstream,
               std::shared_ptr<ClientRequest> Request);
  /// Answers a request that no server has served.
  boost::asio::awaitable<void>
  answerUnserved(SessionPtr Client, std::shared_ptr<ClientRequest> Request);
  /// Sends the answer of a server to the client. \p Reply has the result
  /// ConnectionLost if the server breaks it off.
  boost::asio::awaitable<void>
  forwardReply(SessionPtr Client, std::shared_ptr<ClientRequest> Request,
               UpstreamReply &Reply);
  /// Sends an answer of the gateway itself to the client.
  boost::asio::awaitable<void>
  sendAnswer(SessionPtr Client, std::shared_ptr<ClientRequest> Request,
             unsigned Status, std::string_view Reason, Millis RetryAfter);
  /// Returns whether all bytes were sent.
  boost::asio::awaitable<bool> write(SessionPtr Client, std::string Bytes);
  /// Returns whether a request is refused since servers have crashed under it,
  /// and this is not a trial.
  bool isSuspected(ClientRequest &Request);
  /// Reports a crash if \p Server has ended, unless the request has been
  /// answered since its connection broke.
  boost::asio::awaitable<void> checkForCrash(Fingerprint Request,
                                             ServerEntry Server);
  /// Returns whether \p Server accepts no new connection while this host
  /// reaches other servers.
  boost::asio::awaitable<bool> hasEnded(ServerEntry Server);
  /// Sets route and service of a request. Returns whether both were found.
  bool selectRoute(ClientRequest &Request) const;
  UpstreamRequest makeRequest(SessionPtr Client,
                              std::shared_ptr<ClientRequest> Request,
                              const ServerEntry &Server) const;
  DispatchRequest makeAsk(const ClientRequest &Request) const;
  /// Returns the server of a decision if it may be sent \p Request now.
  /// Otherwise records the reason, releases the slot and returns null.
  const ServerEntry *findUsableServer(ClientRequest &Request,
                                      const AdmissionResult &Taken);
  /// Records the end of a dispatch in the request, the metrics and the state of
  /// \p Server.
  void recordReply(ClientRequest &Request, const ServerEntry &Server,
                   const UpstreamReply &Reply, std::size_t SentBytes);
  /// Records how long the answer took that has just come whole.
  void recordAnswerTime(const ClientRequest &Request);
  /// Returns whether a request can be expected to end before this host stops,
  /// by the usual time of its route.
  bool canEndBeforeStop(const ClientRequest &Request) const;
  /// Lets the deadline of a request pass before this host stops, so that the
  /// server ends its work and answers in time. Returns whether the request can
  /// be expected to end by then.
  bool fitIntoStop(ClientRequest &Request) const;
  /// Returns whether a request whose last dispatch failed is dispatched again.
  bool shouldRetry(ClientRequest &Request) const;
  /// Returns whether a safe request can be dispatched again if the dispatch
  /// that is under way is interrupted.
  bool canResend(const ClientRequest &Request) const;
  static Framing requestFraming(const ClientRequest &Request);
  BodySource makeBodySource(SessionPtr Client,
                            std::shared_ptr<ClientRequest> Request) const;
  /// Ends a read of the request's body that goes on after the server has
  /// answered.
  static boost::asio::awaitable<void>
  stopBodySource(SessionPtr Client, std::shared_ptr<ClientRequest> Request);
  /// Returns whether the client has closed its connection.
  static bool isDisconnected(Session &Client);
  /// Returns whether the client has sent bytes that are not read yet.
  static bool hasBytes(Session &Client);
  /// Cancels the current request if the client closes its connection. An unsafe
  /// request that has been sent to a server is not cancelled.
  void watchForDisconnect(const SessionPtr &Client);
  /// Records a request that the client has not sent whole.
  void leaveUnread(ClientRequest &Request, std::string_view Reason);
  /// Counts and logs a request that has ended. \p Status is 0 if the client
  /// disconnected before an answer.
  void recordOutcome(const ClientRequest &Request, unsigned Status,
                     std::string_view Reason);

  boost::asio::any_io_executor m_executor;
  const EdgePolicy m_policy;
  const GatewaySettings &m_settings;
  Admission &m_admission;
  UpstreamClient &m_upstreamClient;
  PoisonRegistry &m_poison;
  EventLog &m_log;
  GatewayMetrics &m_metrics;
  Roster &m_hosts;
  ContactMonitor &m_contacts;
  RequestRelay &m_relay;
  const Callbacks m_callbacks;
  boost::asio::ip::tcp::acceptor m_acceptor;
  const TimePoint m_createdAt = BootClock::now();
  std::list<SessionPtr> m_sessions;
  std::size_t m_activeRequests = 0;
  std::size_t m_bufferedBytes = 0;
  bool m_isDraining = false;
  TimePoint m_drainEnd{}; ///< Only if m_isDraining is set.
  bool m_isRefusing = false;
  /// Times from the dispatch to the end of the answer, by route.
  std::map<std::string, DurationEstimate> m_answerTimes;
  std::map<std::string, Millis> m_longestDeadlines; ///< By route.
  BackoffTracker m_restingServers;
};

} // namespace tamarackdrum::gateway

#endif // TAMARACKDRUM_GATEWAY_EDGE_SERVER_H

/// \file
/// Client connections: read, route, admit, dispatch, relay, account.

#ifndef TAMARACKDRUM_GATEWAY_EDGE_SERVER_H
#define TAMARACKDRUM_GATEWAY_EDGE_SERVER_H

#include "tamarackdrum/gateway/admission.h"
#include "tamarackdrum/gateway/backoff-tracker.h"
#include "tamarackdrum/gateway/gateway-metrics.h"
#include "tamarackdrum/gateway/message-head.h"
#include "tamarackdrum/gateway/upstream-client.h"
#include "tamarackdrum/poison.h"

#include <list>

namespace tamarackdrum::gateway {

struct EdgePolicy {
  /// Part of a request body that is held for a second dispatch; the rest of a
  /// longer one is streamed.
  std::size_t m_bufferedBodyBytes = 256U << 10U;
  /// Longest wait of a request whose client and route name none.
  Millis m_maxRequestTime{30000};
  /// A client that does not take an answer for this long is given up.
  Millis m_writeTimeout{10000};
  /// Dispatches of one request that reached no server at most.
  unsigned m_maxUnreachableAttempts = 3;
  /// How long a request of which the server is unknown may wait for keys that
  /// have just moved before it asks again.
  Millis m_notHeldRetryDelay{30};
  /// From the start of the process, requests wait for its routes and servers:
  /// peers or the store tell them within that time. Later ones are refused.
  Millis m_startupTimeout{900};
  /// How often a waiting request looks whether they are there.
  Millis m_startupPollInterval{10};
  /// Memory of bodies held at the same time.
  std::size_t m_maxBufferedBytes = 64U << 20U;

  bool operator==(const EdgePolicy &) const = default;
};

/// Decides whether a request that failed goes to another server.
///
/// Load pattern: servers that fail, refuse or break off part of their work.
/// \p Result is the end of the last dispatch; \p WasRun whether any dispatch
/// so far may have run.
bool mayRetry(RequestKind Kind, DispatchResult Result, bool MayHaveRun,
              unsigned Dispatches, unsigned Attempts);

class EdgeServer {
public:
  /// What the server needs of its host.
  struct Callbacks {
    std::function<std::shared_ptr<RouteTable>()> m_routes;
    std::function<bool()> m_hasServers;
    std::function<const ServerEntry *(const std::string &Id)> m_findServer;
    std::function<void(const std::string &Service, Key Value)> m_onNotHeld;
    std::function<void(std::uint64_t Fingerprint, const ServerEntry &)>
        m_onCrash;
    std::function<void(const ServerEntry &)> m_onLeaving;
  };

  EdgeServer(boost::asio::any_io_executor Executor, EdgePolicy Policy,
             const GatewaySettings &Settings, Admission &Slots,
             UpstreamClient &Upstreams, PoisonRegistry &Poison, EventLog &Log,
             GatewayMetrics &Metrics, Roster &Hosts, Callbacks Context);

  /// Opens the client port. Errors: those of the system.
  std::error_code start();

  /// Answers with "Connection: close" from now on.
  void beginDrain() { m_isDraining = true; }
  /// Refuses requests that arrive from now on.
  void refuseNewRequests() { m_isRefusing = true; }
  /// Refuses the requests that wait for a slot: they may come back elsewhere.
  void refuseWaitingRequests();
  /// Takes no new connections and closes those without a request.
  void closeIdleConnections();
  std::size_t activeRequests() const { return m_activeRequests; }
  std::size_t connectionCount() const { return m_sessions.size(); }

private:
  struct Session;
  struct ClientRequest;
  using SessionPtr = std::shared_ptr<Session>;

  boost::asio::awaitable<void> acceptLoop();
  boost::asio::awaitable<void> serve(SessionPtr Client);
  boost::asio::awaitable<bool>
  readRequest(SessionPtr Client, std::shared_ptr<ClientRequest> Request);
  boost::asio::awaitable<bool> readBody(SessionPtr Client,
                                        std::shared_ptr<ClientRequest> Request);
  /// Returns whether routes and servers are known.
  bool hasRoutesAndServers() const;
  boost::asio::awaitable<void> awaitRoutesAndServers();
  boost::asio::awaitable<void> handle(SessionPtr Client,
                                      std::shared_ptr<ClientRequest> Request);
  boost::asio::awaitable<void> dispatch(SessionPtr Client,
                                        std::shared_ptr<ClientRequest> Request);
  boost::asio::awaitable<bool>
  attemptDispatch(SessionPtr Client, std::shared_ptr<ClientRequest> Request);
  boost::asio::awaitable<void>
  answerUnserved(SessionPtr Client, std::shared_ptr<ClientRequest> Request);
  boost::asio::awaitable<void>
  forwardReply(SessionPtr Client, std::shared_ptr<ClientRequest> Request,
               UpstreamReply &Reply);
  boost::asio::awaitable<void>
  sendAnswer(SessionPtr Client, std::shared_ptr<ClientRequest> Request,
             unsigned Status, std::string_view Reason, Millis RetryAfter);
  boost::asio::awaitable<bool> write(SessionPtr Client, std::string Bytes);
  boost::asio::awaitable<void> checkForCrash(std::uint64_t Fingerprint,
                                             ServerEntry Server);
  bool selectRoute(ClientRequest &Request) const;
  UpstreamRequest makeRequest(SessionPtr Client,
                              std::shared_ptr<ClientRequest> Request,
                              const ServerEntry &Server) const;
  DispatchRequest makeAsk(const ClientRequest &Request) const;
  /// Returns the server of a decision if it may be sent \p Item now. Otherwise
  /// notes why, gives the slot back and returns null.
  const ServerEntry *findUsableServer(ClientRequest &Request,
                                      const AdmissionResult &Taken);
  /// Notes what an answer, or the want of one, says of a request.
  void recordReply(ClientRequest &Request, const ServerEntry &Server,
                   const UpstreamReply &Reply, std::size_t SentBytes);
  /// Returns whether a request that failed goes to another server.
  bool shouldRetry(ClientRequest &Request) const;
  static Framing requestFraming(const ClientRequest &Request);
  BodySource makeBodySource(SessionPtr Client,
                            std::shared_ptr<ClientRequest> Request) const;
  /// Returns whether the client has closed its connection.
  static bool isDisconnected(Session &Client);
  void watchForDisconnect(const SessionPtr &Client);
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
  const Callbacks m_callbacks;
  boost::asio::ip::tcp::acceptor m_acceptor;
  const TimePoint m_createdAt = BootClock::now();
  std::list<SessionPtr> m_sessions;
  std::size_t m_activeRequests = 0;
  std::size_t m_bufferedBytes = 0;
  bool m_isDraining = false;
  bool m_isRefusing = false;
  std::map<std::string, Millis> m_longestDeadlines; ///< Longest seen, by route.
  BackoffTracker m_restingServers;
};

} // namespace tamarackdrum::gateway

#endif // TAMARACKDRUM_GATEWAY_EDGE_SERVER_H

/// \file
/// Client connections: read, route, admit, dispatch, relay, account.

#ifndef TAMARACKDRUM_GATEWAY_EDGE_SERVER_H
#define TAMARACKDRUM_GATEWAY_EDGE_SERVER_H

#include "tamarackdrum/gateway/admission.h"
#include "tamarackdrum/gateway/backoff-tracker.h"
#include "tamarackdrum/gateway/gateway-metrics.h"
#include "tamarackdrum/gateway/message-head.h"
#include "tamarackdrum/gateway/upstream-exchange.h"
#include "tamarackdrum/poison.h"

#include <list>

namespace tamarackdrum::gateway {

struct EdgePolicy {
  /// Part of a request body that is held for a second dispatch; the rest of a
  /// longer one is streamed.
  std::size_t m_heldBodyBytes = 256U << 10U;
  /// Longest wait of a request whose client and route name none.
  Millis m_defaultDeadline{30000};
  /// A client that does not take an answer for this long is given up.
  Millis m_writeTimeout{10000};
  /// Dispatches of one request that reached no server at most.
  unsigned m_unreachableTries = 3;
  /// How long a request of which the server is unknown may wait for keys that
  /// have just moved before it asks again.
  Millis m_notHeldPause{30};
  /// From the start of the process, requests wait for its routes and servers:
  /// peers or the store tell them within that time. Later ones are refused.
  Millis m_startTime{900};
  /// How often a waiting request looks whether they are there.
  Millis m_startPoll{10};
  /// Memory of bodies held at the same time.
  std::size_t m_bodyMemory = 64U << 20U;

  bool operator==(const EdgePolicy &) const = default;
};

/// Decides whether a request that failed goes to another server.
///
/// Load pattern: servers that fail, refuse or break off part of their work.
/// \p Result is the end of the last dispatch; \p WasRun whether any dispatch
/// so far may have run.
bool mayDispatchAgain(RequestKind Kind, DispatchResult Result, bool WasRun,
                      unsigned Dispatches, unsigned Attempts);

class EdgeServer {
public:
  /// What the server needs of its host.
  struct View {
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
             UpstreamExchange &Upstreams, PoisonRegistry &Poison, EventLog &Log,
             GatewayMetrics &Metrics, Roster &Hosts, View Context);

  /// Opens the client port. Errors: those of the system.
  std::error_code start();

  /// Answers with "Connection: close" from now on.
  void beginDrain() { m_isDraining = true; }
  /// Refuses requests that arrive from now on.
  void refuseNew() { m_isRefusing = true; }
  /// Refuses the requests that wait for a slot: they may come back elsewhere.
  void refuseWaiting();
  /// Takes no new connections and closes those without a request.
  void closeIdle();
  std::size_t activeRequests() const { return m_active; }
  std::size_t connections() const { return m_sessions.size(); }

private:
  struct Session;
  struct Exchange;
  using SessionPtr = std::shared_ptr<Session>;

  boost::asio::awaitable<void> acceptLoop();
  boost::asio::awaitable<void> serve(SessionPtr Client);
  boost::asio::awaitable<bool> readRequest(SessionPtr Client,
                                           std::shared_ptr<Exchange> Item);
  boost::asio::awaitable<bool> readBody(SessionPtr Client,
                                        std::shared_ptr<Exchange> Item);
  /// Returns whether routes and servers are known.
  bool hasStarted() const;
  boost::asio::awaitable<void> awaitStart();
  boost::asio::awaitable<void> handle(SessionPtr Client,
                                      std::shared_ptr<Exchange> Item);
  boost::asio::awaitable<void> dispatch(SessionPtr Client,
                                        std::shared_ptr<Exchange> Item);
  boost::asio::awaitable<bool> tryOnce(SessionPtr Client,
                                       std::shared_ptr<Exchange> Item);
  boost::asio::awaitable<void> settle(SessionPtr Client,
                                      std::shared_ptr<Exchange> Item);
  boost::asio::awaitable<void> relay(SessionPtr Client,
                                     std::shared_ptr<Exchange> Item,
                                     UpstreamReply &Reply);
  boost::asio::awaitable<void> answer(SessionPtr Client,
                                      std::shared_ptr<Exchange> Item,
                                      unsigned Status, std::string_view Reason,
                                      Millis RetryAfter);
  boost::asio::awaitable<bool> write(SessionPtr Client, std::string Bytes);
  boost::asio::awaitable<void> checkCrash(std::uint64_t Fingerprint,
                                          ServerEntry Server);
  bool route(Exchange &Item) const;
  UpstreamRequest makeRequest(SessionPtr Client, std::shared_ptr<Exchange> Item,
                              const ServerEntry &Server) const;
  DispatchRequest makeAsk(const Exchange &Item) const;
  /// Returns the server of a decision if it may be sent \p Item now. Otherwise
  /// notes why, gives the slot back and returns null.
  const ServerEntry *checkServer(Exchange &Item, const Admitted &Taken);
  /// Notes what an answer, or the want of one, says of a request.
  void noteReply(Exchange &Item, const ServerEntry &Server,
                 const UpstreamReply &Reply, std::size_t SentBytes);
  /// Returns whether a request that failed goes to another server.
  bool goesOn(Exchange &Item) const;
  static Framing requestFraming(const Exchange &Item);
  BodySource makeSource(SessionPtr Client,
                        std::shared_ptr<Exchange> Item) const;
  /// Returns whether the client has closed its connection.
  static bool hasLeft(Session &Client);
  void watchClient(const SessionPtr &Client);
  void account(const Exchange &Item, unsigned Status, std::string_view Reason);

  boost::asio::any_io_executor m_executor;
  const EdgePolicy m_policy;
  const GatewaySettings &m_settings;
  Admission &m_slots;
  UpstreamExchange &m_upstreams;
  PoisonRegistry &m_poison;
  EventLog &m_log;
  GatewayMetrics &m_metrics;
  Roster &m_hosts;
  const View m_view;
  boost::asio::ip::tcp::acceptor m_acceptor;
  const TimePoint m_createdAt = BootClock::now();
  std::list<SessionPtr> m_sessions;
  std::size_t m_active = 0;
  std::size_t m_heldBytes = 0;
  bool m_isDraining = false;
  bool m_isRefusing = false;
  std::map<std::string, Millis> m_fullDeadlines; ///< Longest seen, by route.
  BackoffTracker m_rests;
};

} // namespace tamarackdrum::gateway

#endif // TAMARACKDRUM_GATEWAY_EDGE_SERVER_H

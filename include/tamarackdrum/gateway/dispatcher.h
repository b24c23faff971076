/// \file
/// Assigns the requests of one service to its backend servers, queues those
/// that find no free slot and refuses those that cannot be served in time. The
/// dispatcher of the coordinator serves all hosts; a host that cannot reach it
/// uses a local dispatcher with a share of the slots.
///
/// Load pattern: more requests than slots, on servers of different speed. With
/// a single queue in front of all slots, a free slot goes to the most urgent
/// request of the highest priority, and a request that cannot be served in time
/// is refused when it arrives. Routes that share a service may differ in their
/// service time, so each request is estimated by its own route.

#ifndef TAMARACKDRUM_GATEWAY_DISPATCHER_H
#define TAMARACKDRUM_GATEWAY_DISPATCHER_H

#include "tamarackdrum/gateway/answer-report.h"
#include "tamarackdrum/gateway/cold-server.h"
#include "tamarackdrum/gateway/dispatch-state.h"
#include "tamarackdrum/gateway/failure-judge.h"
#include "tamarackdrum/gateway/key-map.h"
#include "tamarackdrum/gateway/rate-limit.h"
#include "tamarackdrum/gateway/retry-window.h"
#include "tamarackdrum/gateway/return-schedule.h"
#include "tamarackdrum/gateway/server-directory.h"
#include "tamarackdrum/gateway/server-load.h"

#include <deque>
#include <functional>
#include <limits>
#include <list>
#include <optional>
#include <set>

namespace tamarackdrum::gateway {

/// Identifies a request at a dispatcher: the peer link over which it arrived,
/// or 0 for a request of this host, and its number on that link.
struct DispatchId {
  std::uint32_t m_link = 0;
  std::uint32_t m_number = 0;

  auto operator<=>(const DispatchId &) const = default; // NOLINT: generated
};

/// A server to which a host must not send requests for some time, because the
/// server has asked it to wait.
struct ServerBackoff {
  std::string m_server;
  Millis m_remaining{0};

  bool operator==(const ServerBackoff &) const = default;
};

/// A request for a slot on a server.
struct DispatchRequest {
  DispatchId m_id;
  std::string m_zone;       ///< Availability zone of the host that sends it.
  std::string m_route;      ///< Requests of a route have similar service times.
  std::optional<Key> m_key; ///< For keyed services only.
  unsigned m_priority = 0;  ///< 0 is the highest priority.
  bool m_isRetry = false;   ///< Has been sent to a server before.
  Millis m_objectiveLeft{0}; ///< Time until its latency objective is missed.
  Millis m_timeLeft{0};      ///< Time until its deadline.
  /// Servers that must not get it again. Keyed services ignore them: only the
  /// holder of the key can serve the request.
  std::vector<std::string> m_triedServers;
  std::vector<ServerBackoff> m_backoffs; ///< Of the host that sends it.

  bool operator==(const DispatchRequest &) const = default;
};

/// Why a request is refused.
enum class RefusalReason {
  None,
  NoServer,      ///< The service has no usable server.
  Overloaded,    ///< It would wait longer than its time allows.
  NoRetryBudget, ///< The service's retry budget is used up.
  ServerBackoff, ///< Its host must not send to any server that could run it.
  ServerLimit,   ///< The limits of the servers that could run it are used up.
  NoDecision     ///< Its time ended while it waited. Not sent to other hosts.
};

/// Returns the name of \p Value for answers and logs.
const char *toText(RefusalReason Value) noexcept;

/// Answer to a DispatchRequest: a server or a refusal.
struct DispatchDecision {
  DispatchId m_id;
  std::string m_server; ///< Empty if refused.
  RefusalReason m_reason = RefusalReason::None;
  Millis m_retryAfter{0}; ///< If refused: time until a slot is expected.

  bool operator==(const DispatchDecision &) const = default;
};

/// Outcome of a dispatch.
enum class DispatchResult {
  Served,         ///< A whole answer that reports no failure of the server.
  Failed,         ///< The server answered that it failed.
  Refused,        ///< The server answered that it did not run the request.
  NotHeld,        ///< As Refused: it lacks the key or is another instance.
  Unreachable,    ///< No connection could be opened.
  ConnectionLost, ///< The connection ended before the whole answer.
  TimedOut,       ///< No whole answer in time.
  Withdrawn       ///< No longer wanted, e.g. since the client disconnected.
};

struct DispatchPolicy {
  /// Share of each server's slots that this dispatcher may use.
  double m_slotShare = 1.0;
  /// Share of each server's rate limit that this dispatcher may use; 1 if it
  /// decides for all hosts.
  double m_rateShare = 1.0;
  /// Differs between hosts; see RateShare::m_phase.
  std::uint64_t m_rateSeed = 0;
  /// Most requests that a server may get beyond its slots while others wait, as
  /// a share of its slots. See overcommitOf().
  double m_maxOvercommitShare = 0.25;
  /// Weight of a new sample in the average idle time of assigned slots.
  double m_idleTimeWeight = 0.02;
  /// A server in the zone of the request's host is chosen while its expected
  /// service time, times this factor, is within the objective. Traffic between
  /// zones is expensive, and an answer well before the objective has no
  /// additional value.
  double m_zoneSafetyFactor = 1.6;
  /// Share of its objective for which a request waits for a server in the zone
  /// of its host while servers in other zones have free slots.
  double m_zoneWaitShare = 0.25;
  /// Service time that is assumed before the first sample.
  Millis m_initialServiceTime{150};
  /// Weight of a new sample in a server's mean service time.
  double m_serviceTimeWeight = 0.2;
  /// Weight of a new sample in the factor of a route.
  double m_routeWeight = 0.05;
  /// First and longest pause of a server that is unreachable or loses
  /// connections. Each further error doubles the pause.
  Millis m_initialPause{300};
  Millis m_maxPause{2000};
  /// First pause of a server that does not hold a key: time to renew its grant.
  Millis m_notHeldPause{120};
  /// Consecutive errors after which a server is paused; see updateStatistics().
  unsigned m_errorsBeforePause = 2;
  /// Servers are paused only if hosts in general fail to reach them; see
  /// FailureJudge. Otherwise each host's failures count.
  bool m_judgesByHost = false;
  /// A request counts as late once the rest of its objective is less than its
  /// expected service time multiplied by this factor.
  double m_minObjectiveFactor = 0.8;
  /// A request is not dispatched once its remaining time is less than its
  /// expected service time multiplied by this factor: most such requests would
  /// time out and waste the slot.
  double m_minTimeFactor = 1.3;
  /// The latest objective goes first, not the earliest, when the last request
  /// in order would use more than this share of its remaining objective. Higher
  /// for the requests of one holder of keys, which has few slots and is often
  /// behind for a moment.
  double m_newestFirstShare = 0.8;
  double m_keyedNewestFirstShare = 1.3;
  /// Share of its remaining time within which a late request must be expected
  /// to end, or it is refused on arrival.
  double m_maxLateTimeShare = 0.85;
  /// The slot of a dispatch without a report is freed this long after the
  /// deadline of its request. Hosts end requests at the deadline and report at
  /// once, so the time only has to cover a slow link.
  Millis m_reportGrace{1000};
  /// Time within which the holder of keys should serve the requests that wait
  /// for them.
  Millis m_backlogDrainTime{1000};
  /// Retry-After without an estimate: about two polls of the server registry.
  Millis m_defaultRetryAfter{1000};
  Millis m_minRetryAfter{50};
  RetryPolicy m_retries;
  ColdBound m_coldBound;
  ReturnPolicy m_returns; ///< For keyed services.

  bool operator==(const DispatchPolicy &) const = default;
};

using DispatchDecisions = std::vector<DispatchDecision>;

/// Dispatcher of one service. Its calls append the decisions that they cause,
/// also those for requests that were waiting, to \p Out.
class Dispatcher {
public:
  explicit Dispatcher(DispatchPolicy Policy);

  /// Replaces the list of servers.
  void setServers(const std::vector<ServerEntry> &Servers, TimePoint Now,
                  DispatchDecisions &Out);

  /// Makes the service a keyed one and sets the holders of its keys.
  void setKeyMap(KeyMap Map, TimePoint Now, DispatchDecisions &Out);

  /// Assigns, queues or refuses a request.
  void submit(const DispatchRequest &Request, TimePoint Now,
              DispatchDecisions &Out);

  /// Removes a waiting request; a running one ends with finish().
  void withdraw(const DispatchId &Id);

  /// Records the end of a dispatch and assigns its slot to a waiting request.
  /// \p Load is the load that the answer reports, if any.
  void finish(const DispatchId &Id, DispatchResult Outcome, Millis ServiceTime,
              TimePoint Now, DispatchDecisions &Out,
              const std::optional<ReportedLoad> &Load = std::nullopt);

  /// Adds a dispatch that another dispatcher has decided and that ends within
  /// \p TimeLeft.
  void addRunning(const DispatchId &Id, const std::string &Server,
                  const std::string &Route, Millis TimeLeft, TimePoint Now);

  /// Removes all running dispatches. For a host that becomes coordinator again:
  /// others have decided in between, and all hosts report what they run.
  void clearRunning();

  /// Updates the statistics of a server with the outcome of a dispatch that
  /// another dispatcher has decided.
  void recordOutcome(const std::string &Server, const std::string &Route,
                     DispatchResult Outcome, Millis ServiceTime, TimePoint Now,
                     const std::optional<ReportedLoad> &Load = std::nullopt);

  /// Records what an answer of \p Server to a request that was sent at
  /// \p SentAt or later says about its rate limit. Returns the change, if any.
  std::optional<LimitChange> noteLimit(const std::string &Server,
                                       const NamedLimit &Named,
                                       TimePoint SentAt, TimePoint Now);
  /// As above, for the answer to a running dispatch.
  std::optional<LimitChange> noteLimit(const DispatchId &Id,
                                       const NamedLimit &Named, TimePoint Now);

  /// Records a limit that another host knows; see RateLimit::adopt(). Returns
  /// the change, if any.
  std::optional<LimitChange> adoptLimit(const std::string &Server,
                                        double PerSecond, Millis Age,
                                        TimePoint Now);

  /// Sets how cold servers are treated. \p HeardShare is the part of all hosts
  /// that this one hears of: hosts beyond may have another dispatcher that
  /// decides for them.
  void setColdPolicy(const ColdPolicy &Policy, double HeardShare,
                     TimePoint Now);
  /// Records the time left cold that an answer to a request that was sent at
  /// \p SentAt or later says.
  void noteColdTime(const std::string &Server, Millis Left, TimePoint SentAt,
                    TimePoint Now);
  /// As above, for the answer to a running dispatch.
  void noteColdTime(const DispatchId &Id, Millis Left, TimePoint Now);
  /// Records that another host expects a server to be cold for \p Left.
  void adoptCold(const std::string &Server, Millis Left, TimePoint Now);
  /// Returns the servers that a new coordinator has to be told of.
  std::vector<KnownCold> coldServers(TimePoint Now) const;
  /// Returns the changes since the last call.
  std::vector<ColdChange> takeColdChanges(TimePoint Now);

  /// Returns the known rate limits.
  std::vector<KnownLimit> limits(TimePoint Now) const;

  /// Sets the policy from now on.
  void setPolicy(const DispatchPolicy &Policy, TimePoint Now);
  /// Sets the part of all servers' limits that this dispatcher may use, as
  /// DispatchPolicy::m_rateShare.
  void setRateShare(double Share, TimePoint Now);

  /// Removes the waiting requests of a lost link. Its running requests keep
  /// their slots for twice the mean service time at most.
  void dropLink(std::uint32_t Link, TimePoint Now);

  /// Refuses requests that can no longer be served, frees the slots of
  /// dispatches without a report and assigns waiting requests to free slots,
  /// also of servers whose pause has ended.
  void tick(TimePoint Now, DispatchDecisions &Out);

  /// Returns whether no request waits or runs.
  bool isIdle() const { return m_waiting.empty() && m_running.empty(); }

  /// Returns the requests per second that \p Server is expected to serve.
  double capacityOf(const std::string &Server) const;

  /// Returns how many requests wait for keys of \p Server.
  std::size_t waitingFor(const std::string &Server) const;

  DispatchLoad load() const;
  /// Returns requests per second by key, sorted by key, for keys that have been
  /// requested of late. A waiting request counts with a rate at which it would
  /// be served within DispatchPolicy::m_backlogDrainTime.
  std::vector<KeyRate> keyDemand(TimePoint Now);
  const KeyMap &keyMap() const { return m_keys; }
  const ReturnCounts &returnCounts() const { return m_returns.counts(); }

private:
  struct Running {
    std::string m_server;
    std::string m_route;
    TimePoint m_startedAt;
    TimePoint m_expiresAt; ///< The slot is freed then even without a report.
    /// Another dispatcher has decided it, before m_startedAt.
    bool m_isAdopted = false;
  };
  struct Server {
    ServerEntry m_entry;
    std::size_t m_runningCount = 0;
    double m_meanServiceMs = 0; ///< Moving average; 0 if unknown.
    double m_refusedShare = 0;
    double m_failedShare = 0;
    unsigned m_consecutiveErrors = 0;
    bool m_lacksKey = false; ///< Paused because it did not hold a key.
    Millis m_pause{0};       ///< Last pause; 0 after an answer without error.
    TimePoint m_pausedUntil{};
    TimePoint m_lastSampleAt{};
    RateLimit m_rateLimit;
    std::uint64_t m_heldBack = 0; ///< See KnownLimit.
    ServerLoad m_load;
    ColdState m_cold;
    RateLimit m_coldLimit;      ///< Holds while the server is cold.
    bool m_isShownCold = false; ///< See takeColdChanges().
    /// Unreachable or lost connections without an answer in between.
    unsigned m_contactErrors = 0;
  };
  struct Waiting {
    DispatchRequest m_request;
    TimePoint m_objectiveAt;
    TimePoint m_deadline;
    TimePoint m_ownZoneUntil; ///< Waits only for its own zone until then.
    bool m_isLate = false;    ///< Is not expected to meet its objective.
    /// Was refused before, and has returned to its place in the order of
    /// return: new requests have been judged with regard to it.
    bool m_hasPlace = false;
    std::uint64_t m_arrival = 0; ///< Number in the order of arrival.
  };
  using Queue = std::list<Waiting>; ///< By priority, then by arrival.

  /// The requests with the earliest and the latest objective of a set.
  struct ObjectiveRange {
    Queue::iterator m_earliest;
    Queue::iterator m_latest;

    void add(Queue::iterator Item, Queue::iterator None) {
      if (m_earliest == None || Item->m_objectiveAt < m_earliest->m_objectiveAt)
        m_earliest = Item;
      if (m_latest == None || Item->m_objectiveAt >= m_latest->m_objectiveAt)
        m_latest = Item;
    }
  };

  /// Map key for all servers of a service without keys.
  static inline const std::string AllServers;

  /// Limits of a server that is not listed at present.
  struct KeptLimit {
    std::int64_t m_startMs = 0; ///< As in ServerEntry.
    RateLimit m_limit;
    RateLimit m_coldLimit;
    ColdState m_cold;
    TimePoint m_until;
  };

  /// Server for a new request; without a server the request waits.
  struct Choice {
    Server *m_server = nullptr;
    TimePoint m_ownZoneUntil; ///< Waits only for its own zone until then.
  };

  /// Estimate of how soon a waiting request is served.
  struct WaitEstimate {
    double m_ratePerMs = 0; ///< Requests served per millisecond.
    double m_serviceMs = 0; ///< Service time of the request itself.
    double m_pauseMs = 0;   ///< Time until the first request is served.
    /// The rate is that of limits that servers have named.
    bool m_isLimited = false;
    /// Time until the limit ends, and the requests per millisecond from then
    /// on.
    double m_limitEndMs = std::numeric_limits<double>::infinity();
    double m_rateAfterPerMs = 0;

    /// Returns the expected wait behind \p Ahead other requests.
    double waitMs(std::size_t Ahead) const {
      return atActualRate(m_pauseMs +
                          static_cast<double>(Ahead + 1) / m_ratePerMs);
    }
    /// Returns the wait that takes \p Ms if the limit does not end.
    double atActualRate(double Ms) const {
      return Ms <= m_limitEndMs
                 ? Ms
                 : m_limitEndMs +
                       (Ms - m_limitEndMs) * m_ratePerMs / m_rateAfterPerMs;
    }
  };

  std::size_t slotsOf(const Server &Item) const;
  /// Returns whether a server has a free slot and its rate limit permits
  /// another request.
  bool mayAssign(const Server &Item, TimePoint Now, bool OthersWait) const;
  bool hasFreeSlot(const Server &Item, TimePoint Now, bool OthersWait) const;
  /// Counts a request that gets no slot of \p Item because of its rate limit.
  void countIfHeldBack(Server &Item, TimePoint Now) const;
  /// Returns how many requests a server may get beyond its slots.
  ///
  /// Load pattern: hosts with slow links. A slot counts as taken from the
  /// decision to the report of the end; while either message is in transit the
  /// slot is idle. Requests that wait at the server fill these gaps.
  std::size_t overcommitOf(const Server &Item, TimePoint Now) const;
  double expectedServiceMs(const Server &Item, TimePoint Now) const;
  /// Returns the expected service time of a server, increased for the requests
  /// that it refuses or fails.
  double costOf(const Server &Item, TimePoint Now) const;
  /// Returns the service time of requests of \p Route relative to the mean of
  /// the service.
  double routeFactor(const std::string &Route) const;
  /// Returns the requests per millisecond that a server, or all servers
  /// together, can serve; a paused or draining server counts as 0.
  double serviceRate(const Server &Item, TimePoint Now) const;
  /// As above, if the server had no rate limit.
  double slotRate(const Server &Item, TimePoint Now) const;
  /// Returns whether the limits of a server permit another request now.
  bool hasPermit(const Server &Item, TimePoint Now) const;
  void takePermit(Server &Item, TimePoint Now);
  double msUntilPermit(const Server &Item, TimePoint Now) const;
  /// Returns the requests per millisecond that the limits of a server permit;
  /// infinity if it has none.
  double limitRate(const Server &Item, TimePoint Now) const;
  /// Returns whether the limit on cold servers holds for a server.
  bool isCold(const Server &Item, TimePoint Now) const;
  /// Sets the rate of permits for a server while it is cold.
  void setColdLimit(Server &Item, TimePoint Now) const;
  /// Records the state that the registry shows of a server. \p HasChanged: the
  /// server has just been listed or restarted, or its evacuation has ended.
  void updateCold(const ServerEntry &Entry, Server &Item, bool HasChanged,
                  TimePoint Now) const;
  /// Records whether a server could be reached.
  void updateContact(Server &Item, DispatchResult Outcome, TimePoint Now) const;
  /// Keeps the rate limit of a removed server for a while: its registry entry
  /// may have lapsed although it runs.
  void keepLimit(const Server &Item, TimePoint Now);
  /// Sets the rate limit of a new server, which is the kept one if the same
  /// instance of the server has returned.
  void restoreLimit(const ServerEntry &Entry, Server &Item, TimePoint Now);
  /// Returns whether the rate limit of a server permits less than its slots do.
  bool isLimitBound(const Server &Item, TimePoint Now) const;
  /// Returns whether that holds for each server that is in use.
  bool areAllLimited(TimePoint Now) const;
  double serviceRate(TimePoint Now) const;
  WaitEstimate estimateWait(const DispatchRequest &Request,
                            TimePoint Now) const;
  /// Returns when the first server is no longer paused; nothing if no server
  /// takes requests. The time may be past.
  std::optional<TimePoint> earliestPauseEnd() const;
  /// Returns the time after which the host of \p Request may send to the first
  /// server that could run it; nothing if it may send to one now.
  std::optional<Millis> remainingBackoff(const DispatchRequest &Request) const;
  Choice chooseServer(const DispatchRequest &Request, TimePoint Now);
  /// Returns until when \p Request, of a service without keys, waits only for a
  /// server in the zone of its host; \p Now if it does not.
  TimePoint zoneWaitEnd(const DispatchRequest &Request, TimePoint Now) const;
  void assign(const DispatchRequest &Request, Server &Target, TimePoint Now,
              DispatchDecisions &Out);
  void refuse(const DispatchRequest &Request, RefusalReason Reason,
              Millis RetryAfter, DispatchDecisions &Out) const;
  /// Refuses a request that would have to wait for \p WaitMs. Where limits of
  /// servers hold, the callers that are refused are told times at the rate of
  /// the limits, in the order in which they are refused. Callers of a holder of
  /// keys get a place in the order of return, if there is one.
  void refuseForWait(const Waiting &Item, const WaitEstimate &Expected,
                     double WaitMs, TimePoint Now, DispatchDecisions &Out);
  /// Returns the time after which a caller that \p WaitMs is too long for is to
  /// return to the holder of its key.
  Millis returnTime(const Waiting &Item, const WaitEstimate &Expected,
                    double WaitMs, TimePoint Now);
  /// Returns how many requests are served before \p Item, with \p Ahead
  /// waiting ones and the callers that are due to return until then.
  std::size_t aheadWithReturns(const Waiting &Item, std::size_t Ahead,
                               const WaitEstimate &Expected,
                               TimePoint Now) const;
  /// Returns the name of the queue in which \p Request waits: the holder of its
  /// key, if there is one, or AllServers.
  const std::string &queueOf(const DispatchRequest &Request) const;
  std::size_t waitingCount() const;
  /// Removes the waiting requests for which \p Condition holds.
  void removeWaiting(const std::function<bool(const Waiting &)> &Condition);
  /// Returns whether \p Target may run a request of its queue.
  bool mayRun(const Waiting &Item, const Server &Target) const;
  /// Moves the waiting requests whose keys have a new holder to its queue.
  void sortByHolder();
  /// Assigns waiting requests to the free slots of \p Target.
  void fillSlots(Server &Target, TimePoint Now, DispatchDecisions &Out);
  void fillAllSlots(TimePoint Now, DispatchDecisions &Out);
  /// Assigns waiting requests to servers whose rate limit permits another one
  /// by now, so that a new request does not overtake them.
  void usePermits(TimePoint Now, DispatchDecisions &Out);
  RateShare rateShareFor(const std::string &Server) const;
  /// Queues a request, or refuses it if it cannot be served in time.
  void enqueue(const DispatchRequest &Request, TimePoint OwnZoneUntil,
               TimePoint Now, DispatchDecisions &Out);
  void insertInOrder(Waiting Item);
  /// Returns the request of \p Own that \p Target should run next, or the end
  /// of the queue.
  Queue::iterator nextRequestFor(Queue &Own, const Server &Target,
                                 TimePoint Now);
  /// Returns the waiting request that has arrived first, among those of the
  /// highest priority that \p Target can run, or the end of the queue.
  ///
  /// Load pattern: a limit, not slots, decides how many requests are served.
  /// Its rate is known, so that a request that would be late is refused when it
  /// arrives, and whoever waits is served in order.
  Queue::iterator firstRequestFor(Queue &Own, const Server &Target,
                                  TimePoint Now);
  /// Marks a request as late if it can no longer meet its objective.
  /// \p ServiceMs is the expected service time of the request.
  void markIfLate(Waiting &Item, double ServiceMs, TimePoint Now) const;
  /// Refuses waiting requests that can no longer be served in time.
  void refuseUnservable(TimePoint Now, DispatchDecisions &Out);
  void refuseUnservable(Queue &Own, TimePoint Now, DispatchDecisions &Out);
  /// Returns whether all servers that could run \p Request, and at least one,
  /// are of evacuated zones or draining, and one is of an evacuated zone.
  bool areAllEvacuated(const DispatchRequest &Request) const;
  /// Lets no waiting request wait for servers of evacuated zones: ends waits
  /// for a slot in such a zone, and refuses requests that no other server can
  /// run.
  void releaseEvacuated(TimePoint Now, DispatchDecisions &Out);
  Millis notHeldPause() const;
  /// Raises the mean service time of servers whose requests take longer.
  ///
  /// Load pattern: a server becomes slow. The time of an unanswered request so
  /// far is a lower bound of its service time. Service times vary, so it takes
  /// two overdue requests and half of those that run; a single long request
  /// would make a good server look slow for seconds.
  void markOverdueServers(TimePoint Now);
  /// Returns whether the outcome of a dispatch of the host behind \p Link
  /// counts in the statistics of the server.
  bool countsForServer(const Server &Item, std::uint32_t Link,
                       DispatchResult Outcome, TimePoint Now);
  void updateStatistics(Server &Item, const std::string &Route,
                        DispatchResult Outcome, Millis ServiceTime,
                        const std::optional<ReportedLoad> &Load, TimePoint Now);

  DispatchPolicy m_policy;
  std::map<std::string, Server> m_servers;
  std::map<DispatchId, Running> m_running;
  /// Requests for keys of different holders do not compete, so that each holder
  /// has a queue of its own: the work of a decision must not grow with the
  /// servers of the service. No queue is empty.
  std::map<std::string, Queue> m_waiting;
  std::uint64_t m_lastArrival = 0;
  std::uint64_t m_looks = 0; ///< See DispatchLoad.
  RetryWindow m_retries;
  KeyMap m_keys;
  KeyLoad m_keyLoad;
  FailureJudge m_judge;
  bool m_isKeyed = false;
  double m_meanServiceMs;  ///< Moving average over all servers.
  double m_meanIdleMs = 0; ///< Average time that an assigned slot is idle.
  std::map<std::string, double> m_routeFactors;
  std::map<std::string, KeptLimit> m_keptLimits; ///< By server.
  ColdPolicy m_coldPolicy;
  double m_heardShare = 1;
  bool m_hasServers = false; ///< Servers have been set before.
  TimePoint m_now{};         ///< Of the last tick.
  /// Last time at which the limit permits a refused caller to return, by holder
  /// of keys, or for AllServers.
  std::map<std::string, TimePoint> m_lastReturns;
  ReturnSchedule m_returns; ///< Of a keyed service.
};

} // namespace tamarackdrum::gateway

#endif // TAMARACKDRUM_GATEWAY_DISPATCHER_H

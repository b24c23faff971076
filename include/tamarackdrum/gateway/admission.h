/// \file
/// Gets a slot for each request of this host: from the coordinator of the
/// service, or from a local dispatcher if the coordinator does not respond.

#ifndef TAMARACKDRUM_GATEWAY_ADMISSION_H
#define TAMARACKDRUM_GATEWAY_ADMISSION_H

#include "tamarackdrum/gateway/dispatcher-registry.h"
#include "tamarackdrum/gateway/event-log.h"
#include "tamarackdrum/gateway/peer-network.h"

namespace tamarackdrum::gateway {

/// Timeouts of Admission.
struct AdmissionPolicy {
  /// Time within which a coordinator must acknowledge a request. Allows for a
  /// few round trips between zones and for the scheduling delays of a busy
  /// host.
  Millis m_ackTimeout{150};
  /// After a longer pause between two ticks, acknowledgements may be there that
  /// have not been read yet. The second tick in a row no longer waits for them.
  Millis m_maxTickPause{100};

  bool operator==(const AdmissionPolicy &) const = default;
};

/// The dispatcher that decides on a request: that of this host as coordinator,
/// that of another host as coordinator, or the local fallback.
enum class AdmissionPlace { Here, Coordinator, Fallback };

const char *toText(AdmissionPlace Value) noexcept;

/// The decision on a request, and what finish() needs to release its slot.
struct AdmissionResult {
  DispatchDecision m_decision;
  std::uint32_t m_number = 0;
  AdmissionPlace m_place = AdmissionPlace::Fallback;
};

/// Identifies a pending acquire() so that cancel() can end it.
struct AdmissionHandle {
  std::uint32_t m_number = 0; ///< 0: no call is pending.
};

/// Obtains and releases the slots of this host's requests, and runs the
/// dispatchers of the services that this host coordinates.
class Admission {
public:
  /// \p Shared is the dispatch policy that all hosts use.
  Admission(boost::asio::any_io_executor Executor, AdmissionPolicy Policy,
            DispatchPolicy Shared, Roster &Hosts, EventLog &Log);

  void setNetwork(PeerNetwork &Network) { m_network = &Network; }

  /// Waits for the decision on \p Ask, at most until its time ends. Passing
  /// \p Handle to cancel() meanwhile ends the wait with a refusal whose reason
  /// is RefusalReason::None.
  boost::asio::awaitable<AdmissionResult>
  acquire(std::string Service, DispatchRequest Ask, AdmissionHandle &Handle);
  void cancel(AdmissionHandle &Handle);

  /// Releases the slot of a dispatch that has ended and, unless the fallback
  /// decided on it, reports the result to the coordinator. \p Report is what
  /// the answer says about its server.
  void finish(const std::string &Service, const AdmissionResult &Taken,
              DispatchResult Outcome, Millis ServiceTime,
              const AnswerReport &Report = {});

  /// Sets the coordinator of each service. Running and waiting requests of a
  /// service move to its new coordinator.
  void setCoordinators(std::map<std::string, std::string> Coordinators);
  const std::map<std::string, std::string> &coordinators() const {
    return m_coordinators;
  }

  /// Sets the servers that may be given requests, by id.
  void setServers(const std::map<std::string, ServerEntry> &Servers);
  /// Sets the holders of the keys of a service. Returns false and changes
  /// nothing if \p Map is equal to or older than the known map.
  bool setKeyMap(const std::string &Service, const KeyMap &Map);
  /// Applies a change to the known map. Returns false if the change is based on
  /// a map that this host does not have.
  bool changeKeyMap(const std::string &Service, const KeyMapUpdate &Change);
  /// Drops the dispatchers of all services but \p Names.
  void setServices(const std::vector<std::string> &Names);
  /// Sets how cold servers are treated, by service.
  void setColdPolicies(std::map<std::string, ColdPolicy> Policies) {
    m_coldPolicies = std::move(Policies);
    updateRateShares();
  }

  // Handlers of messages from other hosts. Link identifies the connection.
  void onRunning(std::uint32_t Link, const std::vector<RunningDispatch> &Items,
                 const std::vector<ToldLimit> &Limits,
                 const std::vector<ToldCold> &Cold);
  void onAsk(std::uint32_t Link, const std::string &Zone,
             DispatchRequestMessage &Message);
  void onQueued(std::uint32_t Link, std::uint32_t Number);
  void onDecision(std::uint32_t Link, const DispatchDecision &Made);
  void onFinish(std::uint32_t Link, const FinishMessage &Message);
  void onWithdraw(std::uint32_t Link, const WithdrawMessage &Message);
  void onLinkDown(std::uint32_t Link);

  /// Returns the dispatches of this host that run for services that \p Host
  /// coordinates.
  std::vector<RunningDispatch>
  dispatchesCoordinatedBy(const std::string &Host) const;

  /// Returns the rate limits that this host has heard of lately, of servers of
  /// the services that \p Host coordinates.
  std::vector<ToldLimit> limitsFor(const std::string &Host) const;

  /// Returns the servers of these services that this host, as coordinator,
  /// expects to be cold although the registry may not show it.
  std::vector<ToldCold> coldServersFor(const std::string &Host) const;

  /// Moves requests whose coordinator is dead or has not acknowledged them in
  /// time to the fallback, and advances the timers of all dispatchers.
  void tick();

  DispatcherRegistry &dispatchers() { return m_dispatchers; }
  const KeyMap &keyMap(const std::string &Service) const;

private:
  /// A request that waits for a decision.
  struct PendingRequest {
    explicit PendingRequest(const boost::asio::any_io_executor &Executor)
        : m_decisionEvent(Executor) {}

    boost::asio::steady_timer m_decisionEvent; ///< Cancelled by resolve().
    std::string m_service;
    DispatchRequest m_ask;
    AdmissionPlace m_place = AdmissionPlace::Fallback;
    std::uint32_t m_link = 0;
    TimePoint m_sentAt{};
    bool m_isAcknowledged = false; ///< The dispatcher has the request.
    bool m_isDecided = false;
    DispatchDecision m_decision;
  };
  using PendingRequestPtr = std::shared_ptr<PendingRequest>;
  /// A request of this host that has a slot.
  struct StartedDispatch {
    std::string m_service;
    std::string m_server;
    std::string m_route;
    AdmissionPlace m_place;
    std::uint32_t m_link;
    TimePoint m_startedAt;
    TimePoint m_deadline;
  };

  /// Refuses a request whose time has ended without a decision.
  void endUndecided(PendingRequest &Item);
  /// Sends a request to the coordinator of its service, or to the fallback if
  /// no coordinator can be reached.
  void submit(const PendingRequestPtr &Item);
  /// Removes a request from the dispatcher at which it waits.
  void withdraw(const PendingRequest &Item);
  /// Reports the running requests of a service to its new coordinator, and
  /// submits the waiting ones again.
  void moveToCoordinator(const std::string &Host, const std::string &Service);
  /// Lets the fallback decide on a request. \p Reason is logged.
  void submitToFallback(const PendingRequestPtr &Item, std::string_view Reason);
  /// Records what an answer to a request of this host says about the rate limit
  /// of its server.
  void noteLimit(const StartedDispatch &Item, const NamedLimit &Named);
  /// Lets the dispatchers use the whole rate limits of servers where this host
  /// is the coordinator, and its share elsewhere: hosts that take it for the
  /// coordinator may ask it meanwhile.
  void updateRateShares();
  /// Logs a change, if any, of what this host knows about a limit. \p Age is
  /// the time since the server named it, as far as the source tells.
  void logLimit(const std::string &Service,
                const std::optional<LimitChange> &Change,
                std::string_view Source, Millis Age = Millis(0));
  /// Records the time left cold that an answer to a request of this host says.
  void noteColdTime(const StartedDispatch &Item, Millis Left);
  /// Logs which servers have become cold or warm.
  void logColdChanges(TimePoint Now);
  /// Stores the decision on a pending request and resumes its acquire().
  void resolve(std::uint32_t Number, const DispatchDecision &Made);
  /// Returns the policy of the fallback: this host's share of slots and of the
  /// retry budget.
  DispatchPolicy fallbackPolicy() const;

  boost::asio::any_io_executor m_executor;
  const AdmissionPolicy m_policy;
  const DispatchPolicy m_dispatchPolicy;
  Roster &m_hosts;
  EventLog &m_log;
  PeerNetwork *m_network = nullptr;
  DispatcherRegistry m_dispatchers; ///< Of services that this host coordinates.
  DispatcherRegistry m_fallbackDispatchers;
  TimePoint m_tickedAt{};
  bool m_hasPaused = false; ///< Before the last tick.
  std::map<std::string, std::string> m_coordinators;
  /// The coordinator of each service before the last change.
  std::map<std::string, std::string> m_lastCoordinators;
  std::map<std::string, KeyMap> m_keyMaps;
  std::map<std::string, ColdPolicy> m_coldPolicies; ///< By service.
  std::uint32_t m_lastNumber = 0;
  std::map<std::uint32_t, PendingRequestPtr> m_pending;
  std::map<std::uint32_t, StartedDispatch> m_running;
};

} // namespace tamarackdrum::gateway

#endif // TAMARACKDRUM_GATEWAY_ADMISSION_H

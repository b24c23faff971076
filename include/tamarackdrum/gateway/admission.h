/// \file
/// Gets a slot for each request of this host: from the coordinator of the
/// service, or from a local dispatcher when the coordinator is silent.

#ifndef TAMARACKDRUM_GATEWAY_ADMISSION_H
#define TAMARACKDRUM_GATEWAY_ADMISSION_H

#include "tamarackdrum/gateway/dispatcher-registry.h"
#include "tamarackdrum/gateway/event-log.h"
#include "tamarackdrum/gateway/peer-network.h"

namespace tamarackdrum::gateway {

struct AdmissionPolicy {
  /// A coordinator says within this time that it has an ask. Source: a few
  /// round trips between zones and turns of a busy host.
  Millis m_ackTimeout{150};

  bool operator==(const AdmissionPolicy &) const = default;
};

/// Where a request has asked for its slot.
enum class AdmissionPlace { Here, Coordinator, Fallback };

const char *toText(AdmissionPlace Value) noexcept;

/// A decision and what finish() needs to know.
struct AdmissionResult {
  DispatchDecision m_decision;
  std::uint32_t m_number = 0;
  AdmissionPlace m_place = AdmissionPlace::Fallback;
};

/// Lets a third party end the wait for a slot.
struct AdmissionHandle {
  std::uint32_t m_number = 0; ///< 0: nothing waits.
};

class Admission {
public:
  Admission(boost::asio::any_io_executor Executor, AdmissionPolicy Policy,
            DispatchPolicy Shared, Roster &Hosts, EventLog &Log);

  void setNetwork(PeerNetwork &Network) { m_network = &Network; }

  /// Waits for a decision. \p Wait can be given to cancel() meanwhile; the
  /// decision is then a refusal for no reason.
  boost::asio::awaitable<AdmissionResult>
  acquire(std::string Service, DispatchRequest Ask, AdmissionHandle &Handle);
  void cancel(AdmissionHandle &Handle);

  /// Gives the slot back.
  void finish(const std::string &Service, const AdmissionResult &Taken,
              DispatchResult Outcome, Millis ServiceTime);

  /// Sets the coordinator of each service.
  void setCoordinators(std::map<std::string, std::string> Coordinators);
  const std::map<std::string, std::string> &coordinators() const {
    return m_coordinators;
  }

  void setServers(const std::map<std::string, ServerEntry> &Servers);
  /// Takes the holders of the keys of a service, if they are news.
  bool setKeyMap(const std::string &Service, const KeyMap &Map);
  /// Takes a change of them. Returns false if it builds on a map that this
  /// host has not got.
  bool changeKeyMap(const std::string &Service, const KeyMapUpdate &Change);
  void setServices(const std::vector<std::string> &Names);

  // Messages of other hosts.
  void onRunning(std::uint32_t Link, const std::vector<RunningDispatch> &Items);
  void onAsk(std::uint32_t Link, const std::string &Zone,
             DispatchRequestMessage &Message);
  void onQueued(std::uint32_t Link, std::uint32_t Number);
  void onDecision(std::uint32_t Link, const DispatchDecision &Made);
  void onFinish(std::uint32_t Link, const FinishMessage &Message);
  void onWithdraw(std::uint32_t Link, const WithdrawMessage &Message);
  void onLinkDown(std::uint32_t Link);

  /// Requests of this host that run for services that \p Host coordinates.
  std::vector<RunningDispatch>
  dispatchesCoordinatedBy(const std::string &Host) const;

  void tick();

  DispatcherRegistry &dispatchers() { return m_dispatchers; }
  const KeyMap &keyMap(const std::string &Service) const;

private:
  struct PendingRequest {
    explicit PendingRequest(const boost::asio::any_io_executor &Executor)
        : m_decisionEvent(Executor) {}

    boost::asio::steady_timer m_decisionEvent;
    std::string m_service;
    DispatchRequest m_ask;
    AdmissionPlace m_place = AdmissionPlace::Fallback;
    std::uint32_t m_link = 0;
    TimePoint m_sentAt{};
    bool m_isAcknowledged = false;
    bool m_isDecided = false;
    DispatchDecision m_decision;
  };
  using PendingRequestPtr = std::shared_ptr<PendingRequest>;
  struct StartedDispatch {
    std::string m_service;
    std::string m_server;
    std::string m_route;
    AdmissionPlace m_place;
    std::uint32_t m_link;
    TimePoint m_deadline;
  };

  void submit(const PendingRequestPtr &Item);
  /// Takes an ask back from where it waits.
  void withdraw(const PendingRequest &Item);
  /// Hands what runs and waits over to the new coordinator of a service.
  void moveToCoordinator(const std::string &Host, const std::string &Service);
  void submitToFallback(const PendingRequestPtr &Item, std::string_view Reason);
  void resolve(std::uint32_t Number, const DispatchDecision &Made);
  DispatchPolicy fallbackPolicy() const;

  boost::asio::any_io_executor m_executor;
  const AdmissionPolicy m_policy;
  const DispatchPolicy m_dispatchPolicy;
  Roster &m_hosts;
  EventLog &m_log;
  PeerNetwork *m_network = nullptr;
  DispatcherRegistry m_dispatchers;
  DispatcherRegistry m_fallbackDispatchers;
  std::map<std::string, std::string> m_coordinators;
  std::map<std::string, KeyMap> m_keyMaps;
  std::uint32_t m_lastNumber = 0;
  std::map<std::uint32_t, PendingRequestPtr> m_pending;
  std::map<std::uint32_t, StartedDispatch> m_running;
};

} // namespace tamarackdrum::gateway

#endif // TAMARACKDRUM_GATEWAY_ADMISSION_H

/// \file
/// The dispatchers of one host, one for each service.

#ifndef TAMARACKDRUM_GATEWAY_DISPATCHER_REGISTRY_H
#define TAMARACKDRUM_GATEWAY_DISPATCHER_REGISTRY_H

#include "tamarackdrum/gateway/dispatcher.h"

#include <functional>
#include <memory>
#include <set>

namespace tamarackdrum::gateway {

/// Creates a dispatcher when a service is first used and passes the decisions
/// of all dispatchers to one handler.
class DispatcherRegistry {
public:
  /// Receives each decision. DispatchId::m_link tells the link to answer; 0 is
  /// this host.
  using DecisionHandler = std::function<void(const std::string &Service,
                                             const DispatchDecision &Decision)>;

  DispatcherRegistry(DispatchPolicy Policy, DecisionHandler OnDecision)
      : m_policy(Policy), m_onDecision(std::move(OnDecision)) {}

  /// Sets the policy of all dispatchers.
  void setPolicy(const DispatchPolicy &Policy, TimePoint Now);

  /// Replaces the servers of all services. \p Servers is keyed by server id.
  void setServers(const std::map<std::string, ServerEntry> &Servers,
                  TimePoint Now);
  void setKeyMap(const std::string &Service, const KeyMap &Map, TimePoint Now);
  /// Removes the dispatchers of all services but \p Known once none of their
  /// requests waits or runs any more.
  void retain(const std::vector<std::string> &Known);

  /// Submits a request. Returns true if it waits, false if it is decided.
  bool submit(const std::string &Service, const DispatchRequest &Request,
              TimePoint Now);
  void withdraw(const std::string &Service, const DispatchId &Id);
  void finish(const std::string &Service, const DispatchId &Id,
              DispatchResult Outcome, Millis ServiceTime, TimePoint Now,
              const std::optional<ReportedLoad> &Load = std::nullopt);
  void clearRunning(const std::string &Service);
  void recordOutcome(const std::string &Service, const std::string &Server,
                     const std::string &Route, DispatchResult Outcome,
                     Millis ServiceTime, TimePoint Now,
                     const std::optional<ReportedLoad> &Load = std::nullopt);
  std::optional<LimitChange> noteLimit(const std::string &Service,
                                       const std::string &Server,
                                       const NamedLimit &Named,
                                       TimePoint SentAt, TimePoint Now);
  std::optional<LimitChange> noteLimit(const std::string &Service,
                                       const DispatchId &Id,
                                       const NamedLimit &Named, TimePoint Now);
  /// Sets the part of servers' rate limits that the dispatcher of a service may
  /// use. Does nothing if there is none yet.
  void setRateShare(const std::string &Service, double Share, TimePoint Now);
  /// Sets how cold servers are treated, by service; see
  /// Dispatcher::setColdPolicy().
  void setColdPolicies(const std::map<std::string, ColdPolicy> &Policies,
                       double HeardShare, TimePoint Now);
  void addRunning(const std::string &Service, const DispatchId &Id,
                  const std::string &Server, const std::string &Route,
                  Millis TimeLeft, TimePoint Now);
  void dropLink(std::uint32_t Link, TimePoint Now);
  void tick(TimePoint Now);

  /// Returns the dispatcher of \p Service; creates it on the first call.
  Dispatcher &dispatcher(const std::string &Service, TimePoint Now);
  /// Returns the existing dispatchers by service.
  const std::map<std::string, std::unique_ptr<Dispatcher>> &all() const {
    return m_dispatchers;
  }

private:
  void deliver(const std::string &Service, const DispatchDecisions &Decisions);
  /// Removes the dispatchers of m_retired that have become idle.
  void removeRetired();

  DispatchPolicy m_policy;
  const DecisionHandler m_onDecision;
  std::map<std::string, std::vector<ServerEntry>> m_servers; ///< By service.
  std::map<std::string, KeyMap> m_keyMaps;                   ///< By service.
  std::map<std::string, ColdPolicy> m_coldPolicies;          ///< By service.
  double m_heardShare = 1;
  std::map<std::string, std::unique_ptr<Dispatcher>> m_dispatchers;
  /// Services that the configuration does not name and that have dispatchers.
  std::set<std::string> m_retired;
};

} // namespace tamarackdrum::gateway

#endif // TAMARACKDRUM_GATEWAY_DISPATCHER_REGISTRY_H

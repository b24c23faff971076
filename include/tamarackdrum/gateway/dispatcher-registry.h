/// \file
/// The dispatchers of all services at one host.

#ifndef TAMARACKDRUM_GATEWAY_DISPATCHER_REGISTRY_H
#define TAMARACKDRUM_GATEWAY_DISPATCHER_REGISTRY_H

#include "tamarackdrum/gateway/dispatcher.h"

#include <functional>
#include <memory>

namespace tamarackdrum::gateway {

class DispatcherRegistry {
public:
  /// Takes a decision for a link; link 0 is this host itself.
  using DecisionHandler = std::function<void(const std::string &Service,
                                             const DispatchDecision &Made)>;

  DispatcherRegistry(DispatchPolicy Policy, DecisionHandler Sink)
      : m_policy(Policy), m_onDecision(std::move(Sink)) {}

  /// Replaces the policy of dispatchers that are made from now on.
  void setPolicy(DispatchPolicy Policy) { m_policy = Policy; }

  void setServers(const std::map<std::string, ServerEntry> &Servers,
                  TimePoint Now);
  void setKeyMap(const std::string &Service, const KeyMap &Map, TimePoint Now);
  /// Drops the dispatchers of all services but \p Known.
  void retain(const std::vector<std::string> &Known);

  /// Takes an submit; returns whether it waits.
  bool submit(const std::string &Service, const DispatchRequest &Ask,
              TimePoint Now);
  void withdraw(const std::string &Service, const DispatchId &Id);
  void finish(const std::string &Service, const DispatchId &Id,
              DispatchResult Outcome, Millis ServiceTime, TimePoint Now);
  void clearRunning(const std::string &Service);
  void recordOutcome(const std::string &Service, const std::string &Server,
                     const std::string &Route, DispatchResult Outcome,
                     Millis ServiceTime, TimePoint Now);
  void addRunning(const std::string &Service, const DispatchId &Id,
                  const std::string &Server, const std::string &Route,
                  Millis TimeLeft, TimePoint Now);
  void dropLink(std::uint32_t Link, TimePoint Now);
  void tick(TimePoint Now);

  /// Returns the dispatcher of \p Service and makes it if need be.
  Dispatcher &dispatcher(const std::string &Service, TimePoint Now);
  const std::map<std::string, std::unique_ptr<Dispatcher>> &all() const {
    return m_dispatchers;
  }

private:
  void deliver(const std::string &Service, const DispatchDecisions &Made);

  DispatchPolicy m_policy;
  const DecisionHandler m_onDecision;
  std::map<std::string, std::vector<ServerEntry>> m_servers; ///< By service.
  std::map<std::string, KeyMap> m_keyMaps;
  std::map<std::string, std::unique_ptr<Dispatcher>> m_dispatchers;
};

} // namespace tamarackdrum::gateway

#endif // TAMARACKDRUM_GATEWAY_DISPATCHER_REGISTRY_H

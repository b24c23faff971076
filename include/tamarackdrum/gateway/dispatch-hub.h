/// \file
/// The dispatchers of all services at one host.

#ifndef TAMARACKDRUM_GATEWAY_DISPATCH_HUB_H
#define TAMARACKDRUM_GATEWAY_DISPATCH_HUB_H

#include "tamarackdrum/gateway/dispatcher.h"

#include <functional>
#include <memory>

namespace tamarackdrum::gateway {

class DispatchHub {
public:
  /// Takes a decision for a link; link 0 is this host itself.
  using Deliver = std::function<void(const std::string &Service,
                                     const DispatchDecision &Made)>;

  DispatchHub(DispatchPolicy Policy, Deliver Sink)
      : m_policy(Policy), m_deliver(std::move(Sink)) {}

  /// Replaces the policy of dispatchers that are made from now on.
  void setPolicy(DispatchPolicy Policy) { m_policy = Policy; }

  void setServers(const std::map<std::string, ServerEntry> &Servers,
                  TimePoint Now);
  void setKeyMap(const std::string &Service, const KeyMap &Map, TimePoint Now);
  /// Drops the dispatchers of all services but \p Known.
  void retain(const std::vector<std::string> &Known);

  /// Takes an ask; returns whether it waits.
  bool ask(const std::string &Service, const DispatchAsk &Ask, TimePoint Now);
  void withdraw(const std::string &Service, const Ticket &Id);
  void finish(const std::string &Service, const Ticket &Id,
              DispatchResult Outcome, Millis ServiceTime, TimePoint Now);
  void forgetRunning(const std::string &Service);
  void observe(const std::string &Service, const std::string &Server,
               const std::string &Route, DispatchResult Outcome,
               Millis ServiceTime, TimePoint Now);
  void adopt(const std::string &Service, const Ticket &Id,
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
  const Deliver m_deliver;
  std::map<std::string, std::vector<ServerEntry>> m_servers; ///< By service.
  std::map<std::string, KeyMap> m_keyMaps;
  std::map<std::string, std::unique_ptr<Dispatcher>> m_dispatchers;
};

} // namespace tamarackdrum::gateway

#endif // TAMARACKDRUM_GATEWAY_DISPATCH_HUB_H

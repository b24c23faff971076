/// \file
/// One entry-host process, put together from its parts.

#ifndef TAMARACKDRUM_ENTRY_HOST_H
#define TAMARACKDRUM_ENTRY_HOST_H

#include "tamarackdrum/control-api.h"
#include "tamarackdrum/load-balancer.h"
#include "tamarackdrum/metrics-sampler.h"
#include "tamarackdrum/once-only.h"
#include "tamarackdrum/server-health.h"
#include "tamarackdrum/server-prober.h"

namespace tamarackdrum {

/// The process. All dependencies outlive it.
class EntryHost {
public:
  EntryHost(Settings Config, boost::asio::io_context &Workers,
            TableStore &Table, HostList &Hosts, HttpClient &PeerClient,
            HttpClient &ServerClient);

  /// Binds both addresses and starts all activities.
  void start();

  /// Stops taking calls, and sends to servers only what has to end before
  /// \p End; returns at once.
  void beginStop(TimePoint End);

  /// Answers the calls that are still in flight; returns at once.
  void endCalls();

  /// Returns whether nothing is in flight any more.
  bool isIdle() const;

  /// Leaves the dispatch group; returns at once.
  void beginLeave() { m_keeper.beginLeave(); }
  bool hasLeft() const { return m_keeper.hasLeft(); }

private:
  const Settings m_settings;
  boost::asio::io_context &m_workers;
  Metrics m_metrics;
  Router m_router;
  ServerHealth m_health;
  ViewKeeper m_keeper;
  LoadBalancer m_balancer;
  PoisonGuard m_poison;
  RequestProxy m_proxy;
  ServerProber m_prober;
  ClaimStore m_claims;
  OnceOnlyGate m_onceOnly;
  MetricsSampler m_sampler;
  ControlApi m_control;
  HttpServer m_callerServer;
  HttpServer m_controlServer;
};

} // namespace tamarackdrum

#endif // TAMARACKDRUM_ENTRY_HOST_H

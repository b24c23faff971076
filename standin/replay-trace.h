/// \file
/// Loads for a replay: what clients ask for and what is wrong with servers,
/// made from a seed.

#ifndef TAMARACKDRUM_REPLAY_TRACE_H
#define TAMARACKDRUM_REPLAY_TRACE_H

#include "tamarackdrum/gateway/configuration.h"
#include "tamarackdrum/gateway/key-map.h"
#include "tamarackdrum/gateway/server-directory.h"

#include <optional>

namespace tamarackdrum::replay {

/// What may be wrong with servers during a span of the trace.
enum class Fault {
  Slow, ///< Work takes m_factor times as long.
  Shed, ///< A share of m_factor of the requests is refused as not run.
  Down, ///< Connections are refused.
  Mute  ///< A share of m_factor of the requests is never answered.
};

/// A fault of some servers for some time.
struct FaultSpan {
  Fault m_fault = Fault::Slow;
  Millis m_from{0};
  Millis m_to{0};
  double m_factor = 1;
  std::vector<std::size_t> m_servers; ///< Indices into Trace::m_servers.
};

struct SimulatedServer {
  gateway::ServerEntry m_entry;
  double m_speed = 1;
  unsigned m_queue = 16;         ///< Requests that wait inside the server.
  bool m_resetsWhenFull = false; ///< Else it answers that it did not run it.
};

/// One request of a client, as it first comes.
struct Arrival {
  Millis m_at{0};
  std::string m_zone;
  double m_workMs = 0; ///< On a server of speed 1.
  std::optional<gateway::Key> m_key;
  std::string m_route;
  std::optional<Millis> m_objective;   ///< If not that of the trace.
  unsigned m_priority = 0;             ///< 0 goes first.
  bool m_isAbusive = false;            ///< Comes back at once, three times.
  std::optional<Millis> m_leavesAfter; ///< Its client gives up.
};

/// A load and the servers that it meets.
struct Trace {
  std::string m_name;
  gateway::RequestKind m_kind = gateway::RequestKind::Safe;
  Millis m_objective{600};
  Millis m_deadline{2400}; ///< Of the client, from its first try.
  Millis m_timeout{1200};  ///< Of the route, for each try.
  unsigned m_attempts = 3;
  unsigned m_retries = 1; ///< Times that a client comes back.
  double m_lateWorth = 0.1;
  std::vector<SimulatedServer> m_servers;
  std::vector<FaultSpan> m_faults;
  std::vector<Arrival> m_arrivals; ///< Sorted by time.
  bool m_isKeyed = false;

  Millis objectiveOf(const Arrival &Item) const {
    return Item.m_objective.value_or(m_objective);
  }
};

/// What a trace is made from.
struct TraceOptions {
  std::uint64_t m_seed = 1;
  double m_load = 0.8; ///< Offered work over capacity.
  Millis m_length{30000};
  std::vector<std::string> m_zones{"zone-a", "zone-b", "zone-c", "zone-d"};
  std::size_t m_serversPerZone = 4;
  unsigned m_slots = 4;
  double m_workMs = 200;
  Millis m_objective{600}; ///< The timeout is 2, the deadline 4 times as long.
  double m_spread = 0.5;   ///< Of the logarithm of the work.
  double m_unevenness = 0.15; ///< Swing of each zone's share of the load.
  /// Servers differ in speed from the first to the second, around 1.
  std::optional<std::pair<double, double>> m_speeds;
};

/// What happens 8 s after the start of a deployment's load.
enum class DeploymentEvent {
  None,
  HotRange,   ///< 200 adjacent keys get 0.45 of the requests for 5 s.
  FewHotKeys, ///< As above, 12 keys: each fills a server or more.
  ServersLost ///< A quarter of the servers is down from then on.
};

/// Returns the servers and the rate of the keyed load of the first or the
/// second deployment of docs/HARD-LOAD.md.
TraceOptions deploymentOptions(bool IsSecond, std::uint64_t Seed);

/// Returns the keyed load of the first or the second deployment: servers of
/// uneven speed; for the first, work that takes three times as long for
/// moments; for the second, a wave of the demand.
Trace makeDeploymentLoad(bool IsSecond, DeploymentEvent Event,
                         std::uint64_t Seed);

/// Returns a trace with nothing but its load, named "calm".
Trace makeTrace(const TraceOptions &Options);

/// Names of the load patterns that makePattern() knows.
const std::vector<std::string> &patternNames();

/// Returns a trace of a pattern, e.g. "burst"; throws std::invalid_argument
/// for a name that is not known.
Trace makePattern(const std::string &Name, const TraceOptions &Options);

} // namespace tamarackdrum::replay

#endif // TAMARACKDRUM_REPLAY_TRACE_H

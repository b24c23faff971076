/// \file
/// Replays a load against the gateway's dispatcher on a virtual clock.
///
/// Clients, hosts and backend servers are simulated; what decides is the code
/// that runs in production, or one of two baselines. A trace is made from a
/// seed, so that two versions of the decisions see the same load.

#ifndef TAMARACKDRUM_DISPATCH_REPLAY_H
#define TAMARACKDRUM_DISPATCH_REPLAY_H

#include "replay-trace.h"
#include "tamarackdrum/gateway/dispatcher.h"
#include "tamarackdrum/gateway/key-granter.h"

#include <functional>

namespace tamarackdrum::replay {

/// Who decides where a request runs.
enum class Decider {
  Dispatcher,    ///< The production code, one for all hosts.
  FirstCome,     ///< One queue, in order of arrival, nothing refused.
  RandomTwoLocal ///< Each host takes the better of two by its own counts.
};

const char *toText(Decider Value) noexcept;

/// How the replay is played.
struct ReplayPolicy {
  Decider m_decider = Decider::Dispatcher;
  gateway::DispatchPolicy m_dispatch;
  gateway::GrantPolicy m_grants;
  /// Keys stay where they were dealt out first.
  bool m_isPlacementFixed = false;
  /// All requests have the same priority.
  bool m_isPriorityIgnored = false;
  std::size_t m_hostsPerZone = 3;
  /// One way; source: the users' sites.
  double m_inZoneMs = 0.1;
  double m_crossZoneMs = 1.4;
};

/// Figures of some of the requests: those of a second, or of a priority.
struct ReplayPart {
  unsigned m_owed = 0;
  unsigned m_inTime = 0;
  unsigned m_late = 0;

  /// Worth of what was served, of what is owed.
  double credit(double LateWorth) const;
  ReplayPart &operator+=(const ReplayPart &Other);
};

/// Figures of all requests; owed are those whose client did not leave early.
struct ReplayResult : ReplayPart {
  unsigned m_refused = 0;        ///< Refused for good.
  unsigned m_refusedAgain = 0;   ///< Of these, after they had come back.
  unsigned m_failed = 0;         ///< Neither served nor refused.
  unsigned m_refusals = 0;       ///< Answers that refuse, of all tries.
  unsigned m_returns = 0;        ///< Tries of callers that were refused before.
  unsigned m_returnsRefused = 0; ///< Of these, refused again.
  unsigned m_moves = 0;          ///< Ranges of keys that changed hands.
  unsigned m_dispatches = 0;
  unsigned m_otherZone = 0; ///< Dispatches to a server of another zone.
  unsigned m_messages = 0;  ///< Between hosts.
  double m_busyMs = 0;      ///< Work done by servers.
  double m_wastedMs = 0;    ///< Of that, for answers that nobody got.
  unsigned m_notHeld = 0;   ///< Dispatches to a server without the key.
  double m_keysMoved = 0;   ///< Times that all keys changed hands.
  unsigned m_writes = 0;    ///< Of the ownership record.
  std::vector<ReplayPart> m_windows; ///< By second.
  /// Work that is asked for of the busiest server over what it can do, by
  /// second; first tries only.
  std::vector<double> m_busiest;
  std::map<unsigned, ReplayPart> m_byPriority;

  double inTimeShare() const;
  double servedShare() const;
  /// Credit of the requests that go first.
  double firstCredit(double LateWorth) const;
  /// Credit of the worst five seconds.
  double worstCredit(double LateWorth) const;
  double otherZoneShare() const;
  /// Adds the figures of another replay; windows of the same second add up.
  ReplayResult &operator+=(const ReplayResult &Other);
};

ReplayResult replay(const Trace &Load, const ReplayPolicy &Policy);

} // namespace tamarackdrum::replay

#endif // TAMARACKDRUM_DISPATCH_REPLAY_H

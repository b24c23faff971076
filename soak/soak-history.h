/// \file
/// Records of a soak run, and checks of the guarantees against them.

#ifndef TAMARACKDRUM_SOAK_HISTORY_H
#define TAMARACKDRUM_SOAK_HISTORY_H

#include "cut-off-check.h"
#include "fault-schedule.h"
#include "platform/standin/key-server.h"

#include <map>
#include <string>

namespace tamarackdrum::soak {

/// One request of a client, and its outcome.
struct RequestRecord {
  std::string m_id;
  std::string m_target;
  std::size_t m_host = 0;
  unsigned m_hostIncarnation = 0; ///< Counts the starts of the host.
  bool m_isUnsafe = false;
  /// Configuration version whose own route is requested; 0: none.
  std::uint64_t m_probedVersion = 0;
  TimePoint m_startedAt; ///< When writing the request began.
  TimePoint m_sentAt;    ///< When the whole request was sent.
  TimePoint m_endedAt;
  unsigned m_status = 0;             ///< 0: no whole answer.
  bool m_hasTimedOut = false;        ///< The client closed the connection.
  bool m_isConnectionReused = false; ///< Not the connection's first request.
  bool m_answerMatches = true; ///< Id, signature and body fit the request.
  bool operator==(const RequestRecord &) const = default;
};

/// A fault that was injected.
struct InjectedFault {
  FaultKind m_kind = FaultKind::ConfigChange;
  std::size_t m_target = 0;
  TimePoint m_from;
  TimePoint m_to; ///< TimePoint::max() until it ends.
  bool operator==(const InjectedFault &) const = default;
};

/// The leave of a server that the store has acknowledged.
struct LeaveRecord {
  std::string m_server;
  std::int64_t m_serverStartMs = 0;
  TimePoint m_at;
  bool operator==(const LeaveRecord &) const = default;
};

/// A configuration, with a route of its own, that the store has acknowledged.
struct VersionRecord {
  std::uint64_t m_version = 0;
  TimePoint m_at;
  bool operator==(const VersionRecord &) const = default;
};

/// The evacuation of a zone that the store has acknowledged.
struct EvacuationRecord {
  std::string m_zone;
  TimePoint m_at;
  TimePoint m_to = TimePoint::max(); ///< When the row was removed.
  bool operator==(const EvacuationRecord &) const = default;
};

/// A connection to a host that a client could not open.
struct FailedConnect {
  std::size_t m_host = 0;
  TimePoint m_from;
  TimePoint m_to;
  bool operator==(const FailedConnect &) const = default;
};

/// Everything that is recorded in a soak run.
struct History {
  std::vector<RequestRecord> m_requests;
  platform::standin::ServerRecords m_serverRecords;
  std::vector<InjectedFault> m_faults;
  std::vector<LeaveRecord> m_leaves;
  std::vector<VersionRecord> m_versions;
  std::vector<EvacuationRecord> m_evacuations;
  std::vector<CutOffRecord> m_cuts;
  std::vector<FailedConnect> m_failedConnects;
  std::map<std::string, std::string> m_zones; ///< Of the servers, by id.
};

/// Guarantees to clients and backend servers.
enum class Guarantee {
  OwnAnswer,    ///< An answer belongs to its request, and a success is whole.
  AskedFor,     ///< Servers run only requests that clients sent, unchanged.
  RunOnce,      ///< An unsafe request runs at most once.
  NotRun,       ///< An unsafe request that is answered as not run has not run.
  OneHolder,    ///< Two servers hold a key at most for m_holdOverlap.
  OneOwner,     ///< Runs of a key on two servers don't overlap; tokens rise.
  LeavingOut,   ///< A leaving server gets no request after m_leave.
  NoRevert,     ///< A host process never reverts to an older configuration.
  InForce,      ///< A configuration is in force after m_configuration.
  NothingCut,   ///< Planned work cuts no request.
  WithinLimit,  ///< Servers get no more requests than the limits they name.
  EvacuatedOut, ///< No request reaches an evacuated zone after m_evacuation.
  CutOffServed  ///< Hosts cut off from all servers serve; see CutOffBounds.
};

const char *toText(Guarantee Value) noexcept;

/// A guarantee that a run violated.
struct Violation {
  Guarantee m_guarantee = Guarantee::OwnAnswer;
  std::string m_requestId; ///< Empty if no request is concerned.
  std::string m_detail;
  bool operator==(const Violation &) const = default;
};

/// Bounds of the guarantees, as the users' sites set them.
struct GuaranteeBounds {
  Millis m_faultFree{3000};     ///< Time without faults before bounds apply.
  Millis m_leave{2000};         ///< After an acknowledged leave.
  Millis m_configuration{2000}; ///< After an acknowledged configuration.
  Millis m_revertSlack{250};    ///< Requests this close are not compared.
  Millis m_cutSlack{200};       ///< A request cut sooner may cross a close.
  Millis m_holdOverlap{500};    ///< Of two servers' holds of a key.
  Millis m_evacuation{5000};    ///< After an acknowledged evacuation.
  bool operator==(const GuaranteeBounds &) const = default;
};

/// Checks all guarantees.
std::vector<Violation> findViolations(const History &Recorded,
                                      const GuaranteeBounds &Bounds);

/// Returns the share of the requests sent from \p From on that got status 200,
/// without probes for a configuration; 1 if there are none.
double servedShare(const History &Recorded, TimePoint From);

} // namespace tamarackdrum::soak

#endif // TAMARACKDRUM_SOAK_HISTORY_H

/// \file
/// What clients and servers of a soak run have seen, and the promises that it
/// breaks.

#ifndef TAMARACKDRUM_SOAK_HISTORY_H
#define TAMARACKDRUM_SOAK_HISTORY_H

#include "fault-schedule.h"
#include "platform/standin/key-server.h"

#include <string>

namespace tamarackdrum::soak {

/// One try of a client, from its first byte to the end of its answer.
struct RequestRecord {
  std::string m_id;
  std::string m_target;
  std::size_t m_host = 0;
  unsigned m_hostIncarnation = 0;
  bool m_isUnsafe = false;
  std::uint64_t m_probedVersion = 0; ///< Version whose route it asks for, or 0.
  TimePoint m_sentAt;                ///< Its last byte was sent.
  TimePoint m_endedAt;
  unsigned m_status = 0;             ///< 0: no whole answer.
  bool m_hasTimedOut = false;        ///< The client ended it.
  bool m_isConnectionReused = false; ///< The connection had served before.
  bool m_answerMatches = true; ///< Signature, id and body belong together.
  bool operator==(const RequestRecord &) const = default;
};

/// A fault as it was played.
struct InjectedFault {
  FaultKind m_kind = FaultKind::ConfigChange;
  std::size_t m_target = 0;
  TimePoint m_from;
  TimePoint m_to;
  bool operator==(const InjectedFault &) const = default;
};

/// The store has acknowledged that a server leaves.
struct LeaveRecord {
  std::string m_server;
  std::int64_t m_serverStartMs = 0;
  TimePoint m_at;
  bool operator==(const LeaveRecord &) const = default;
};

/// The store has acknowledged a configuration with a route of its own.
struct VersionRecord {
  std::uint64_t m_version = 0;
  TimePoint m_at;
  bool operator==(const VersionRecord &) const = default;
};

struct History {
  std::vector<RequestRecord> m_requests;
  platform::standin::ServerRecords m_serverRecords;
  std::vector<InjectedFault> m_faults;
  std::vector<LeaveRecord> m_leaves;
  std::vector<VersionRecord> m_versions;
};

enum class Guarantee {
  OwnAnswer,  ///< A success is the server's, whole, and of this request.
  AskedFor,   ///< Servers run what clients have sent, unchanged.
  RunOnce,    ///< Unsafe work runs once at most.
  NotRun,     ///< "Not run" is true.
  OneHolder,  ///< No two servers hold a key for longer than a moment.
  OneOwner,   ///< Work on a key has one owner, with rising fencing tokens.
  LeavingOut, ///< Servers that leave get nothing after a bound.
  NoRevert,   ///< A process never goes back to an older configuration.
  InForce,    ///< A configuration is in force within a bound.
  NothingCut  ///< Planned work cuts no request.
};

const char *toText(Guarantee Value) noexcept;

struct Violation {
  Guarantee m_guarantee = Guarantee::OwnAnswer;
  std::string m_requestId; ///< Id of a try, or empty.
  std::string m_detail;
  bool operator==(const Violation &) const = default;
};

/// Bounds of the promises. Source: the users' sites.
struct GuaranteeBounds {
  Millis m_faultFree{3000};     ///< Calm before a bound holds.
  Millis m_leave{2000};         ///< From an acknowledged leave.
  Millis m_configuration{2000}; ///< From an acknowledged configuration.
  Millis m_revertSlack{250};
  Millis m_cutSlack{200};    ///< A request that crosses a close.
  Millis m_holdOverlap{500}; ///< Of one key, by two servers.
  bool operator==(const GuaranteeBounds &) const = default;
};

std::vector<Violation> findViolations(const History &Recorded,
                                      const GuaranteeBounds &Bounds);

/// Returns the share of the tries sent after \p From that were served; 1 if
/// there are none.
double servedShare(const History &Recorded, TimePoint From);

} // namespace tamarackdrum::soak

#endif // TAMARACKDRUM_SOAK_HISTORY_H

/// \file
/// Generates the faults of a soak run from a seed.

#ifndef TAMARACKDRUM_FAULT_SCHEDULE_H
#define TAMARACKDRUM_FAULT_SCHEDULE_H

#include "tamarackdrum/core.h"

#include <vector>

namespace tamarackdrum::soak {

enum class FaultKind {
  HostKill,          ///< Killed, and restarted after the duration.
  HostStop,          ///< Planned: SIGTERM, restarted when it has ended.
  HostPause,         ///< SIGSTOP for the duration.
  HostReload,        ///< Planned: SIGHUP.
  ServerKill,        ///< Killed, and restarted after the duration.
  ServerLeave,       ///< Planned: leaves; another server takes its address.
  ServerLinkDelay,   ///< LinkFault::Delayed.
  ServerLinkReset,   ///< Its connections are reset.
  ServerLinkSilent,  ///< LinkFault::Silent.
  ServerLinkOneWay,  ///< LinkFault::DropFromTarget.
  StoreDown,         ///< Answers 503 to every call.
  StoreSlow,         ///< Delays every call.
  StoreLosesAnswers, ///< Executes calls without answering.
  StoreLateWrites,   ///< Applies writes late, without answers.
  StoreHistoryGone,  ///< Drops the history that feeds continue from.
  StoreOlderCopy,    ///< Restored at the end to its state at the start.
  HostStoreSilent,   ///< LinkFault::Silent from one host to the store.
  HostStoreReset,    ///< One host's connections to the store are reset.
  HostStoreOneWay,   ///< The store's answers to one host are dropped.
  ConfigChange       ///< Planned: the operator adds a route.
};

inline constexpr int FaultKindCount =
    static_cast<int>(FaultKind::ConfigChange) + 1;

const char *toText(FaultKind Kind) noexcept;
/// Returns whether the fault disrupts the host that it targets.
bool disruptsHost(FaultKind Kind) noexcept;
/// Returns whether the fault is planned work, which must not cut requests.
bool isPlanned(FaultKind Kind) noexcept;

/// One fault of a schedule.
struct FaultEvent {
  Millis m_at{0}; ///< From the start of the run.
  FaultKind m_kind = FaultKind::ConfigChange;
  std::size_t m_target = 0; ///< Index of the host or backend server.
  Millis m_duration{0};

  bool operator==(const FaultEvent &) const = default;
};

struct ScheduleOptions {
  std::uint64_t m_seed = 1;
  std::size_t m_hostCount = 6;
  std::size_t m_serverCount = 13;
  Millis m_from{5000};
  Millis m_to{25000};
  bool m_isPlannedOnly = false;
};

/// Returns the events of a run, sorted by start: several overlapping series of
/// random faults. At any time, faults that target a host disrupt at most a
/// third of the hosts.
std::vector<FaultEvent> makeSchedule(const ScheduleOptions &Options);

} // namespace tamarackdrum::soak

#endif // TAMARACKDRUM_FAULT_SCHEDULE_H

/// \file
/// Which faults a soak run plays, and when, from a seed.

#ifndef TAMARACKDRUM_FAULT_SCHEDULE_H
#define TAMARACKDRUM_FAULT_SCHEDULE_H

#include "tamarackdrum/core.h"

#include <vector>

namespace tamarackdrum::soak {

enum class FaultKind {
  HostKill,          ///< Killed and started again at the end.
  HostStop,          ///< Planned: stopped and started again when it has ended.
  HostPause,         ///< Its process is stopped for a time.
  HostReload,        ///< Planned: told that its settings have changed.
  ServerKill,        ///< Killed; another life begins at the end.
  ServerLeave,       ///< Planned: drains and leaves; another one joins.
  ServerLinkDelay,   ///< See LinkFault.
  ServerLinkReset,   ///< Its connections are reset.
  ServerLinkSilent,  ///< See LinkFault.
  ServerLinkOneWay,  ///< See LinkFault::DropFromTarget.
  StoreDown,         ///< Refuses every call.
  StoreSlow,         ///< Answers later.
  StoreLosesAnswers, ///< Does what it is asked, answers nothing.
  StoreLateWrites,   ///< Writes are done later and not answered.
  StoreHistoryGone,  ///< Feeds have to begin anew.
  StoreOlderCopy,    ///< Away at the end, and back as it was at the begin.
  HostStoreSilent,   ///< One host's link to the store.
  HostStoreReset,    ///< One host's connections to the store are reset.
  HostStoreOneWay,   ///< Calls of one host arrive, answers don't.
  ConfigChange       ///< Planned: the operator adds a route.
};

inline constexpr int FaultKindCount =
    static_cast<int>(FaultKind::ConfigChange) + 1;

const char *toText(FaultKind Kind) noexcept;
/// Returns whether the fault harms the host that is its target.
bool disruptsHost(FaultKind Kind) noexcept;
/// Returns whether promises of planned work hold during the fault.
bool isPlanned(FaultKind Kind) noexcept;

struct FaultEvent {
  Millis m_at{0}; ///< From the start of the run.
  FaultKind m_kind = FaultKind::ConfigChange;
  std::size_t m_target = 0; ///< Index of the host or server.
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

/// Returns the events of a run, sorted by time: several series that overlap.
/// At most one host in three is harmed at any time by events of its own.
std::vector<FaultEvent> makeSchedule(const ScheduleOptions &Options);

} // namespace tamarackdrum::soak

#endif // TAMARACKDRUM_FAULT_SCHEDULE_H

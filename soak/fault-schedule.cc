#include "fault-schedule.h"

#include <algorithm>
#include <random>

namespace tamarackdrum::soak {
namespace {

constexpr Millis MinDuration{200};
constexpr Millis MaxDuration{4500};
constexpr Millis MinGap{200};
constexpr Millis MaxGap{2500};
/// Time for a stopped host or a leaving server to end and be replaced.
constexpr Millis RestartTime{8000};
constexpr std::size_t MaxSeries = 3;

bool disruptsServer(FaultKind Kind) {
  return Kind >= FaultKind::ServerKill && Kind <= FaultKind::ServerLinkOneWay;
}

Millis endOf(const FaultEvent &Item) {
  const bool IsStop = Item.m_kind == FaultKind::HostStop ||
                      Item.m_kind == FaultKind::ServerLeave;
  return Item.m_at + (IsStop ? RestartTime : Item.m_duration);
}

/// Returns whether \p Wanted can be added to \p Events: overlapping faults must
/// not disrupt one target twice, be of one kind of store fault, or disrupt more
/// than a third of the hosts.
bool isCompatible(const std::vector<FaultEvent> &Events,
                  const FaultEvent &Wanted, std::size_t Hosts) {
  std::size_t Disrupted = 0;
  for (const FaultEvent &Item : Events) {
    const bool IsApart =
        endOf(Item) <= Wanted.m_at || endOf(Wanted) <= Item.m_at;
    if (IsApart)
      continue;
    const bool IsSame =
        Item.m_target == Wanted.m_target &&
        ((disruptsHost(Item.m_kind) && disruptsHost(Wanted.m_kind)) ||
         (disruptsServer(Item.m_kind) && disruptsServer(Wanted.m_kind)));
    if (IsSame ||
        (Item.m_kind == Wanted.m_kind && Item.m_kind >= FaultKind::StoreDown &&
         Item.m_kind <= FaultKind::StoreOlderCopy))
      return false;
    Disrupted += disruptsHost(Item.m_kind) ? 1 : 0;
  }
  return !disruptsHost(Wanted.m_kind) || (Disrupted + 1) * 3 <= Hosts;
}

} // namespace

const char *toText(FaultKind Kind) noexcept {
  switch (Kind) {
  case FaultKind::HostKill:
    return "host-kill";
  case FaultKind::HostStop:
    return "host-stop";
  case FaultKind::HostPause:
    return "host-pause";
  case FaultKind::HostReload:
    return "host-reload";
  case FaultKind::ServerKill:
    return "server-kill";
  case FaultKind::ServerLeave:
    return "server-leave";
  case FaultKind::ServerLinkDelay:
    return "server-link-delay";
  case FaultKind::ServerLinkReset:
    return "server-link-reset";
  case FaultKind::ServerLinkSilent:
    return "server-link-silent";
  case FaultKind::ServerLinkOneWay:
    return "server-link-one-way";
  case FaultKind::StoreDown:
    return "store-down";
  case FaultKind::StoreSlow:
    return "store-slow";
  case FaultKind::StoreLosesAnswers:
    return "store-loses-answers";
  case FaultKind::StoreLateWrites:
    return "store-late-writes";
  case FaultKind::StoreHistoryGone:
    return "store-history-gone";
  case FaultKind::StoreOlderCopy:
    return "store-older-copy";
  case FaultKind::HostStoreSilent:
    return "host-store-silent";
  case FaultKind::HostStoreReset:
    return "host-store-reset";
  case FaultKind::HostStoreOneWay:
    return "host-store-one-way";
  case FaultKind::ConfigChange:
    return "config-change";
  }
  return "unknown";
}

bool disruptsHost(FaultKind Kind) noexcept {
  return Kind == FaultKind::HostKill || Kind == FaultKind::HostStop ||
         Kind == FaultKind::HostPause || Kind == FaultKind::HostStoreSilent ||
         Kind == FaultKind::HostStoreReset ||
         Kind == FaultKind::HostStoreOneWay;
}

bool isPlanned(FaultKind Kind) noexcept {
  return Kind == FaultKind::HostStop || Kind == FaultKind::HostReload ||
         Kind == FaultKind::ServerLeave || Kind == FaultKind::ConfigChange;
}

std::vector<FaultEvent> makeSchedule(const ScheduleOptions &Options) {
  std::mt19937_64 Random(Options.m_seed);
  const auto Between = [&Random](Millis From, Millis To) {
    return From +
           Millis(static_cast<std::int64_t>(
               Random() % static_cast<std::uint64_t>((To - From).count() + 1)));
  };
  const std::size_t Series = 1 + Random() % MaxSeries;
  std::vector<FaultEvent> Out;
  for (std::size_t I = 0; I < Series; ++I)
    for (Millis At = Between(Options.m_from, Options.m_from + MaxGap);
         At < Options.m_to; At += Between(MinGap, MaxGap)) {
      FaultEvent Made;
      Made.m_at = At;
      Made.m_kind = static_cast<FaultKind>(Random() % FaultKindCount);
      Made.m_duration =
          std::min(Between(MinDuration, MaxDuration), Options.m_to - At);
      const bool IsServer = disruptsServer(Made.m_kind);
      Made.m_target =
          Random() % (IsServer ? Options.m_serverCount : Options.m_hostCount);
      if (Options.m_isPlannedOnly && !isPlanned(Made.m_kind))
        continue;
      if (isCompatible(Out, Made, Options.m_hostCount))
        Out.push_back(Made);
    }
  std::stable_sort(
      Out.begin(), Out.end(),
      [](const FaultEvent &A, const FaultEvent &B) { return A.m_at < B.m_at; });
  return Out;
}

} // namespace tamarackdrum::soak

#include "soak-history.h"

#include "limit-check.h"

#include <algorithm>
#include <map>
#include <spdlog/fmt/fmt.h>
#include <unordered_map>

namespace tamarackdrum::soak {
namespace {

using platform::standin::RunRecord;
using RunsByRequest =
    std::unordered_map<std::string, std::vector<const RunRecord *>>;

bool meansNotRun(unsigned Status) {
  return Status == 408 || Status == 421 || Status == 429 || Status == 503;
}

bool isHostOutage(const InjectedFault &Item, std::size_t Host) {
  return disruptsHost(Item.m_kind) && !isPlanned(Item.m_kind) &&
         Item.m_target == Host;
}

bool isStoreFault(const InjectedFault &Item) {
  return Item.m_kind >= FaultKind::StoreDown &&
         Item.m_kind <= FaultKind::StoreOlderCopy;
}

bool overlaps(const InjectedFault &Item, TimePoint From, TimePoint To) {
  return Item.m_from <= To && From <= Item.m_to;
}

/// Checks the guarantees against one history.
class Checker {
public:
  Checker(const History &Recorded, const GuaranteeBounds &Bounds)
      : m_history(Recorded), m_bounds(Bounds) {
    for (const RunRecord &Item : Recorded.m_serverRecords.m_runs)
      m_runsByRequest[Item.m_requestId].push_back(&Item);
    for (const RequestRecord &Item : Recorded.m_requests)
      m_requestsById[Item.m_id] = &Item;
  }

  std::vector<Violation> check() {
    checkAnswers();
    checkRuns();
    checkKeyOwners();
    checkKeyHolders();
    checkLeavingServers();
    checkReverts();
    checkInForce();
    checkCutRequests();
    checkLimits();
    checkEvacuations();
    checkCuts();
    return std::move(m_violations);
  }

private:
  void addViolation(Guarantee Kind, const std::string &Request,
                    std::string Detail) {
    m_violations.push_back({Kind, Request, std::move(Detail)});
  }

  /// Returns whether neither the store nor \p Host had an unplanned fault from
  /// m_faultFree before \p From until \p To.
  bool isUndisturbed(std::size_t Host, TimePoint From, TimePoint To) const {
    return std::none_of(
        m_history.m_faults.begin(), m_history.m_faults.end(),
        [&](const InjectedFault &Item) {
          return (isHostOutage(Item, Host) || isStoreFault(Item)) &&
                 overlaps(Item, From - m_bounds.m_faultFree, To);
        });
  }

  /// Returns whether all faults from m_faultFree before \p From until \p To
  /// were planned work.
  bool hasOnlyPlannedFaults(TimePoint From, TimePoint To) const {
    return std::none_of(m_history.m_faults.begin(), m_history.m_faults.end(),
                        [&](const InjectedFault &Item) {
                          return !isPlanned(Item.m_kind) &&
                                 overlaps(Item, From - m_bounds.m_faultFree,
                                          To);
                        }) &&
           std::none_of(m_history.m_cuts.begin(), m_history.m_cuts.end(),
                        [&](const CutOffRecord &Item) {
                          return Item.m_from <= To &&
                                 From - m_bounds.m_faultFree <= Item.m_to;
                        });
  }

  void checkAnswers() {
    for (const RequestRecord &Item : m_history.m_requests) {
      if (!Item.m_answerMatches)
        addViolation(
            Guarantee::OwnAnswer, Item.m_id,
            fmt::format("status {} of host {}", Item.m_status, Item.m_host));
      const auto Runs = m_runsByRequest.find(Item.m_id);
      if (Item.m_isUnsafe && meansNotRun(Item.m_status) &&
          Runs != m_runsByRequest.end())
        addViolation(Guarantee::NotRun, Item.m_id,
                     fmt::format("status {}, run by {}", Item.m_status,
                                 Runs->second.front()->m_server));
    }
  }

  void checkRuns() {
    for (const auto &[Id, Runs] : m_runsByRequest) {
      const auto Sent = m_requestsById.find(Id);
      if (Sent == m_requestsById.end() ||
          Sent->second->m_target != Runs.front()->m_target) {
        addViolation(Guarantee::AskedFor, Id,
                     "run as " + Runs.front()->m_target);
        continue;
      }
      if (Sent->second->m_isUnsafe && Runs.size() > 1)
        addViolation(Guarantee::RunOnce, Id,
                     fmt::format("{} runs, on {} and {}", Runs.size(),
                                 Runs[0]->m_server, Runs[1]->m_server));
    }
  }

  void checkKeyOwners() {
    std::map<gateway::Key, std::vector<const RunRecord *>> ByKey;
    for (const RunRecord &Item : m_history.m_serverRecords.m_runs)
      if (Item.m_key)
        ByKey[*Item.m_key].push_back(&Item);
    for (auto &[Value, Runs] : ByKey) {
      std::stable_sort(Runs.begin(), Runs.end(),
                       [](const RunRecord *A, const RunRecord *B) {
                         return A->m_begin < B->m_begin;
                       });
      const RunRecord *Last = nullptr;    // Began last.
      const RunRecord *Longest = nullptr; // Ends last.
      for (const RunRecord *Run : Runs) {
        if (Last != nullptr)
          checkSuccession(*Last, *Longest, *Run);
        Last = Run;
        if (Longest == nullptr || Run->m_end > Longest->m_end)
          Longest = Run;
      }
    }
  }

  static bool isSameIncarnation(const RunRecord &A, const RunRecord &B) {
    return A.m_server == B.m_server && A.m_serverStartMs == B.m_serverStartMs;
  }

  void checkSuccession(const RunRecord &Last, const RunRecord &Longest,
                       const RunRecord &Next) {
    if (!isSameIncarnation(Last, Next) && Next.m_fence <= Last.m_fence)
      addViolation(Guarantee::OneOwner, Next.m_requestId,
                   fmt::format("key {}: token {} of {} after {} of {}",
                               *Next.m_key, Next.m_fence, Next.m_server,
                               Last.m_fence, Last.m_server));
    if (!isSameIncarnation(Longest, Next) && Next.m_begin < Longest.m_end)
      addViolation(Guarantee::OneOwner, Next.m_requestId,
                   fmt::format("key {}: {} begins while {} still runs",
                               *Next.m_key, Next.m_server, Longest.m_server));
  }

  /// Checks a sample of the keys: ranges are much wider than the step.
  void checkKeyHolders() {
    constexpr std::uint32_t Step = 331;
    for (std::uint32_t Value = 0; Value < gateway::KeyCount; Value += Step)
      checkHoldersOfKey(static_cast<gateway::Key>(Value));
  }

  void checkHoldersOfKey(gateway::Key Value) {
    using Incarnation = std::pair<std::string, std::int64_t>;
    std::map<Incarnation, std::pair<TimePoint, TimePoint>> Holds; // Begin, end.
    for (const platform::standin::GrantRecord &Item :
         m_history.m_serverRecords.m_grants) {
      if (Value < Item.m_from || Value > Item.m_to || !Item.m_isApplied)
        continue;
      const Incarnation Server{Item.m_server, Item.m_serverStartMs};
      const auto Own = Holds.find(Server);
      if (Item.m_isRelease) {
        if (Own == Holds.end())
          continue;
        Own->second.second = std::min(Own->second.second, Item.m_at);
        checkOverlaps(Value, Server.first, Own->second, Holds);
        Holds.erase(Own);
      } else if (Own != Holds.end() && Own->second.second > Item.m_at) {
        Own->second.second = Item.m_holdEnd;
      } else {
        if (Own != Holds.end())
          checkOverlaps(Value, Server.first, Own->second, Holds);
        Holds[Server] = {Item.m_at, Item.m_holdEnd};
      }
    }
    while (!Holds.empty()) {
      const auto Left = Holds.extract(Holds.begin());
      checkOverlaps(Value, Left.key().first, Left.mapped(), Holds);
    }
  }

  template <typename Map>
  void checkOverlaps(gateway::Key Value, const std::string &Server,
                     const std::pair<TimePoint, TimePoint> &Hold,
                     const Map &Others) {
    for (const auto &[Other, OtherHold] : Others) {
      const TimePoint From = std::max(Hold.first, OtherHold.first);
      const TimePoint To = std::min(Hold.second, OtherHold.second);
      if (Other.first != Server && To - From > m_bounds.m_holdOverlap)
        addViolation(
            Guarantee::OneHolder, "",
            fmt::format("key {}: held by {} and {} for {} ms", Value, Server,
                        Other.first,
                        std::chrono::duration_cast<Millis>(To - From).count()));
    }
  }

  void checkLeavingServers() {
    for (const LeaveRecord &Leave : m_history.m_leaves)
      for (const RunRecord &Run : m_history.m_serverRecords.m_runs) {
        if (Run.m_server != Leave.m_server ||
            Run.m_serverStartMs != Leave.m_serverStartMs ||
            Run.m_begin <= Leave.m_at + m_bounds.m_leave)
          continue;
        const auto Sent = m_requestsById.find(Run.m_requestId);
        if (Sent == m_requestsById.end() ||
            !isUndisturbed(Sent->second->m_host, Leave.m_at, Run.m_begin))
          continue;
        addViolation(Guarantee::LeavingOut, Run.m_requestId,
                     fmt::format("run {} ms after {} left",
                                 std::chrono::duration_cast<Millis>(
                                     Run.m_begin - Leave.m_at)
                                     .count(),
                                 Leave.m_server));
      }
  }

  /// Returns whether a fault excuses that \p Host did not know of \p Known at
  /// \p At: the store could not be read for long enough after the
  /// acknowledgement, or the host was paused just before. Later outages of the
  /// store, restarts and hosts without the store are no excuse.
  bool isEvacuationExcused(const EvacuationRecord &Known, std::size_t Host,
                           TimePoint At) const {
    return std::any_of(
        m_history.m_faults.begin(), m_history.m_faults.end(),
        [&](const InjectedFault &Item) {
          if (isStoreFault(Item))
            return overlaps(Item, Known.m_at - m_bounds.m_faultFree,
                            Known.m_at + m_bounds.m_configuration);
          return Item.m_kind == FaultKind::HostPause && Item.m_target == Host &&
                 overlaps(Item, At - m_bounds.m_faultFree, At);
        });
  }

  void checkEvacuations() {
    for (const EvacuationRecord &Item : m_history.m_evacuations)
      for (const ArrivalRecord &Seen : m_history.m_serverRecords.m_arrivals) {
        const auto Zone = m_history.m_zones.find(Seen.m_server);
        if (Zone == m_history.m_zones.end() || Zone->second != Item.m_zone ||
            Seen.m_at <= Item.m_at + m_bounds.m_evacuation ||
            Seen.m_at >= Item.m_to || Seen.m_isMisdirected)
          continue;
        const auto Sent = m_requestsById.find(Seen.m_requestId);
        if (Sent == m_requestsById.end() ||
            isEvacuationExcused(Item, Sent->second->m_host, Seen.m_at))
          continue;
        addViolation(
            Guarantee::EvacuatedOut, Seen.m_requestId,
            fmt::format(
                "reached {} {} ms after the evacuation of {}", Seen.m_server,
                std::chrono::duration_cast<Millis>(Seen.m_at - Item.m_at)
                    .count(),
                Item.m_zone));
      }
  }

  void checkReverts() {
    std::vector<const RequestRecord *> ByEnd;
    std::vector<const RequestRecord *> BySent;
    for (const RequestRecord &Item : m_history.m_requests)
      if (Item.m_probedVersion > 0) {
        ByEnd.push_back(&Item);
        BySent.push_back(&Item);
      }
    std::sort(ByEnd.begin(), ByEnd.end(),
              [](const RequestRecord *A, const RequestRecord *B) {
                return A->m_endedAt < B->m_endedAt;
              });
    std::sort(BySent.begin(), BySent.end(),
              [](const RequestRecord *A, const RequestRecord *B) {
                return A->m_sentAt < B->m_sentAt;
              });
    std::map<std::pair<std::size_t, unsigned>, std::uint64_t> Newest;
    auto Ended = ByEnd.begin();
    for (const RequestRecord *Item : BySent) {
      for (; Ended != ByEnd.end() &&
             (*Ended)->m_endedAt + m_bounds.m_revertSlack < Item->m_sentAt;
           ++Ended)
        if ((*Ended)->m_status == 200) {
          std::uint64_t &Known =
              Newest[{(*Ended)->m_host, (*Ended)->m_hostIncarnation}];
          Known = std::max(Known, (*Ended)->m_probedVersion);
        }
      const std::uint64_t Known =
          Newest[{Item->m_host, Item->m_hostIncarnation}];
      if (Item->m_status == 404 && Item->m_probedVersion <= Known)
        addViolation(Guarantee::NoRevert, Item->m_id,
                     fmt::format("host {} has served {} and answers 404 for {}",
                                 Item->m_host, Known, Item->m_probedVersion));
    }
  }

  void checkInForce() {
    for (const RequestRecord &Item : m_history.m_requests) {
      if (Item.m_probedVersion == 0 || Item.m_status != 404)
        continue;
      for (const VersionRecord &Version : m_history.m_versions)
        if (Version.m_version == Item.m_probedVersion &&
            Item.m_sentAt > Version.m_at + m_bounds.m_configuration &&
            isUndisturbed(Item.m_host, Version.m_at, Item.m_endedAt))
          addViolation(Guarantee::InForce, Item.m_id,
                       fmt::format("host {} answers 404 for {} after the bound",
                                   Item.m_host, Item.m_probedVersion));
    }
  }

  void checkCutRequests() {
    for (const RequestRecord &Item : m_history.m_requests) {
      if (Item.m_status != 0 || Item.m_hasTimedOut ||
          Item.m_sentAt == TimePoint{} ||
          !hasOnlyPlannedFaults(Item.m_sentAt, Item.m_endedAt))
        continue;
      const bool WasRun = m_runsByRequest.count(Item.m_id) > 0;
      const bool WasHeld = Item.m_endedAt > Item.m_sentAt + m_bounds.m_cutSlack;
      if (WasRun || WasHeld)
        addViolation(Guarantee::NothingCut, Item.m_id,
                     fmt::format("host {}, {}", Item.m_host,
                                 WasRun ? "run by a server" : "held"));
    }
  }

  void checkLimits() {
    std::vector<HostArrival> Arrivals;
    for (const ArrivalRecord &Item : m_history.m_serverRecords.m_arrivals) {
      const auto Sent = m_requestsById.find(Item.m_requestId);
      if (Sent != m_requestsById.end())
        Arrivals.push_back({Item, Sent->second->m_host});
    }
    const ExcuseCheck IsExcused = [this](std::size_t Host, TimePoint From,
                                         TimePoint To) {
      return std::any_of(m_history.m_faults.begin(), m_history.m_faults.end(),
                         [&](const InjectedFault &Item) {
                           const bool IsExcuse =
                               Item.m_kind == FaultKind::HostKill ||
                               Item.m_kind == FaultKind::HostStop ||
                               Item.m_kind == FaultKind::HostPause;
                           return IsExcuse && Item.m_target == Host &&
                                  overlaps(Item, From, To);
                         });
    };
    for (const LimitExcess &Item : findLimitExcesses(
             Arrivals, m_history.m_serverRecords.m_limits, IsExcused))
      addViolation(Guarantee::WithinLimit, "",
                   fmt::format("{} got {} requests in 4 s of {} allowed",
                               Item.m_server, Item.m_count, Item.m_allowed));
  }

  void checkCuts() {
    std::vector<FirstAttempt> Attempts;
    for (const RequestRecord &Item : m_history.m_requests)
      if (Item.m_probedVersion == 0 && Item.m_endedAt != TimePoint{})
        Attempts.push_back({Item.m_host, Item.m_startedAt, Item.m_endedAt,
                            Item.m_status == 200});
    for (const FailedConnect &Item : m_history.m_failedConnects)
      Attempts.push_back({Item.m_host, Item.m_from, Item.m_to, false});
    const HostFaultCheck HasFault = [this](std::size_t Host, TimePoint From,
                                           TimePoint To) {
      return std::any_of(m_history.m_faults.begin(), m_history.m_faults.end(),
                         [&](const InjectedFault &Item) {
                           return (isHostOutage(Item, Host) ||
                                   (Item.m_kind == FaultKind::HostStop &&
                                    Item.m_target == Host)) &&
                                  overlaps(Item, From, To);
                         });
    };
    for (const CutOffFailure &Item :
         findCutOffFailures(Attempts, m_history.m_cuts, HasFault))
      addViolation(Guarantee::CutOffServed, "",
                   fmt::format("{}: {} of {} first attempts at {} hosts were "
                               "served, {:.3f} at the others",
                               Item.m_cut.m_kind, Item.m_served,
                               Item.m_attempts, Item.m_cut.m_hosts.size(),
                               Item.m_otherShare));
  }

  const History &m_history;
  const GuaranteeBounds m_bounds;
  RunsByRequest m_runsByRequest;
  std::unordered_map<std::string, const RequestRecord *> m_requestsById;
  std::vector<Violation> m_violations;
};

} // namespace

const char *toText(Guarantee Value) noexcept {
  switch (Value) {
  case Guarantee::OwnAnswer:
    return "own-answer";
  case Guarantee::AskedFor:
    return "asked-for";
  case Guarantee::RunOnce:
    return "run-once";
  case Guarantee::NotRun:
    return "not-run";
  case Guarantee::OneHolder:
    return "one-holder";
  case Guarantee::OneOwner:
    return "one-owner";
  case Guarantee::LeavingOut:
    return "leaving-out";
  case Guarantee::NoRevert:
    return "no-revert";
  case Guarantee::InForce:
    return "in-force";
  case Guarantee::NothingCut:
    return "nothing-cut";
  case Guarantee::WithinLimit:
    return "within-limit";
  case Guarantee::EvacuatedOut:
    return "evacuated-out";
  case Guarantee::CutOffServed:
    return "cut-off-served";
  }
  return "unknown";
}

std::vector<Violation> findViolations(const History &Recorded,
                                      const GuaranteeBounds &Bounds) {
  return Checker(Recorded, Bounds).check();
}

double servedShare(const History &Recorded, TimePoint From) {
  std::size_t Sent = 0;
  std::size_t Served = 0;
  for (const RequestRecord &Item : Recorded.m_requests) {
    if (Item.m_sentAt < From || Item.m_probedVersion > 0)
      continue;
    ++Sent;
    Served += Item.m_status == 200 ? 1 : 0;
  }
  return Sent == 0 ? 1
                   : static_cast<double>(Served) / static_cast<double>(Sent);
}

} // namespace tamarackdrum::soak

#include "soak-history.h"

#include <algorithm>
#include <map>
#include <spdlog/fmt/fmt.h>
#include <unordered_map>

namespace tamarackdrum::soak {
namespace {

using platform::standin::RunRecord;
using RunsByRequest =
    std::unordered_map<std::string, std::vector<const RunRecord *>>;

bool saysNotRun(unsigned Status) {
  return Status == 408 || Status == 421 || Status == 429 || Status == 503;
}

bool concernsHost(const FaultSpan &Item, std::size_t Host) {
  return harmsHost(Item.m_kind) && !isPlanned(Item.m_kind) &&
         Item.m_target == Host;
}

bool concernsStore(const FaultSpan &Item) {
  return Item.m_kind >= FaultKind::StoreDown &&
         Item.m_kind <= FaultKind::StoreOlderCopy;
}

bool overlaps(const FaultSpan &Item, TimePoint From, TimePoint To) {
  return Item.m_from <= To && From <= Item.m_to;
}

/// Looks through one history.
class Checker {
public:
  Checker(const History &Seen, const PromiseBounds &Bounds)
      : m_seen(Seen), m_bounds(Bounds) {
    for (const RunRecord &Item : Seen.m_servers.m_runs)
      m_runs[Item.m_request].push_back(&Item);
    for (const TryRecord &Item : Seen.m_tries)
      m_tries[Item.m_id] = &Item;
  }

  std::vector<BrokenPromise> check() {
    checkAnswers();
    checkRuns();
    checkOwners();
    checkHolders();
    checkLeaves();
    checkReverts();
    checkInForce();
    checkCuts();
    return std::move(m_broken);
  }

private:
  void add(Promise Kind, const std::string &Request, std::string Detail) {
    m_broken.push_back({Kind, Request, std::move(Detail)});
  }

  /// Returns whether a host was in touch from some time before \p From on.
  bool isInTouch(std::size_t Host, TimePoint From, TimePoint To) const {
    return std::none_of(m_seen.m_faults.begin(), m_seen.m_faults.end(),
                        [&](const FaultSpan &Item) {
                          return (concernsHost(Item, Host) ||
                                  concernsStore(Item)) &&
                                 overlaps(Item, From - m_bounds.m_touch, To);
                        });
  }

  bool isPlannedOnly(TimePoint From, TimePoint To) const {
    return std::none_of(m_seen.m_faults.begin(), m_seen.m_faults.end(),
                        [&](const FaultSpan &Item) {
                          return !isPlanned(Item.m_kind) &&
                                 overlaps(Item, From - m_bounds.m_touch, To);
                        });
  }

  void checkAnswers() {
    for (const TryRecord &Item : m_seen.m_tries) {
      if (!Item.m_isOwnAnswer)
        add(Promise::OwnAnswer, Item.m_id,
            fmt::format("status {} of host {}", Item.m_status, Item.m_host));
      const auto Runs = m_runs.find(Item.m_id);
      if (Item.m_isUnsafe && saysNotRun(Item.m_status) && Runs != m_runs.end())
        add(Promise::NotRun, Item.m_id,
            fmt::format("status {}, run by {}", Item.m_status,
                        Runs->second.front()->m_server));
    }
  }

  void checkRuns() {
    for (const auto &[Id, Runs] : m_runs) {
      const auto Sent = m_tries.find(Id);
      if (Sent == m_tries.end() ||
          Sent->second->m_target != Runs.front()->m_target) {
        add(Promise::AskedFor, Id, "run as " + Runs.front()->m_target);
        continue;
      }
      if (Sent->second->m_isUnsafe && Runs.size() > 1)
        add(Promise::RunOnce, Id,
            fmt::format("{} runs, on {} and {}", Runs.size(), Runs[0]->m_server,
                        Runs[1]->m_server));
    }
  }

  void checkOwners() {
    std::map<gateway::Key, std::vector<const RunRecord *>> ByKey;
    for (const RunRecord &Item : m_seen.m_servers.m_runs)
      if (Item.m_key)
        ByKey[*Item.m_key].push_back(&Item);
    for (auto &[Value, Runs] : ByKey) {
      std::stable_sort(Runs.begin(), Runs.end(),
                       [](const RunRecord *A, const RunRecord *B) {
                         return A->m_begin < B->m_begin;
                       });
      const RunRecord *Last = nullptr;    // The last begun.
      const RunRecord *Longest = nullptr; // The one that ends last.
      for (const RunRecord *Run : Runs) {
        if (Last != nullptr)
          checkPair(*Last, *Longest, *Run);
        Last = Run;
        if (Longest == nullptr || Run->m_end > Longest->m_end)
          Longest = Run;
      }
    }
  }

  static bool isSameLife(const RunRecord &A, const RunRecord &B) {
    return A.m_server == B.m_server && A.m_bornMs == B.m_bornMs;
  }

  void checkPair(const RunRecord &Last, const RunRecord &Longest,
                 const RunRecord &Next) {
    if (!isSameLife(Last, Next) && Next.m_fence <= Last.m_fence)
      add(Promise::OneOwner, Next.m_request,
          fmt::format("key {}: token {} of {} after {} of {}", *Next.m_key,
                      Next.m_fence, Next.m_server, Last.m_fence,
                      Last.m_server));
    if (!isSameLife(Longest, Next) && Next.m_begin < Longest.m_end)
      add(Promise::OneOwner, Next.m_request,
          fmt::format("key {}: {} begins while {} is at work", *Next.m_key,
                      Next.m_server, Longest.m_server));
  }

  /// Follows the holds of a few keys; ranges are far wider than the steps.
  void checkHolders() {
    constexpr std::uint32_t Step = 331;
    for (std::uint32_t Value = 0; Value < gateway::KeyCount; Value += Step)
      checkHoldersOf(static_cast<gateway::Key>(Value));
  }

  void checkHoldersOf(gateway::Key Value) {
    using Life = std::pair<std::string, std::int64_t>;
    std::map<Life, std::pair<TimePoint, TimePoint>> Holds; // From, until.
    for (const platform::standin::GrantRecord &Item :
         m_seen.m_servers.m_grants) {
      if (Value < Item.m_from || Value > Item.m_to || !Item.m_isTaken)
        continue;
      const Life Server{Item.m_server, Item.m_bornMs};
      const auto Own = Holds.find(Server);
      if (Item.m_isRelease) {
        if (Own == Holds.end())
          continue;
        Own->second.second = std::min(Own->second.second, Item.m_at);
        checkOverlaps(Value, Server.first, Own->second, Holds);
        Holds.erase(Own);
      } else if (Own != Holds.end() && Own->second.second > Item.m_at) {
        Own->second.second = Item.m_until;
      } else {
        if (Own != Holds.end())
          checkOverlaps(Value, Server.first, Own->second, Holds);
        Holds[Server] = {Item.m_at, Item.m_until};
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
    for (const auto &[Other, Theirs] : Others) {
      const TimePoint From = std::max(Hold.first, Theirs.first);
      const TimePoint To = std::min(Hold.second, Theirs.second);
      if (Other.first != Server && To - From > m_bounds.m_bothHold)
        add(Promise::OneHolder, "",
            fmt::format("key {}: {} and {} for {} ms", Value, Server,
                        Other.first,
                        std::chrono::duration_cast<Millis>(To - From).count()));
    }
  }

  void checkLeaves() {
    for (const LeaveRecord &Leave : m_seen.m_leaves)
      for (const RunRecord &Run : m_seen.m_servers.m_runs) {
        if (Run.m_server != Leave.m_server || Run.m_bornMs != Leave.m_bornMs ||
            Run.m_begin <= Leave.m_at + m_bounds.m_leave)
          continue;
        const auto Sent = m_tries.find(Run.m_request);
        if (Sent == m_tries.end() ||
            !isInTouch(Sent->second->m_host, Leave.m_at, Run.m_begin))
          continue;
        add(Promise::LeavingOut, Run.m_request,
            fmt::format(
                "{} ms after {} left",
                std::chrono::duration_cast<Millis>(Run.m_begin - Leave.m_at)
                    .count(),
                Leave.m_server));
      }
  }

  void checkReverts() {
    std::vector<const TryRecord *> ByEnd;
    std::vector<const TryRecord *> BySent;
    for (const TryRecord &Item : m_seen.m_tries)
      if (Item.m_probe > 0) {
        ByEnd.push_back(&Item);
        BySent.push_back(&Item);
      }
    std::sort(ByEnd.begin(), ByEnd.end(),
              [](const TryRecord *A, const TryRecord *B) {
                return A->m_endedAt < B->m_endedAt;
              });
    std::sort(BySent.begin(), BySent.end(),
              [](const TryRecord *A, const TryRecord *B) {
                return A->m_sentAt < B->m_sentAt;
              });
    std::map<std::pair<std::size_t, unsigned>, std::uint64_t> Newest;
    auto Ended = ByEnd.begin();
    for (const TryRecord *Item : BySent) {
      for (; Ended != ByEnd.end() &&
             (*Ended)->m_endedAt + m_bounds.m_revertSlack < Item->m_sentAt;
           ++Ended)
        if ((*Ended)->m_status == 200) {
          std::uint64_t &Known =
              Newest[{(*Ended)->m_host, (*Ended)->m_hostLife}];
          Known = std::max(Known, (*Ended)->m_probe);
        }
      const std::uint64_t Known = Newest[{Item->m_host, Item->m_hostLife}];
      if (Item->m_status == 404 && Item->m_probe <= Known)
        add(Promise::NoRevert, Item->m_id,
            fmt::format("host {} knows {} and denies {}", Item->m_host, Known,
                        Item->m_probe));
    }
  }

  void checkInForce() {
    for (const TryRecord &Item : m_seen.m_tries) {
      if (Item.m_probe == 0 || Item.m_status != 404)
        continue;
      for (const VersionRecord &Version : m_seen.m_versions)
        if (Version.m_version == Item.m_probe &&
            Item.m_sentAt > Version.m_at + m_bounds.m_configuration &&
            isInTouch(Item.m_host, Version.m_at, Item.m_endedAt))
          add(Promise::InForce, Item.m_id,
              fmt::format("host {} denies {} after its bound", Item.m_host,
                          Item.m_probe));
    }
  }

  void checkCuts() {
    for (const TryRecord &Item : m_seen.m_tries) {
      if (Item.m_status != 0 || Item.m_hasGivenUp ||
          Item.m_sentAt == TimePoint{} ||
          !isPlannedOnly(Item.m_sentAt, Item.m_endedAt))
        continue;
      const bool WasRun = m_runs.count(Item.m_id) > 0;
      const bool WasHeld = Item.m_endedAt > Item.m_sentAt + m_bounds.m_cutSlack;
      if (WasRun || WasHeld)
        add(Promise::NothingCut, Item.m_id,
            fmt::format("host {}, {}", Item.m_host,
                        WasRun ? "run by a server" : "held"));
    }
  }

  const History &m_seen;
  const PromiseBounds m_bounds;
  RunsByRequest m_runs;
  std::unordered_map<std::string, const TryRecord *> m_tries;
  std::vector<BrokenPromise> m_broken;
};

} // namespace

const char *toText(Promise Value) noexcept {
  switch (Value) {
  case Promise::OwnAnswer:
    return "own-answer";
  case Promise::AskedFor:
    return "asked-for";
  case Promise::RunOnce:
    return "run-once";
  case Promise::NotRun:
    return "not-run";
  case Promise::OneHolder:
    return "one-holder";
  case Promise::OneOwner:
    return "one-owner";
  case Promise::LeavingOut:
    return "leaving-out";
  case Promise::NoRevert:
    return "no-revert";
  case Promise::InForce:
    return "in-force";
  case Promise::NothingCut:
    return "nothing-cut";
  }
  return "unknown";
}

std::vector<BrokenPromise> findBroken(const History &Seen,
                                      const PromiseBounds &Bounds) {
  return Checker(Seen, Bounds).check();
}

double servedShare(const History &Seen, TimePoint From) {
  std::size_t Sent = 0;
  std::size_t Served = 0;
  for (const TryRecord &Item : Seen.m_tries) {
    if (Item.m_sentAt < From || Item.m_probe > 0)
      continue;
    ++Sent;
    Served += Item.m_status == 200 ? 1 : 0;
  }
  return Sent == 0 ? 1
                   : static_cast<double>(Served) / static_cast<double>(Sent);
}

} // namespace tamarackdrum::soak

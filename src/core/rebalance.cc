#include "tamarackdrum/rebalance.h"

#include <algorithm>

namespace tamarackdrum {
namespace {

/// Hot keys a class may have at once.
constexpr std::size_t MaxHotKeys = 128;
/// A move that shifts less than this share of the mean load is not worth it.
constexpr double MinMoveShare = 0.02;

using LoadByServer = std::map<std::string, double>;
using CountByHash = std::map<std::uint64_t, std::uint64_t>;

/// A slice or a hot key, with the load that a move would take along.
struct Movable {
  SliceRecord *m_slice;
  double m_load;
};

CountByHash countByHash(const SliceLoads &Loads) {
  CountByHash Counts;
  for (const KeyCount &Key : Loads.m_keys)
    Counts[Key.m_hash] += Key.m_count;
  return Counts;
}

double countOf(const CountByHash &Counts, std::uint64_t Hash) {
  const auto Found = Counts.find(Hash);
  return Found == Counts.end() ? 0 : static_cast<double>(Found->second);
}

LoadByServer serverLoads(const View &Current, const ClassAssignment &Assignment,
                         const SliceLoads &Loads) {
  LoadByServer Out;
  for (const ServerRecord &Server : Current.m_servers)
    if (Server.m_workClass == Assignment.m_workClass && takesWork(Server))
      Out[Server.m_name] = 0;
  const auto Add = [&](const SliceRecord &Slice, double Load) {
    const auto Owner = Out.find(Slice.m_owner);
    if (Owner != Out.end())
      Owner->second += Load;
  };
  for (std::size_t I = 0; I < Assignment.m_slices.size(); ++I)
    Add(Assignment.m_slices[I],
        I < Loads.m_slices.size() ? static_cast<double>(Loads.m_slices[I]) : 0);
  const CountByHash Counts = countByHash(Loads);
  for (const HotKeyRecord &Key : Assignment.m_hotKeys)
    Add(Key.m_slice, countOf(Counts, Key.m_hash));
  return Out;
}

double meanOf(const LoadByServer &Loads) {
  double Sum = 0;
  for (const LoadByServer::value_type &Entry : Loads)
    Sum += Entry.second;
  return Loads.empty() ? 0 : Sum / static_cast<double>(Loads.size());
}

bool isLess(const LoadByServer::value_type &Left,
            const LoadByServer::value_type &Right) {
  return Left.second < Right.second;
}

double imbalanceOf(const LoadByServer &Loads) {
  const double Mean = meanOf(Loads);
  if (Mean <= 0)
    return 1;
  return std::max_element(Loads.begin(), Loads.end(), isLess)->second / Mean;
}

const SliceLoads *findLoads(const ClassLoads &Loads,
                            const std::string &WorkClass) {
  const auto Found =
      std::find_if(Loads.begin(), Loads.end(), [&](const SliceLoads &Item) {
        return Item.m_workClass == WorkClass;
      });
  return Found == Loads.end() ? nullptr : &*Found;
}

const BalancePolicy &policyOfClass(const BalancePolicies &Policies,
                                   const View &Current,
                                   const ClassAssignment &Assignment) {
  const ClassTarget *Target = findClass(Current, Assignment.m_workClass);
  return policyOf(Policies, Target == nullptr ? Preference::Stability
                                              : Target->m_preference);
}

std::vector<HotKeyRecord>::iterator hotKeyAt(ClassAssignment &Assignment,
                                             std::uint64_t Hash) {
  return std::lower_bound(Assignment.m_hotKeys.begin(),
                          Assignment.m_hotKeys.end(), Hash,
                          [](const HotKeyRecord &Item, std::uint64_t Wanted) {
                            return Item.m_hash < Wanted;
                          });
}

/// Changes one class. The counts shrink and grow as keys change slices, so
/// that the moves of the same round see the loads after the change.
class ClassRound {
public:
  ClassRound(View &Next, ClassAssignment &Assignment, const SliceLoads &Loads,
             const ClassStreaks &Streaks, const BalancePolicy &Policy)
      : m_next(Next), m_assignment(Assignment), m_loads(Loads),
        m_streaks(Streaks), m_policy(Policy), m_counts(countByHash(Loads)),
        m_servers(serverLoads(Next, Assignment, Loads)) {
    m_loads.m_slices.resize(Assignment.m_slices.size());
  }

  /// Returns whether anything changed.
  bool run() {
    if (m_servers.empty())
      return false;
    returnCooled();
    if (m_streaks.m_overloaded < m_policy.m_windows)
      return m_isChanged;
    isolateHot();
    while (m_moves < m_policy.m_maxMoves && spreadOnce()) {
    }
    return m_isChanged;
  }

private:
  std::size_t indexOf(std::uint64_t Hash) const {
    return sliceIndex(Hash, m_assignment.m_slices.size());
  }

  /// Returns whether the owner of the slice of \p Hash is above the threshold.
  bool isOverloaded(std::uint64_t Hash) const {
    const auto Owner =
        m_servers.find(m_assignment.m_slices[indexOf(Hash)].m_owner);
    return Owner != m_servers.end() &&
           Owner->second > m_policy.m_spreadAbove * meanOf(m_servers);
  }

  void move(SliceRecord &Slice, const std::string &Owner, double Load) {
    m_servers[Slice.m_owner] -= Load;
    m_servers[Owner] += Load;
    Slice.m_owner = Owner;
    ++Slice.m_epoch;
    Slice.m_since = m_next.m_generation;
    ++m_moves;
    m_isChanged = true;
  }

  /// The key and its slice have one owner: the larger epoch fences both.
  void joinSlice(const HotKeyRecord &Key) {
    SliceRecord &Slice = m_assignment.m_slices[indexOf(Key.m_hash)];
    Slice.m_epoch = std::max(Slice.m_epoch, Key.m_slice.m_epoch);
    Slice.m_since = std::max(Slice.m_since, Key.m_slice.m_since);
    m_loads.m_slices[indexOf(Key.m_hash)] +=
        static_cast<std::uint64_t>(countOf(m_counts, Key.m_hash));
    m_isChanged = true;
  }

  void returnCooled() {
    std::vector<HotKeyRecord> Kept;
    for (HotKeyRecord &Key : m_assignment.m_hotKeys) {
      const SliceRecord &Home = m_assignment.m_slices[indexOf(Key.m_hash)];
      const auto Streak = m_streaks.m_keys.find(Key.m_hash);
      const bool IsCooled = Streak != m_streaks.m_keys.end() &&
                            Streak->second.m_cold >= m_policy.m_windows;
      if (IsCooled && Key.m_slice.m_owner == Home.m_owner) {
        joinSlice(Key);
        continue;
      }
      if (IsCooled && m_moves < m_policy.m_maxMoves &&
          m_servers.contains(Home.m_owner))
        move(Key.m_slice, Home.m_owner, countOf(m_counts, Key.m_hash));
      Kept.push_back(Key);
    }
    m_assignment.m_hotKeys = std::move(Kept);
  }

  void isolateHot() {
    for (const std::pair<const std::uint64_t, KeyStreak> &Entry :
         m_streaks.m_keys) {
      const std::uint64_t Hash = Entry.first;
      if (Entry.second.m_hot < m_policy.m_windows || !isOverloaded(Hash) ||
          m_assignment.m_hotKeys.size() >= MaxHotKeys)
        continue;
      const auto At = hotKeyAt(m_assignment, Hash);
      if (At != m_assignment.m_hotKeys.end() && At->m_hash == Hash)
        continue;
      m_assignment.m_hotKeys.insert(
          At, {Hash, m_assignment.m_slices[indexOf(Hash)]});
      std::uint64_t &SliceLoad = m_loads.m_slices[indexOf(Hash)];
      SliceLoad -= std::min(
          SliceLoad, static_cast<std::uint64_t>(countOf(m_counts, Hash)));
      m_isChanged = true;
    }
  }

  std::vector<Movable> movablesOf(const std::string &Owner) {
    std::vector<Movable> Out;
    for (std::size_t I = 0; I < m_assignment.m_slices.size(); ++I)
      if (m_assignment.m_slices[I].m_owner == Owner)
        Out.push_back({&m_assignment.m_slices[I],
                       static_cast<double>(m_loads.m_slices[I])});
    for (HotKeyRecord &Key : m_assignment.m_hotKeys)
      if (Key.m_slice.m_owner == Owner)
        Out.push_back({&Key.m_slice, countOf(m_counts, Key.m_hash)});
    return Out;
  }

  /// Moves what evens out the busiest and the least busy server best.
  bool spreadOnce() {
    const double Mean = meanOf(m_servers);
    const auto Busiest =
        std::max_element(m_servers.begin(), m_servers.end(), isLess);
    const auto Idlest =
        std::min_element(m_servers.begin(), m_servers.end(), isLess);
    if (Busiest->second <= m_policy.m_spreadAbove * Mean)
      return false;
    const double Gap = Busiest->second - Idlest->second;
    const std::vector<Movable> Candidates = movablesOf(Busiest->first);
    const Movable *Best = nullptr;
    for (const Movable &Item : Candidates) {
      if (Item.m_load < MinMoveShare * Mean || Item.m_load >= Gap)
        continue;
      if (Best == nullptr ||
          std::abs(Item.m_load - Gap / 2) < std::abs(Best->m_load - Gap / 2))
        Best = &Item;
    }
    // The last slice of a server stays, or the next change would refill it.
    if (Best == nullptr || Candidates.size() < 2)
      return false;
    const std::string Target = Idlest->first;
    move(*Best->m_slice, Target, Best->m_load);
    return true;
  }

  View &m_next;
  ClassAssignment &m_assignment;
  SliceLoads m_loads;
  const ClassStreaks &m_streaks;
  const BalancePolicy &m_policy;
  const CountByHash m_counts;
  LoadByServer m_servers;
  unsigned m_moves = 0;
  bool m_isChanged = false;
};

ClassStreaks observeClass(const ClassStreaks &Before, const View &Current,
                          const ClassAssignment &Assignment,
                          const SliceLoads &Loads,
                          const BalancePolicy &Policy) {
  const LoadByServer Servers = serverLoads(Current, Assignment, Loads);
  const double Mean = meanOf(Servers);
  const CountByHash Counts = countByHash(Loads);
  ClassStreaks After;
  if (imbalanceOf(Servers) > Policy.m_spreadAbove)
    After.m_overloaded = Before.m_overloaded + 1;
  const auto Observe = [&](std::uint64_t Hash) {
    const auto Found = Before.m_keys.find(Hash);
    const KeyStreak Old =
        Found == Before.m_keys.end() ? KeyStreak{} : Found->second;
    const double Count = countOf(Counts, Hash);
    KeyStreak &Now = After.m_keys[Hash];
    Now.m_hot = Count > Policy.m_isolateAbove * Mean ? Old.m_hot + 1 : 0;
    Now.m_cold = Count <= Policy.m_returnBelow * Mean ? Old.m_cold + 1 : 0;
  };
  for (const CountByHash::value_type &Entry : Counts)
    if (static_cast<double>(Entry.second) > Policy.m_isolateAbove * Mean)
      Observe(Entry.first);
  for (const HotKeyRecord &Key : Assignment.m_hotKeys)
    Observe(Key.m_hash);
  return After;
}

} // namespace

const BalancePolicy &policyOf(const BalancePolicies &Policies,
                              Preference Choice) noexcept {
  return Choice == Preference::Availability ? Policies.m_availability
                                            : Policies.m_stability;
}

void addLoads(ClassLoads &Sum, const ClassLoads &Report) {
  for (const SliceLoads &Item : Report) {
    const auto Found =
        std::find_if(Sum.begin(), Sum.end(), [&](const SliceLoads &Total) {
          return Total.m_workClass == Item.m_workClass;
        });
    if (Found == Sum.end()) {
      Sum.push_back(Item);
      continue;
    }
    Found->m_slices.resize(
        std::max(Found->m_slices.size(), Item.m_slices.size()));
    for (std::size_t I = 0; I < Item.m_slices.size(); ++I)
      Found->m_slices[I] += Item.m_slices[I];
    Found->m_keys.insert(Found->m_keys.end(), Item.m_keys.begin(),
                         Item.m_keys.end());
  }
}

BalanceState observeLoads(const BalanceState &State, const View &Current,
                          const ClassLoads &Loads,
                          const BalancePolicies &Policies) {
  BalanceState After;
  for (const ClassAssignment &Assignment : Current.m_assignments) {
    const SliceLoads *Own = findLoads(Loads, Assignment.m_workClass);
    if (Own == nullptr)
      continue;
    const auto Before = State.find(Assignment.m_workClass);
    After[Assignment.m_workClass] = observeClass(
        Before == State.end() ? ClassStreaks{} : Before->second, Current,
        Assignment, *Own, policyOfClass(Policies, Current, Assignment));
  }
  return After;
}

std::optional<View> rebalance(View Next, const ClassLoads &Loads,
                              const BalanceState &State,
                              const BalancePolicies &Policies) {
  bool IsChanged = false;
  for (ClassAssignment &Assignment : Next.m_assignments) {
    const SliceLoads *Own = findLoads(Loads, Assignment.m_workClass);
    const auto Streaks = State.find(Assignment.m_workClass);
    if (Own == nullptr || Streaks == State.end())
      continue;
    ClassRound Round(Next, Assignment, *Own, Streaks->second,
                     policyOfClass(Policies, Next, Assignment));
    IsChanged = Round.run() || IsChanged;
  }
  if (!IsChanged)
    return std::nullopt;
  return Next;
}

double loadImbalance(const View &Current, const SliceLoads &Loads) {
  const ClassAssignment *Assignment =
      findAssignment(Current, Loads.m_workClass);
  if (Assignment == nullptr)
    return 1;
  return imbalanceOf(serverLoads(Current, *Assignment, Loads));
}

} // namespace tamarackdrum

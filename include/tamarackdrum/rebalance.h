/// \file
/// Load-aware part of the planner: moves slices off overloaded servers and
/// gives hot keys slices of their own. Pure functions.
///
/// Loads are the entry hosts' own counts of dispatches. Health and load
/// endpoints of servers are not an input, so that none can cause a move.

#ifndef TAMARACKDRUM_REBALANCE_H
#define TAMARACKDRUM_REBALANCE_H

#include "tamarackdrum/hot-keys.h"
#include "tamarackdrum/view.h"

#include <map>
#include <optional>

namespace tamarackdrum {

/// Requests of one keyed class in one window.
struct SliceLoads {
  std::string m_workClass;
  /// Requests a slice, without those for keys that have their own slice.
  std::vector<std::uint64_t> m_slices;
  /// Requests for the most requested keys and for all isolated ones.
  std::vector<KeyCount> m_keys;

  bool operator==(const SliceLoads &) const = default;
};

using ClassLoads = std::vector<SliceLoads>;

/// Adds the counts of one more process to \p Sum.
void addLoads(ClassLoads &Sum, const ClassLoads &Report);

/// When to move. A smaller m_spreadAbove spreads load sooner and moves more.
struct BalancePolicy {
  /// Largest load of a server as a multiple of the mean before it is spread.
  double m_spreadAbove = 1.25;
  /// Share of a server's mean load above which a key gets its own slice.
  double m_isolateAbove = 0.25;
  /// Share of a server's mean load below which a key loses its own slice.
  double m_returnBelow = 0.1;
  /// Consecutive windows for which a condition holds before it counts.
  unsigned m_windows = 2;
  /// Most changes of owner in one round of one class.
  unsigned m_maxMoves = 4;

  bool operator==(const BalancePolicy &) const = default;
};

/// The policy of each preference that a class can declare.
struct BalancePolicies {
  BalancePolicy m_availability;
  BalancePolicy m_stability{1.6, 0.25, 0.1, 3, 4};

  bool operator==(const BalancePolicies &) const = default;
};

/// Returns the policy for classes of \p Choice.
const BalancePolicy &policyOf(const BalancePolicies &Policies,
                              Preference Choice) noexcept;

/// Number of consecutive windows in which a key was hot or cold.
struct KeyStreak {
  unsigned m_hot = 0;
  unsigned m_cold = 0;

  bool operator==(const KeyStreak &) const = default;
};

/// What the planner remembers of one class between windows. It is soft:
/// losing it delays a change by the windows of the policy.
struct ClassStreaks {
  unsigned m_overloaded = 0;
  std::map<std::uint64_t, KeyStreak> m_keys;

  bool operator==(const ClassStreaks &) const = default;
};

/// Streaks by class name.
using BalanceState = std::map<std::string, ClassStreaks>;

/// Returns \p State after one more window with \p Loads under \p Current.
BalanceState observeLoads(const BalanceState &State, const View &Current,
                          const ClassLoads &Loads,
                          const BalancePolicies &Policies);

/// Returns a changed \p Next, a base made by nextGeneration(), or nothing if
/// no change is due. Isolating a key keeps its owner and epoch. A cooled key
/// moves to the owner of its slice first and joins the slice in a later round.
/// Once the change is committed, the caller goes on with an empty state.
std::optional<View> rebalance(View Next, const ClassLoads &Loads,
                              const BalanceState &State,
                              const BalancePolicies &Policies);

/// Returns the largest load of a server that takes work, as a multiple of the
/// mean of these servers; 1 without load.
double loadImbalance(const View &Current, const SliceLoads &Loads);

} // namespace tamarackdrum

#endif // TAMARACKDRUM_REBALANCE_H

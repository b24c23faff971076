/// \file
/// The planner: pure functions that derive the next view from the current one.

#ifndef TAMARACKDRUM_PLANNER_H
#define TAMARACKDRUM_PLANNER_H

#include "tamarackdrum/view.h"

#include <map>
#include <optional>

namespace tamarackdrum {

/// Returns \p Next with every slice of a keyed class owned by a server that
/// takes work, moving as few slices as possible. Slices whose owner takes no
/// work go to the servers with the fewest; a server without any slice is given
/// its share from the servers with the most. The result has not been
/// committed: changed slices carry `Next.m_generation`.
View assignSlices(View Next);

/// Returns the slice that holds the key of \p Hash: its own, if it is hot.
const SliceRecord &findSlice(const ClassAssignment &Assignment,
                             std::uint64_t Hash);

/// Returns a copy of \p Current as the base of the next generation.
View nextGeneration(const View &Current, std::string Committer,
                    std::string Operation);

/// Number of slices (hot keys included) whose owner differs between views.
std::size_t countMoves(const View &Before, const View &After);

} // namespace tamarackdrum

#endif // TAMARACKDRUM_PLANNER_H

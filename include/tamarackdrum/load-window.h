/// \file
/// Counts the dispatches of this process by slice and key, for the planner.
///
/// Lock order: LoadWindow::m_mutex is a leaf.

#ifndef TAMARACKDRUM_LOAD_WINDOW_H
#define TAMARACKDRUM_LOAD_WINDOW_H

#include "tamarackdrum/rebalance.h"

#include <mutex>

namespace tamarackdrum {

/// Counts of the current window. Thread-safe.
///
/// \code
/// LoadWindow Window;
/// Window.follow(View);
/// Window.count("stock", hashKey("sheet-12"));
/// ClassLoads Loads = Window.take();
/// \endcode
class LoadWindow {
public:
  /// Takes the keyed classes and isolated keys of \p Current. Counts of the
  /// current window are dropped if these changed.
  void follow(const View &Current);

  /// Counts one dispatch. Allocates nothing; unknown classes are ignored.
  void count(std::string_view WorkClass, std::uint64_t Hash);

  /// Returns the counts of the window and starts the next one.
  ClassLoads take();

private:
  struct ClassCounts {
    SliceLoads m_loads; ///< Its keys are the isolated ones, sorted by hash.
    HotKeySketch m_candidates;
  };

  static bool isSameShape(const ClassCounts &Counts,
                          const ClassAssignment &Assignment);

  std::mutex m_mutex;
  std::vector<ClassCounts> m_classes;
};

} // namespace tamarackdrum

#endif // TAMARACKDRUM_LOAD_WINDOW_H

/// \file
/// Counts the dispatches of one keyed class by slice and by hot key.

#ifndef TAMARACKDRUM_LOAD_COUNTER_H
#define TAMARACKDRUM_LOAD_COUNTER_H

#include "tamarackdrum/rebalance.h"

#include <atomic>
#include <mutex>

namespace tamarackdrum {

/// Counts of the current window. Thread-safe.
class LoadCounter {
public:
  /// Counts one dispatch of the key \p Hash in \p Slice. A key with a slice of
  /// its own is counted as a key only. Never blocks: while another thread
  /// updates the sketch, the key is left out of it.
  void record(std::uint64_t Hash, std::size_t Slice, bool IsIsolated) noexcept;

  /// Returns the counts and starts the next window.
  SliceLoads take(const std::string &WorkClass);

private:
  static constexpr std::size_t SketchBuckets = 64;
  static constexpr std::size_t ReportedKeys = 128;

  std::array<std::atomic<std::uint64_t>, SlicesPerClass> m_slices{};
  std::mutex m_mutex;
  HotKeySketch m_sketch{SketchBuckets}; ///< Guarded by m_mutex.
};

} // namespace tamarackdrum

#endif // TAMARACKDRUM_LOAD_COUNTER_H

#include "tamarackdrum/load-counter.h"

namespace tamarackdrum {

void LoadCounter::record(std::uint64_t Hash, std::size_t Slice,
                         bool IsIsolated) noexcept {
  if (!IsIsolated)
    m_slices[Slice].fetch_add(1, std::memory_order_relaxed);
  const std::unique_lock<std::mutex> Lock(m_mutex, std::try_to_lock);
  if (Lock.owns_lock())
    m_sketch.add(Hash);
}

SliceLoads LoadCounter::take(const std::string &WorkClass) {
  SliceLoads Out;
  Out.m_workClass = WorkClass;
  for (std::atomic<std::uint64_t> &Slice : m_slices)
    Out.m_slices.push_back(Slice.exchange(0));
  const std::lock_guard<std::mutex> Lock(m_mutex);
  Out.m_keys = m_sketch.top(ReportedKeys);
  m_sketch.reset();
  return Out;
}

} // namespace tamarackdrum

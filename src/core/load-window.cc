#include "tamarackdrum/load-window.h"

#include <algorithm>

namespace tamarackdrum {
namespace {

constexpr std::size_t SketchBuckets = 64;
/// Most candidates in the report of one process for one class.
constexpr std::size_t MaxCandidates = 32;

bool isLowerHash(const KeyCount &Key, std::uint64_t Hash) {
  return Key.m_hash < Hash;
}

} // namespace

bool LoadWindow::isSameShape(const ClassCounts &Counts,
                             const ClassAssignment &Assignment) {
  return Counts.m_loads.m_workClass == Assignment.m_workClass &&
         Counts.m_loads.m_slices.size() == Assignment.m_slices.size() &&
         std::equal(Counts.m_loads.m_keys.begin(), Counts.m_loads.m_keys.end(),
                    Assignment.m_hotKeys.begin(), Assignment.m_hotKeys.end(),
                    [](const KeyCount &Key, const HotKeyRecord &Record) {
                      return Key.m_hash == Record.m_hash;
                    });
}

void LoadWindow::follow(const View &Current) {
  const std::lock_guard<std::mutex> Lock(m_mutex);
  if (std::equal(m_classes.begin(), m_classes.end(),
                 Current.m_assignments.begin(), Current.m_assignments.end(),
                 isSameShape))
    return;
  m_classes.clear();
  for (const ClassAssignment &Assignment : Current.m_assignments) {
    SliceLoads Loads{Assignment.m_workClass,
                     std::vector<std::uint64_t>(Assignment.m_slices.size()),
                     {}};
    for (const HotKeyRecord &Key : Assignment.m_hotKeys)
      Loads.m_keys.push_back({Key.m_hash, 0});
    m_classes.push_back({std::move(Loads), HotKeySketch(SketchBuckets)});
  }
}

void LoadWindow::count(std::string_view WorkClass, std::uint64_t Hash) {
  const std::lock_guard<std::mutex> Lock(m_mutex);
  const auto Found = std::find_if(
      m_classes.begin(), m_classes.end(), [&](const ClassCounts &Item) {
        return Item.m_loads.m_workClass == WorkClass;
      });
  if (Found == m_classes.end())
    return;
  SliceLoads &Loads = Found->m_loads;
  const auto Key = std::lower_bound(Loads.m_keys.begin(), Loads.m_keys.end(),
                                    Hash, isLowerHash);
  if (Key != Loads.m_keys.end() && Key->m_hash == Hash) {
    ++Key->m_count;
    return;
  }
  ++Loads.m_slices[sliceIndex(Hash, Loads.m_slices.size())];
  Found->m_candidates.add(Hash);
}

ClassLoads LoadWindow::take() {
  const std::lock_guard<std::mutex> Lock(m_mutex);
  ClassLoads Out;
  for (ClassCounts &Counts : m_classes) {
    SliceLoads &Loads = Counts.m_loads;
    Out.push_back(Loads);
    const std::vector<KeyCount> Hottest =
        Counts.m_candidates.top(MaxCandidates);
    Out.back().m_keys.insert(Out.back().m_keys.end(), Hottest.begin(),
                             Hottest.end());
    std::fill(Loads.m_slices.begin(), Loads.m_slices.end(), 0);
    for (KeyCount &Key : Loads.m_keys)
      Key.m_count = 0;
    Counts.m_candidates.reset();
  }
  return Out;
}

} // namespace tamarackdrum

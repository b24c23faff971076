#include "tamarackdrum/hot-keys.h"

#include <algorithm>

namespace tamarackdrum {

HotKeySketch::HotKeySketch(std::size_t Buckets) : m_buckets(Buckets) {}

void HotKeySketch::add(std::uint64_t Hash) noexcept {
  ++m_total;
  std::array<Entry, Ways> &Bucket = m_buckets[Hash & (m_buckets.size() - 1)];
  Entry *Smallest = Bucket.data();
  for (Entry &Item : Bucket) {
    if (Item.m_hash == Hash && Item.m_count > 0) {
      ++Item.m_count;
      return;
    }
    if (Item.m_count < Smallest->m_count)
      Smallest = &Item;
  }
  Smallest->m_hash = Hash;
  Smallest->m_error = Smallest->m_count;
  ++Smallest->m_count;
}

std::vector<KeyCount> HotKeySketch::top(std::size_t Limit) const {
  std::vector<KeyCount> Keys;
  for (const std::array<Entry, Ways> &Bucket : m_buckets)
    for (const Entry &Item : Bucket)
      if (Item.m_count > Item.m_error)
        Keys.push_back({Item.m_hash, Item.m_count - Item.m_error});
  std::sort(Keys.begin(), Keys.end(),
            [](const KeyCount &Left, const KeyCount &Right) {
              return Left.m_count != Right.m_count
                         ? Left.m_count > Right.m_count
                         : Left.m_hash < Right.m_hash;
            });
  Keys.resize(std::min(Limit, Keys.size()));
  return Keys;
}

void HotKeySketch::reset() noexcept {
  std::fill(m_buckets.begin(), m_buckets.end(), std::array<Entry, Ways>{});
  m_total = 0;
}

} // namespace tamarackdrum

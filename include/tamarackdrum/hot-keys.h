/// \file
/// Finds the most requested keys of a class in constant time and space.

#ifndef TAMARACKDRUM_HOT_KEYS_H
#define TAMARACKDRUM_HOT_KEYS_H

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace tamarackdrum {

/// Requests for one key, by its hash.
struct KeyCount {
  std::uint64_t m_hash = 0;
  std::uint64_t m_count = 0;

  bool operator==(const KeyCount &) const = default;
};

/// A set-associative space-saving sketch. A key that gets more than one in
/// eight of the requests of its bucket is never missed. Not synchronized.
///
/// \code
/// HotKeySketch Sketch(64);
/// Sketch.add(hashKey("sheet-12"));
/// std::vector<KeyCount> Hottest = Sketch.top(10);
/// \endcode
class HotKeySketch {
public:
  /// \p Buckets is a power of two.
  explicit HotKeySketch(std::size_t Buckets);

  /// Counts one request. Constant time; allocates nothing.
  void add(std::uint64_t Hash) noexcept;

  /// Returns at most \p Limit keys with counts that are no higher than the
  /// true ones, largest first.
  std::vector<KeyCount> top(std::size_t Limit) const;

  std::uint64_t total() const noexcept { return m_total; }

  /// Forgets everything, to start the next window.
  void reset() noexcept;

private:
  struct Entry {
    std::uint64_t m_hash = 0;
    std::uint64_t m_count = 0;
    std::uint64_t m_error = 0; ///< Most by which m_count is too high.
  };
  static constexpr std::size_t Ways = 8;

  std::vector<std::array<Entry, Ways>> m_buckets;
  std::uint64_t m_total = 0;
};

} // namespace tamarackdrum

#endif // TAMARACKDRUM_HOT_KEYS_H

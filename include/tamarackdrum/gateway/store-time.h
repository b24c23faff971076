/// \file
/// Points in the history of the platform's store.
///
/// The store may come back from an older copy: it has then lost what was
/// written since, gives versions out again and counts a new era.

#ifndef TAMARACKDRUM_GATEWAY_STORE_TIME_H
#define TAMARACKDRUM_GATEWAY_STORE_TIME_H

#include <compare>
#include <cstdint>

namespace tamarackdrum::gateway {

/// Steady time of the store. Times of different eras are ordered by the era.
struct StoreTime {
  std::uint64_t m_era = 0; ///< Rises when the store comes back from a copy.
  std::int64_t m_ms = 0;

  auto operator<=>(const StoreTime &) const = default; // NOLINT: generated code
};

/// Version of a row, which counts in its own era only.
struct RowVersion {
  std::uint64_t m_era = 0;
  std::uint64_t m_number = 0; ///< 0: the row does not exist in that era.

  bool operator==(const RowVersion &) const = default;
};

} // namespace tamarackdrum::gateway

#endif // TAMARACKDRUM_GATEWAY_STORE_TIME_H

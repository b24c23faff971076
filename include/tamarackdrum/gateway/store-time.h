/// \file
/// Times and row versions of the platform's store.
///
/// The store may be restored from an older copy. It then lacks what was written
/// since the copy, assigns row versions a second time and starts a new era.

#ifndef TAMARACKDRUM_GATEWAY_STORE_TIME_H
#define TAMARACKDRUM_GATEWAY_STORE_TIME_H

#include <compare>
#include <cstdint>

namespace tamarackdrum::gateway {

/// Steady time of the store. Times of different eras are ordered by era.
struct StoreTime {
  std::uint64_t m_era = 0; ///< Increases when the store is restored.
  std::int64_t m_ms = 0;

  auto operator<=>(const StoreTime &) const = default; // NOLINT: generated code
};

/// Version of a row, only comparable within its era.
struct RowVersion {
  std::uint64_t m_era = 0;
  std::uint64_t m_number = 0; ///< 0: the row does not exist in that era.

  bool operator==(const RowVersion &) const = default;
};

} // namespace tamarackdrum::gateway

#endif // TAMARACKDRUM_GATEWAY_STORE_TIME_H

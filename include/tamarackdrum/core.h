/// \file
/// Basic vocabulary: time, generations, typed results and the key hash.

#ifndef TAMARACKDRUM_CORE_H
#define TAMARACKDRUM_CORE_H

#include <boost/outcome/std_result.hpp>
#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <system_error>

namespace tamarackdrum {

using Millis = std::chrono::milliseconds;

/// Monotonic clock that also counts the time during which the host is
/// suspended (CLOCK_BOOTTIME). Leases must not outlive a suspended host.
struct BootClock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock>;
  static constexpr bool is_steady = true; // NOLINT: name given by the standard

  /// Returns the current time, e.g. `TimePoint Now = BootClock::now();`.
  static time_point now() noexcept;
};

using TimePoint = BootClock::time_point;

/// Number of a committed view. Grows by one with each commit, from 1.
using Generation = std::uint64_t;

/// Fencing token of a slice. Grows by one with each change of owner, from 1.
using Epoch = std::uint64_t;

/// A value or an error code, e.g. `Result<int> Port = parsePort("80");`.
template <typename T> using Result = boost::outcome_v2::std_result<T>;

/// Returns the 64-bit hash that places a key, e.g. `hashKey("sheet-12")`.
std::uint64_t hashKey(std::string_view Key) noexcept;

/// Returns the wall-clock time in milliseconds since 1970, e.g. for a
/// deadline that another host has to compare with its own clock.
std::int64_t unixMillis() noexcept;

/// Returns the time of the BootClock in milliseconds.
std::int64_t bootMillis() noexcept;

/// Returns \p Time in milliseconds since the Unix epoch, given the same
/// instant \p Now on both clocks.
std::int64_t toUnixMillis(TimePoint Time, TimePoint Now,
                          std::int64_t NowUnixMillis) noexcept;

} // namespace tamarackdrum

#endif // TAMARACKDRUM_CORE_H

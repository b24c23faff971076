#include "tamarackdrum/core.h"

#include <ctime>
#include <xxhash.h>

namespace tamarackdrum {

BootClock::time_point BootClock::now() noexcept {
  timespec Time{};
  ::clock_gettime(CLOCK_BOOTTIME, &Time);
  return time_point(std::chrono::seconds(Time.tv_sec) +
                    std::chrono::nanoseconds(Time.tv_nsec));
}

std::uint64_t hashKey(std::string_view Key) noexcept {
  return XXH3_64bits(Key.data(), Key.size());
}

std::int64_t unixMillis() noexcept {
  return std::chrono::duration_cast<Millis>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

std::int64_t bootMillis() noexcept {
  return std::chrono::duration_cast<Millis>(BootClock::now().time_since_epoch())
      .count();
}

std::int64_t toUnixMillis(TimePoint Time, TimePoint Now,
                          std::int64_t NowUnixMillis) noexcept {
  return NowUnixMillis + std::chrono::duration_cast<Millis>(Time - Now).count();
}

} // namespace tamarackdrum

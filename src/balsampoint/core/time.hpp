#pragma once

#include <chrono>
#include <cstdint>

namespace balsampoint {

/** @brief A length of time in nanoseconds. */
using Duration = std::chrono::nanoseconds;

/**
 * @brief The time line of one host; it never steps back.
 *
 * The code reads the time only through a `ClockSource`, so this type has no
 * `now` of its own.
 */
struct MonotonicTimeline
{
  using rep = Duration::rep;       // NOLINT(readability-identifier-naming)
  using period = Duration::period; // NOLINT(readability-identifier-naming)
  using duration = Duration;       // NOLINT(readability-identifier-naming)
  static constexpr bool is_steady = true; // NOLINT
};

/** @brief A point on one host's monotonic time line. */
using Instant = std::chrono::time_point<MonotonicTimeline, Duration>;

/** @brief An instant later than every other: no deadline. */
inline constexpr Instant kNever = Instant::max();

} // namespace balsampoint

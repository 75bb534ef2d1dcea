#pragma once

#include <chrono>
#include <cstdint>

namespace balsampoint {

/** @brief A length of time in nanoseconds. */
using Duration = std::chrono::nanoseconds;

/**
 * @brief Clock type of the monotonic time of one host.
 *
 * It has no `now`, because the code reads the time only through a
 * `ClockSource`.
 */
struct MonotonicTimeline
{
  using rep = Duration::rep;       // NOLINT(readability-identifier-naming)
  using period = Duration::period; // NOLINT(readability-identifier-naming)
  using duration = Duration;       // NOLINT(readability-identifier-naming)
  static constexpr bool is_steady = true; // NOLINT
};

/** @brief A point in one host's monotonic time. */
using Instant = std::chrono::time_point<MonotonicTimeline, Duration>;

/** @brief The latest instant; stands for no deadline. */
inline constexpr Instant kNever = Instant::max();

} // namespace balsampoint

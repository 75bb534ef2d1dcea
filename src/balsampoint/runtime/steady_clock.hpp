#pragma once

#include "balsampoint/core/time.hpp"

#include <ctime>

namespace balsampoint::runtime {

/** @brief The host's monotonic clock, which also counts suspended time. */
class SteadyClock
{
public:
  /** @brief Time since the host started. */
  [[nodiscard]] static Instant Now()
  {
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return Instant{ std::chrono::seconds{ time.tv_sec } +
                    std::chrono::nanoseconds{ time.tv_nsec } };
  }
};

} // namespace balsampoint::runtime

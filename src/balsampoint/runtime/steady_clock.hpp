#pragma once

#include "balsampoint/core/time.hpp"

#include <ctime>

namespace balsampoint::runtime {

/** @brief The host's monotonic clock, including time spent suspended. */
class SteadyClock
{
public:
  /** @brief Returns the time since the host booted. */
  [[nodiscard]] static Instant Now()
  {
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return Instant{ std::chrono::seconds{ time.tv_sec } +
                    std::chrono::nanoseconds{ time.tv_nsec } };
  }
};

} // namespace balsampoint::runtime

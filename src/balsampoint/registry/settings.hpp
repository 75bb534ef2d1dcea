#pragma once

#include "balsampoint/core/id.hpp"
#include "balsampoint/core/number.hpp"
#include "balsampoint/core/time.hpp"

#include <chrono>
#include <cstddef>

namespace balsampoint::registry {

/** @brief What one host's registry is set up with. */
struct Settings
{
  HostId self;
  ZoneId zone;
  /** How long an announcement holds from its receipt. */
  Duration lease{ std::chrono::milliseconds{ 1500 } };
  /** How long a lost server's incarnation is remembered. */
  Duration memory{ std::chrono::minutes{ 10 } };
  /** Shortest time between two views that differ only in load. */
  Duration loadInterval{ std::chrono::milliseconds{ 100 } };
  /** Most servers that one host keeps. */
  std::size_t capacity{ 4096 };
};

} // namespace balsampoint::registry

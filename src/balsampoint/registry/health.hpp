#pragma once

#include "balsampoint/core/id.hpp"
#include "balsampoint/core/number.hpp"
#include "balsampoint/core/time.hpp"

#include <cstdint>

namespace balsampoint::registry {

/** @brief How one contact with a server went. */
enum class Outcome : std::uint8_t
{
  Answered,
  /** No connection, a reset, or no answer within the step's deadline. */
  Failed,
};

/** @brief What a traffic thread saw of a server. */
struct Observation
{
  ServerId server;
  Incarnation incarnation;
  Outcome outcome{};
  /** Time of one step; zero when none was timed. */
  Duration stepTime{};
};

/** @brief What this host saw of a server; never told to other hosts. */
struct Health
{
  std::uint32_t errorsInRow{};
  /** How often it was avoided since it last answered. */
  std::uint32_t avoidances{};
  /** Before this time the host prefers other servers. */
  Instant avoidUntil{};
  /** Moving average; zero when no step was timed. */
  Duration stepTime{};
};

} // namespace balsampoint::registry

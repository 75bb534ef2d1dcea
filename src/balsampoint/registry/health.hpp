#pragma once

#include "balsampoint/core/id.hpp"
#include "balsampoint/core/number.hpp"
#include "balsampoint/core/time.hpp"

#include <cstdint>

namespace balsampoint::registry {

/** @brief Outcome of one request to a server. */
enum class Outcome : std::uint8_t
{
  Answered,
  /** No connection, a reset, or no answer within the step's deadline. */
  Failed,
};

/** @brief Outcome and time of a traffic thread's request to a server. */
struct Observation
{
  ServerId server;
  Incarnation incarnation;
  Outcome outcome{};
  /** Time of one step; zero if it was not measured. */
  Duration stepTime{};
};

/**
 * @brief Health of a server as seen by this host; not shared with other
 * hosts.
 */
struct Health
{
  std::uint32_t errorsInRow{};
  /** Number of times it was avoided since its last answer. */
  std::uint32_t avoidances{};
  /** Until this time the host prefers other servers. */
  Instant avoidUntil{};
  /** Moving average of the step time; zero if none was measured. */
  Duration stepTime{};
};

} // namespace balsampoint::registry

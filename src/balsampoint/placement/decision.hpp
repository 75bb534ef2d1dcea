#pragma once

#include "balsampoint/placement/engine.hpp"

namespace balsampoint::placement {

/** @brief Which engines are to hold which ranges, decided elsewhere. */
struct Decision
{
  /** Ranges for engines that hold nothing. */
  Plan fills;
  /** Ranges for engines that hold others now. */
  Plan moves;
};

} // namespace balsampoint::placement

#pragma once

#include "balsampoint/placement/engine.hpp"

namespace balsampoint::placement {

/** @brief Layer ranges that engines are to load now. */
struct Decision
{
  /** Ranges for engines that hold none, and ranges of overdue orders to repeat.
   * */
  Plan fills;
  /** Ranges for engines that hold another range now. */
  Plan moves;
};

} // namespace balsampoint::placement

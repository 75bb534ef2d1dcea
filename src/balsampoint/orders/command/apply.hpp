#pragma once

#include "balsampoint/orders/table.hpp"

namespace balsampoint::orders {

/**
 * @brief Applies a replicated command; every host comes to the same result.
 * @param aTable The table; unchanged when the command comes too late.
 * @param aCommand The command.
 * @return Whether it changed the table.
 */
bool
Apply(Table& aTable, const Command& aCommand);

} // namespace balsampoint::orders

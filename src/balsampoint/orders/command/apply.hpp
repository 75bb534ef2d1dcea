#pragma once

#include "balsampoint/orders/table.hpp"

namespace balsampoint::orders {

/**
 * @brief Applies a replicated command. Deterministic: every host gets the same
 * result.
 * @param aTable Table to change; unchanged if the command is stale.
 * @param aCommand The command.
 * @return Whether the table changed.
 */
bool
Apply(Table& aTable, const Command& aCommand);

} // namespace balsampoint::orders

#pragma once

#include "balsampoint/ledger/replicated.hpp"
#include "balsampoint/ledger/state.hpp"

namespace balsampoint::ledger {

/**
 * @brief Applies one replicated command.
 *
 * Deterministic: the result depends on the arguments only, so that all
 * replicas agree. Applying a command again has no further effect.
 * @param aTable Table to change.
 * @param aCommand The command.
 * @return The result. A call whose claim fails with an error isn't executed.
 */
Outcome
Apply(Table& aTable, const Command& aCommand);

/**
 * @brief Inserts an entry and updates the usage counts and the expiry order.
 * @param aTable Table to change; must not contain the key.
 * @param aKey The key.
 * @param aEntry Its entry.
 */
void
Insert(Table& aTable, const Key& aKey, Entry aEntry);

} // namespace balsampoint::ledger

#pragma once

#include "balsampoint/ledger/replicated.hpp"
#include "balsampoint/ledger/state.hpp"

namespace balsampoint::ledger {

/**
 * @brief Carries out one replicated command.
 *
 * Depends on nothing but its arguments, so that all replicas agree. Each
 * command may be applied more than once without a further effect.
 * @param aTable Table to change.
 * @param aCommand The command.
 * @return Its result. A claim that is refused with an error ran nothing.
 */
Outcome
Apply(Table& aTable, const Command& aCommand);

/**
 * @brief Adds an entry as a snapshot holds it, with all counts.
 * @param aTable Table to change; must not have the key.
 * @param aKey The key.
 * @param aEntry What is known of it.
 */
void
Insert(Table& aTable, const Key& aKey, Entry aEntry);

} // namespace balsampoint::ledger

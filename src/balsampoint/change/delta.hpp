#pragma once

#include "balsampoint/change/table.hpp"

namespace balsampoint::change {

/**
 * @brief Applies a delta to a configuration.
 * @param aBase Configuration to start from.
 * @param aDelta Sections to remove, and sections to add or replace.
 * @return The resulting configuration.
 */
[[nodiscard]] SharedSections
ApplyDelta(const Sections& aBase, const Delta& aDelta);

/**
 * @brief Computes the delta between two configurations.
 * @param aFrom Configuration before the change.
 * @param aTo Configuration after the change.
 * @return The delta; holds only sections that differ.
 */
[[nodiscard]] Delta
Difference(const Sections& aFrom, const Sections& aTo);

} // namespace balsampoint::change

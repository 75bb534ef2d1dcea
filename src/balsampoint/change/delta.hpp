#pragma once

#include "balsampoint/change/table.hpp"

namespace balsampoint::change {

/**
 * @brief Makes the next configuration.
 * @param aBase The one before.
 * @param aDelta What changes.
 * @return The next one.
 */
[[nodiscard]] SharedSections
ApplyDelta(const Sections& aBase, const Delta& aDelta);

/**
 * @brief Finds what turns one configuration into another.
 * @param aFrom The first.
 * @param aTo The second.
 * @return The smallest delta by sections.
 */
[[nodiscard]] Delta
Difference(const Sections& aFrom, const Sections& aTo);

} // namespace balsampoint::change

#pragma once

#include "balsampoint/change/table.hpp"

namespace balsampoint::change {

/**
 * @brief Decides a change; the same on every replica.
 * @param aTable Table to change.
 * @param aChange The change.
 * @return The answer; for a resend, the first one.
 */
[[nodiscard]] Answer
Decide(Table& aTable, const Change& aChange);

} // namespace balsampoint::change

#pragma once

#include "balsampoint/change/table.hpp"

namespace balsampoint::change {

/**
 * @brief Decides a change; deterministic, so all replicas agree.
 * @param aTable Table to change.
 * @param aChange The change.
 * @return The answer; for a resend, the answer given first.
 */
[[nodiscard]] Answer
Decide(Table& aTable, const Change& aChange);

} // namespace balsampoint::change

#pragma once

#include "balsampoint/reach/proof.hpp"
#include "balsampoint/reach/state.hpp"

namespace balsampoint::reach {

/**
 * @brief Records that a server keeps a new connection of this host open.
 * @param aState State to change.
 * @param aNow Current time.
 */
void
RecordConnected(State& aState, Instant aNow);

/**
 * @brief Records the start of a check.
 * @param aState State to change.
 * @param aNow Current time.
 */
void
BeginCheck(State& aState, Instant aNow);

/**
 * @brief Records the result of a check, which may change the link.
 * @param aState State to change.
 * @param aResult What the connections of the check have shown.
 * @param aNow Current time.
 * @return Whether the link has changed.
 */
[[nodiscard]] bool
RecordCheck(State& aState, CheckResult aResult, Instant aNow);

} // namespace balsampoint::reach

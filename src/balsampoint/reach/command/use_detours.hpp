#pragma once

#include "balsampoint/reach/state.hpp"

#include <span>
#include <string_view>

namespace balsampoint::reach {

/**
 * @brief Replaces the list of hosts that say that they reach servers.
 * @param aState State to change.
 * @param aDetours The list.
 * @param aNow Current time.
 */
void
SetDetours(State& aState, std::span<const Detour> aDetours, Instant aNow);

/**
 * @brief Counts a connection through a detour, from its start to its end.
 * @param aState State to change.
 * @param aAddress Address of the detour.
 * @param aBegins Whether the connection begins; false if it ends.
 */
void
CountConnection(State& aState, std::string_view aAddress, bool aBegins);

/**
 * @brief Records that a detour could not open a connection for a reason of its
 * own, so that it is avoided for a while.
 * @param aState State to change.
 * @param aAddress Address of the detour.
 * @param aNow Current time.
 */
void
RecordDetourFailure(State& aState, std::string_view aAddress, Instant aNow);

} // namespace balsampoint::reach

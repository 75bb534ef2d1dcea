#pragma once

#include "balsampoint/member/state.hpp"

namespace balsampoint::member {

/**
 * @brief Copies the list of hosts for others.
 * @param aState The membership.
 * @return The hosts in the order of their ids.
 */
[[nodiscard]] View
MakeView(const State& aState);

} // namespace balsampoint::member

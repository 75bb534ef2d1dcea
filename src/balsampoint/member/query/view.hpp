#pragma once

#include "balsampoint/member/state.hpp"

namespace balsampoint::member {

/**
 * @brief CopiesToSend the list of hosts for publication.
 * @param aState State of the module.
 * @return The hosts including this one, sorted by id.
 */
[[nodiscard]] View
MakeView(const State& aState);

} // namespace balsampoint::member

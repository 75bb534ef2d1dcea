#pragma once

#include "balsampoint/member/state.hpp"

#include <cstdint>

namespace balsampoint::member::internal {

/**
 * @brief Sums up the list of reachable hosts.
 * @param aState The membership.
 * @return A number that two equal lists share, whatever is suspected.
 */
[[nodiscard]] std::uint64_t
HashOf(const State& aState);

} // namespace balsampoint::member::internal

#pragma once

#include "balsampoint/member/state.hpp"

#include <cstdint>

namespace balsampoint::member::internal {

/**
 * @brief Hashes the list of reachable hosts.
 * @param aState State of the module.
 * @return The hash; it does not depend on which hosts are suspected.
 */
[[nodiscard]] std::uint64_t
HashOf(const State& aState);

} // namespace balsampoint::member::internal

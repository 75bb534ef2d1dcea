#pragma once

#include "balsampoint/core/split_mix.hpp"
#include "balsampoint/roster/view.hpp"

#include <cstddef>
#include <span>
#include <string>
#include <vector>

namespace balsampoint::reach {

/**
 * @brief Draws the servers that a check connects to: one of each service, then
 * any, so that a service without live servers doesn't look like a link that is
 * down.
 * @param aServers The announced servers.
 * @param aCount Most servers to draw.
 * @param aRandom Source of random numbers.
 * @return Addresses of the servers.
 */
[[nodiscard]] std::vector<std::string>
ChooseReferences(std::span<const roster::Server> aServers,
                 std::size_t aCount,
                 SplitMix64& aRandom);

} // namespace balsampoint::reach

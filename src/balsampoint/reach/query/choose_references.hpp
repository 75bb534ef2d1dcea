#pragma once

#include "balsampoint/core/split_mix.hpp"
#include "balsampoint/roster/view.hpp"

#include <cstddef>
#include <span>
#include <string>
#include <vector>

namespace balsampoint::reach {

/**
 * @brief Draws the servers that a check connects to, of as many services and
 * zones as possible, so that neither a service nor a zone without live servers
 * looks like a link that is down.
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

#pragma once

#include "balsampoint/core/error.hpp"
#include "balsampoint/fleet/candidate.hpp"
#include "balsampoint/fleet/state.hpp"

#include <set>
#include <tl/expected.hpp>
#include <vector>

namespace balsampoint::fleet {

/**
 * @brief Finds the server with the lowest score for a service without
 * engines.
 * @param aState State to read.
 * @param aService Service that the request is for.
 * @param aFailed Servers on which an earlier attempt of the request failed.
 * @param aReceivers Servers that may receive the request; empty for any.
 * @param aRandomSample Random number that decides between servers of equal
 * score.
 * @param aNow Current time.
 * @return The server as a hop without layers, or `ErrorKind::NoServer` if
 * none is ready.
 */
[[nodiscard]] tl::expected<Hop, Error>
ChooseServer(const State& aState,
             const ServiceId& aService,
             const std::set<ServerId>& aFailed,
             const std::set<ServerId>& aReceivers,
             std::uint64_t aRandomSample,
             Instant aNow);

/**
 * @brief Describes each server of a service without engines as `ChooseServer`
 * sees it with the same arguments.
 * @param aState State to read.
 * @param aService Service that the request is for.
 * @param aRandomSample Random number of the choice.
 * @param aNow Current time.
 */
[[nodiscard]] std::vector<Candidate>
DescribeServers(const State& aState,
                const ServiceId& aService,
                std::uint64_t aRandomSample,
                Instant aNow);

} // namespace balsampoint::fleet

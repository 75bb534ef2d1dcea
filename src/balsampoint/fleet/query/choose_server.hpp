#pragma once

#include "balsampoint/core/error.hpp"
#include "balsampoint/fleet/state.hpp"

#include <set>
#include <tl/expected.hpp>

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

} // namespace balsampoint::fleet

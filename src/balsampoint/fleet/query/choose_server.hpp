#pragma once

#include "balsampoint/core/error.hpp"
#include "balsampoint/fleet/state.hpp"

#include <set>
#include <tl/expected.hpp>

namespace balsampoint::fleet {

/**
 * @brief Finds the plain server with the least work, near ones first.
 * @param aState State to read.
 * @param aService The service.
 * @param aFailed Servers that have failed the request.
 * @param aReceivers Servers to which it may be sent; empty for any.
 * @param aDraw A random number, which decides between equals.
 * @param aNow The time.
 * @return The server as a hop without layers, or `ErrorKind::NoServer`.
 */
[[nodiscard]] tl::expected<Hop, Error>
ChooseServer(const State& aState,
             const ServiceId& aService,
             const std::set<ServerId>& aFailed,
             const std::set<ServerId>& aReceivers,
             std::uint64_t aDraw,
             Instant aNow);

} // namespace balsampoint::fleet

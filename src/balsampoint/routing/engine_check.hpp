#pragma once

#include "balsampoint/core/error.hpp"
#include "balsampoint/routing/document.hpp"

#include <tl/expected.hpp>

namespace balsampoint::routing {

/** @brief Most layers of a model; a choice of servers takes time and memory in
 * proportion to them. */
inline constexpr std::uint32_t kMaxLayers = 4096;

/**
 * @brief Checks that requests can be run by engines with a service's profile:
 * the model has layers, and no size, time or factor is negative.
 * @param aService The service; plain services are valid.
 * @return Nothing, or `ErrorKind::InvalidConfiguration` with the reason.
 */
[[nodiscard]] tl::expected<void, Error>
CheckEngine(const Service& aService);

} // namespace balsampoint::routing

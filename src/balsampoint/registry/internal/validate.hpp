#pragma once

#include "balsampoint/registry/state.hpp"

#include <tl/expected.hpp>

namespace balsampoint::registry::internal {

/**
 * @brief Checks that an announcement is possible at all.
 * @param aState The registry with its zone and the configured models.
 * @param aAnnouncement The announcement.
 * @return Nothing, or the first reason against it.
 */
[[nodiscard]] tl::expected<void, Error>
Validate(const State& aState, const Announcement& aAnnouncement);

} // namespace balsampoint::registry::internal

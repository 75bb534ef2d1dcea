#pragma once

#include "balsampoint/registry/state.hpp"

#include <tl/expected.hpp>

namespace balsampoint::registry::internal {

/**
 * @brief Validates the fields of an announcement against each other, this
 * zone and the configured models.
 * @param aState State with the zone and the configured models.
 * @param aAnnouncement Announcement to validate.
 * @return Nothing, or the first violation found.
 */
[[nodiscard]] tl::expected<void, Error>
Validate(const State& aState, const Announcement& aAnnouncement);

} // namespace balsampoint::registry::internal

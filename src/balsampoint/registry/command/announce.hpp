#pragma once

#include "balsampoint/registry/state.hpp"

#include <tl/expected.hpp>

namespace balsampoint::registry {

/**
 * @brief Takes in an announcement made to this host.
 * @param aState The registry; unchanged on error.
 * @param aAnnouncement The announcement.
 * @param aNow Time of receipt.
 * @return The length of the lease, `ErrorKind::BadRequest` for what is
 * impossible, or `ErrorKind::Conflict` for old news and a second claimant.
 */
[[nodiscard]] tl::expected<Duration, Error>
Announce(State& aState, const Announcement& aAnnouncement, Instant aNow);

} // namespace balsampoint::registry

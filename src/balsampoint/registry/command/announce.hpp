#pragma once

#include "balsampoint/registry/state.hpp"

#include <tl/expected.hpp>

namespace balsampoint::registry {

/**
 * @brief Validates and applies an announcement that a server made to this
 * host.
 * @param aState State to change; unchanged on error.
 * @param aAnnouncement Announcement as received.
 * @param aNow Time of receipt.
 * @return Length of the lease, `ErrorKind::BadRequest` for an invalid
 * announcement, `ErrorKind::Conflict` for one of an older incarnation or for
 * a server id that is in use, or `ErrorKind::Overloaded` if the registry is
 * full.
 */
[[nodiscard]] tl::expected<Duration, Error>
Announce(State& aState, const Announcement& aAnnouncement, Instant aNow);

} // namespace balsampoint::registry

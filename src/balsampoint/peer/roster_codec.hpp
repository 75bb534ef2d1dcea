#pragma once

#include "balsampoint/core/concepts.hpp"
#include "balsampoint/roster/message.hpp"

#include <tl/expected.hpp>

namespace balsampoint::peer {

/**
 * @brief Encodes a message of the roster.
 * @param aMessage The message.
 * @return Its bytes.
 */
[[nodiscard]] ByteVector
Encode(const roster::Message& aMessage);

/**
 * @brief Decodes a message of the roster.
 * @param aBytes Its bytes.
 * @return The message, or `ErrorKind::BadRequest`.
 */
[[nodiscard]] tl::expected<roster::Message, Error>
DecodeRosterMessage(ByteView aBytes);

} // namespace balsampoint::peer

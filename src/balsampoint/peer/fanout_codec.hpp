#pragma once

#include "balsampoint/core/concepts.hpp"
#include "balsampoint/fanout/message.hpp"

namespace balsampoint::peer {

/**
 * @brief Encodes a message of the fan-out.
 * @param aMessage The message.
 * @return Its bytes.
 */
[[nodiscard]] ByteVector
Encode(const fanout::Message& aMessage);

/**
 * @brief Decodes a message of the fan-out.
 * @param aBytes Its bytes.
 * @return The message, or `ErrorKind::BadRequest`.
 */
[[nodiscard]] tl::expected<fanout::Message, Error>
DecodeFanoutMessage(ByteView aBytes);

} // namespace balsampoint::peer

#pragma once

#include "balsampoint/core/concepts.hpp"
#include "balsampoint/member/message.hpp"

namespace balsampoint::peer {

/**
 * @brief Encodes a message about hosts.
 * @param aMessage The message.
 * @return Its bytes.
 */
[[nodiscard]] ByteVector
Encode(const member::Message& aMessage);

/**
 * @brief Decodes a message about hosts.
 * @param aBytes Its bytes.
 * @return The message, or `ErrorKind::BadRequest`.
 */
[[nodiscard]] tl::expected<member::Message, Error>
DecodeMemberMessage(ByteView aBytes);

} // namespace balsampoint::peer

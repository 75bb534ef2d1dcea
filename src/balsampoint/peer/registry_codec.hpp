#pragma once

#include "balsampoint/core/concepts.hpp"
#include "balsampoint/registry/message.hpp"

namespace balsampoint::peer {

/**
 * @brief Encodes a message about backend servers.
 * @param aMessage The message.
 * @return Its bytes.
 */
[[nodiscard]] ByteVector
Encode(const registry::Message& aMessage);

/**
 * @brief Decodes a message about backend servers.
 * @param aBytes Its bytes.
 * @return The message, or `ErrorKind::BadRequest`.
 */
[[nodiscard]] tl::expected<registry::Message, Error>
DecodeRegistryMessage(ByteView aBytes);

} // namespace balsampoint::peer

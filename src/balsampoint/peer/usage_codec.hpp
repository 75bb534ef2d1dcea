#pragma once

#include "balsampoint/core/concepts.hpp"
#include "balsampoint/usage/message.hpp"

#include <tl/expected.hpp>

namespace balsampoint::peer {

/**
 * @brief Encodes a message about work in progress.
 * @param aMessage The message.
 * @return Its bytes.
 */
[[nodiscard]] ByteVector
Encode(const usage::Message& aMessage);

/**
 * @brief Decodes a message about work in progress.
 * @param aBytes Its bytes.
 * @return The message, or `ErrorKind::BadRequest`.
 */
[[nodiscard]] tl::expected<usage::Message, Error>
DecodeUsageMessage(ByteView aBytes);

} // namespace balsampoint::peer

#pragma once

#include "balsampoint/change/message.hpp"
#include "balsampoint/core/concepts.hpp"

namespace balsampoint::peer {

/**
 * @brief Encodes a message about changes.
 * @param aMessage The message.
 * @return Its bytes.
 */
[[nodiscard]] ByteVector
Encode(const change::Message& aMessage);

/**
 * @brief Decodes a message about changes.
 * @param aBytes Its bytes.
 * @return The message, or `ErrorKind::BadRequest`.
 */
[[nodiscard]] tl::expected<change::Message, Error>
DecodeChangeMessage(ByteView aBytes);

/**
 * @brief Encodes a change for the replicated log.
 * @param aChange The change.
 * @return Its bytes.
 */
[[nodiscard]] ByteVector
Encode(const change::Change& aChange);

/**
 * @brief Decodes a change from the replicated log.
 * @param aBytes Its bytes.
 * @return The change, or `ErrorKind::BadRequest`.
 */
[[nodiscard]] tl::expected<change::Change, Error>
DecodeChange(ByteView aBytes);

/**
 * @brief Encodes the table of changes for a snapshot.
 * @param aTable The table.
 * @return Its bytes.
 */
[[nodiscard]] ByteVector
Encode(const change::Table& aTable);

/**
 * @brief Decodes the table of changes from a snapshot.
 * @param aBytes Its bytes.
 * @return The table, or `ErrorKind::BadRequest`.
 */
[[nodiscard]] tl::expected<change::Table, Error>
DecodeChangeTable(ByteView aBytes);

} // namespace balsampoint::peer

#pragma once

#include "balsampoint/consensus/message.hpp"

namespace balsampoint::peer {

/**
 * @brief Encodes a message of the replicated log.
 * @param aMessage The message.
 * @return Its bytes.
 */
[[nodiscard]] ByteVector
Encode(const consensus::Message& aMessage);

/**
 * @brief Decodes a message of the replicated log.
 * @param aBytes Its bytes.
 * @return The message, or `ErrorKind::BadRequest`.
 */
[[nodiscard]] tl::expected<consensus::Message, Error>
DecodeConsensusMessage(ByteView aBytes);

/**
 * @brief Encodes an entry.
 * @param aEntry The entry.
 * @return Its bytes.
 */
[[nodiscard]] ByteVector
Encode(const consensus::Entry& aEntry);

/**
 * @brief Decodes an entry.
 * @param aBytes Its bytes.
 * @return The entry, or `ErrorKind::BadRequest`.
 */
[[nodiscard]] tl::expected<consensus::Entry, Error>
DecodeEntry(ByteView aBytes);

/**
 * @brief Encodes a snapshot.
 * @param aSnapshot The snapshot.
 * @return Its bytes.
 */
[[nodiscard]] ByteVector
Encode(const consensus::Snapshot& aSnapshot);

/**
 * @brief Decodes a snapshot.
 * @param aBytes Its bytes.
 * @return The snapshot, or `ErrorKind::BadRequest`.
 */
[[nodiscard]] tl::expected<consensus::Snapshot, Error>
DecodeSnapshot(ByteView aBytes);

/**
 * @brief Encodes the term and the vote.
 * @param aHard What is to be encoded.
 * @return Its bytes.
 */
[[nodiscard]] ByteVector
Encode(const consensus::HardState& aHard);

/**
 * @brief Decodes the term and the vote.
 * @param aBytes Their bytes.
 * @return What was encoded, or `ErrorKind::BadRequest`.
 */
[[nodiscard]] tl::expected<consensus::HardState, Error>
DecodeHardState(ByteView aBytes);

} // namespace balsampoint::peer

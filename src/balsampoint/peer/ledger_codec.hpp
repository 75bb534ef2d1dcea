#pragma once

#include "balsampoint/ledger/message.hpp"
#include "balsampoint/ledger/state.hpp"

#include "balsampoint/core/concepts.hpp"

namespace balsampoint::peer {

/**
 * @brief Encodes a message of the ledger.
 * @param aMessage The message.
 * @return Its bytes.
 */
[[nodiscard]] ByteVector
Encode(const ledger::Message& aMessage);

/**
 * @brief Decodes a message of the ledger.
 * @param aBytes Its bytes.
 * @return The message, or `ErrorKind::BadRequest`.
 */
[[nodiscard]] tl::expected<ledger::Message, Error>
DecodeLedgerMessage(ByteView aBytes);

/**
 * @brief Encodes a replicated command.
 * @param aCommand The command.
 * @return Its bytes.
 */
[[nodiscard]] ByteVector
Encode(const ledger::Command& aCommand);

/**
 * @brief Decodes a replicated command.
 * @param aBytes Its bytes.
 * @return The command, or `ErrorKind::BadRequest`.
 */
[[nodiscard]] tl::expected<ledger::Command, Error>
DecodeLedgerCommand(ByteView aBytes);

/**
 * @brief Encodes the table for a snapshot.
 * @param aTable The table.
 * @return Its bytes.
 */
[[nodiscard]] ByteVector
Encode(const ledger::Table& aTable);

/**
 * @brief Decodes the table of a snapshot.
 * @param aBytes Its bytes.
 * @param aBounds Bounds of the table.
 * @return The table with all its counts, or `ErrorKind::BadRequest`.
 */
[[nodiscard]] tl::expected<ledger::Table, Error>
DecodeLedgerTable(ByteView aBytes, const ledger::Bounds& aBounds);

} // namespace balsampoint::peer

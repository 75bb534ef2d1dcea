#pragma once

#include "balsampoint/core/concepts.hpp"

#include <map>

namespace balsampoint::peer {

/** @brief The replicated tables; the numbers never change. */
enum class TableTag : std::uint8_t
{
  Change = 1,
  Ledger = 2,
  Orders = 3,
};

/** @brief One command of the replicated log. */
struct ControlCommand
{
  TableTag table{ TableTag::Change };
  ByteVector body;

  bool operator==(const ControlCommand&) const = default;
};

/** @brief The replicated tables as of one entry, each encoded. */
using ControlSnapshot = std::map<TableTag, ByteVector>;

/**
 * @brief Encodes a command.
 * @param aCommand The command.
 * @return Its bytes.
 */
[[nodiscard]] ByteVector
Encode(const ControlCommand& aCommand);

/**
 * @brief Decodes a command.
 * @param aBytes Its bytes.
 * @return The command, or `ErrorKind::BadRequest`.
 */
[[nodiscard]] tl::expected<ControlCommand, Error>
DecodeControlCommand(ByteView aBytes);

/**
 * @brief Encodes a snapshot.
 * @param aSnapshot The tables.
 * @return Its bytes.
 */
[[nodiscard]] ByteVector
Encode(const ControlSnapshot& aSnapshot);

/**
 * @brief Decodes a snapshot.
 * @param aBytes Its bytes.
 * @return The tables, or `ErrorKind::BadRequest`.
 */
[[nodiscard]] tl::expected<ControlSnapshot, Error>
DecodeControlSnapshot(ByteView aBytes);

} // namespace balsampoint::peer

#pragma once

#include "balsampoint/wire/head.hpp"

#include <string>
#include <string_view>

namespace balsampoint::wire {

/**
 * @brief Appends a header field.
 * @param aInto Text of a head.
 * @param aName Name of the field.
 * @param aValue Its value.
 */
void
AppendField(std::string& aInto,
            std::string_view aName,
            std::string_view aValue);

/**
 * @brief Whether a field concerns one connection only or its framing.
 * @param aName Name of the field.
 * @param aFields All fields; `Connection` may name further ones.
 */
[[nodiscard]] bool
IsHopField(std::string_view aName, const Fields& aFields);

/**
 * @brief Appends a piece of a body in chunks.
 * @param aInto Receives the chunk.
 * @param aBytes The piece; not empty.
 */
void
AppendChunk(std::string& aInto, std::string_view aBytes);

/** @brief Ends a body in chunks. */
inline constexpr std::string_view kLastChunk = "0\r\n\r\n";

/** @brief The usual words for a status. */
[[nodiscard]] std::string_view
ReasonOf(std::uint16_t aStatus);

} // namespace balsampoint::wire

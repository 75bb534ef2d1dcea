#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace balsampoint::wire {

/**
 * @brief Finds the start of a response's status line inside other bytes. Any
 * number counts in place of the status, since a broken answer begins so too.
 * @param aText Bytes to search.
 * @param aFrom Where the search begins.
 * @return Offset of its first byte; `npos` if there is none.
 */
[[nodiscard]] std::size_t
FindStatusLine(std::string_view aText, std::size_t aFrom = 0);

/**
 * @brief Whether bytes begin with a status line, as far as they go.
 * @param aBytes The bytes; at least one.
 */
[[nodiscard]] bool
MayBeginWithStatusLine(std::string_view aBytes);

/**
 * @brief Reads the number in place of a status.
 * @param aText What stands between the version and the reason.
 * @return The number; 0 unless it is written in exactly three digits.
 */
[[nodiscard]] std::uint16_t
ReadStatus(std::string_view aText);

} // namespace balsampoint::wire

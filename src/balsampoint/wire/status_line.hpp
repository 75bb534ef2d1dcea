#pragma once

#include <cstddef>
#include <string_view>

namespace balsampoint::wire {

/**
 * @brief Finds the start of a response's status line inside other bytes.
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

} // namespace balsampoint::wire

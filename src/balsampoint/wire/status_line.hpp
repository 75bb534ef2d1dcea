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

} // namespace balsampoint::wire

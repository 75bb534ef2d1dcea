#pragma once

#include <string_view>

namespace balsampoint::wire {

/**
 * @brief Whether a text is a token, as the names of header fields are.
 * @param aText Text to check.
 */
[[nodiscard]] bool
IsToken(std::string_view aText);

/**
 * @brief Whether a text may stand in a start line or in a header field.
 * @param aText Text to check.
 */
[[nodiscard]] bool
IsFieldText(std::string_view aText);

/**
 * @brief Whether a line is a header field.
 * @param aLine Line without its CR LF.
 */
[[nodiscard]] bool
IsField(std::string_view aLine);

} // namespace balsampoint::wire

#pragma once

#include "balsampoint/core/time.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace balsampoint::config::internal {

/**
 * @brief Reads a whole number and a unit of `ns`, `us`, `ms`, `s`, `m`, `h`.
 * @param aText The text, such as `250ms`.
 * @return The length of time, or nothing when the text isn't one.
 */
[[nodiscard]] std::optional<Duration>
ParseDuration(std::string_view aText);

/**
 * @brief Writes a length of time in the largest unit that divides it.
 * @param aDuration The length, not negative.
 * @return The text that `ParseDuration` reads.
 */
[[nodiscard]] std::string
DurationText(Duration aDuration);

} // namespace balsampoint::config::internal

#pragma once

#include "balsampoint/config/document.hpp"
#include "balsampoint/config/problem.hpp"

#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace balsampoint::config {

/**
 * @brief Writes a configuration as JSON, with its fields in a fixed order.
 *
 * Equal configurations give equal texts. The number is not part of the text.
 * @param aDocument The configuration.
 * @return The text, on one line.
 */
[[nodiscard]] std::string
Serialize(const Document& aDocument);

/**
 * @brief Reads a configuration from JSON or YAML and checks it.
 * @param aText The text.
 * @return The configuration without a number, or all problems.
 */
[[nodiscard]] tl::expected<Document, Problems>
Parse(std::string_view aText);

} // namespace balsampoint::config

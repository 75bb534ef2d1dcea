#pragma once

#include "balsampoint/config/document.hpp"
#include "balsampoint/config/internal/node.hpp"

namespace balsampoint::config::internal {

/**
 * @brief Turns a merged tree into a document and checks it as a whole.
 * @param aRoot The tree.
 * @return The document, or every problem in it.
 */
[[nodiscard]] tl::expected<Document, Problems>
ReadDocument(const Node& aRoot);

} // namespace balsampoint::config::internal

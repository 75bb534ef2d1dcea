#pragma once

#include "balsampoint/config/document.hpp"
#include "balsampoint/config/internal/field_reader.hpp"

namespace balsampoint::config::internal {

/**
 * @brief Reads one salted hash of a key.
 * @param aCursor The node.
 * @param aKey Receives it.
 */
void
ReadValue(const Cursor& aCursor, KeyHash& aKey);

} // namespace balsampoint::config::internal

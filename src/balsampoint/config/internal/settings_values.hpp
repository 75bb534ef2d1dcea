#pragma once

#include "balsampoint/config/internal/field_reader.hpp"
#include "balsampoint/config/settings.hpp"

namespace balsampoint::config::internal {

/**
 * @brief Reads the addresses a host listens on.
 * @param aCursor The node.
 * @param aListeners Receives it.
 */
void
ReadValue(const Cursor& aCursor, Listeners& aListeners);

/**
 * @brief Reads a host of the first control group.
 * @param aCursor The node.
 * @param aSeed Receives it.
 */
void
ReadValue(const Cursor& aCursor, Seed& aSeed);

/**
 * @brief Reads the bounds on callers.
 * @param aCursor The node.
 * @param aLimits Receives it.
 */
void
ReadValue(const Cursor& aCursor, TrafficLimits& aLimits);

/**
 * @brief Reads how logs are written.
 * @param aCursor The node.
 * @param aLog Receives it.
 */
void
ReadValue(const Cursor& aCursor, LogSettings& aLog);

/**
 * @brief Reads where spans go.
 * @param aCursor The node.
 * @param aTrace Receives it.
 */
void
ReadValue(const Cursor& aCursor, TraceSettings& aTrace);

} // namespace balsampoint::config::internal

#pragma once

#include "balsampoint/config/document.hpp"
#include "balsampoint/config/internal/field_reader.hpp"

namespace balsampoint::config::internal {

/**
 * @brief Reads an availability zone.
 * @param aCursor The node.
 * @param aZone Receives it.
 */
void
ReadValue(const Cursor& aCursor, Zone& aZone);

/**
 * @brief Reads a link between zones.
 * @param aCursor The node.
 * @param aLink Receives it.
 */
void
ReadValue(const Cursor& aCursor, Link& aLink);

/**
 * @brief Reads a pipeline.
 * @param aCursor The node.
 * @param aPipeline Receives it.
 */
void
ReadValue(const Cursor& aCursor, Pipeline& aPipeline);

/**
 * @brief Reads a rule of a service.
 * @param aCursor The node.
 * @param aRule Receives it.
 */
void
ReadValue(const Cursor& aCursor, ServiceRule& aRule);

/**
 * @brief Reads a service.
 * @param aCursor The node.
 * @param aService Receives it.
 */
void
ReadValue(const Cursor& aCursor, Service& aService);

/**
 * @brief Reads the limits of a workspace.
 * @param aCursor The node.
 * @param aLimits Receives it.
 */
void
ReadValue(const Cursor& aCursor, Limits& aLimits);

} // namespace balsampoint::config::internal

#pragma once

#include "balsampoint/config/document.hpp"
#include "balsampoint/route/table.hpp"

#include <span>
#include <vector>

namespace balsampoint::route {

/** @brief Pipelines, servers and links from which routes are planned. */
struct PlanInput
{
  const config::Document& document;
  std::span<const registry::Server> servers;
  std::span<const Link> links;
};

/**
 * @brief Makes the table of all pipelines, without computing new flows.
 *
 * A pipeline keeps its flow from the previous table if only loads changed.
 * Other pipelines get none, so that the table can be used at once.
 * @param aPrevious The previous table.
 * @param aInput Pipelines, servers and links.
 * @return The table.
 */
[[nodiscard]] Table
Plan(const Table& aPrevious, const PlanInput& aInput);

/**
 * @brief Pipelines of a table whose flow is not computed yet.
 * @param aTable The table.
 * @return Their ids.
 */
[[nodiscard]] std::vector<PipelineId>
PipelinesWithoutFlow(const Table& aTable);

} // namespace balsampoint::route

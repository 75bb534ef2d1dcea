#pragma once

#include "balsampoint/config/document.hpp"
#include "balsampoint/route/table.hpp"

#include <span>
#include <vector>

namespace balsampoint::route {

/** @brief What routes are planned from. */
struct PlanInput
{
  const config::Document& document;
  std::span<const registry::Server> servers;
  std::span<const Link> links;
};

/**
 * @brief Makes the table of all pipelines, with the flows known already.
 *
 * A flow is taken over where only loads changed; other pipelines are left
 * without one, so that the table can be used at once.
 * @param aPrevious The table before.
 * @param aInput Pipelines, servers and links.
 * @return The table.
 */
[[nodiscard]] Table
Plan(const Table& aPrevious, const PlanInput& aInput);

/**
 * @brief Pipelines of a table whose flow is still to be worked out.
 * @param aTable The table.
 * @return Their ids.
 */
[[nodiscard]] std::vector<PipelineId>
WithoutFlow(const Table& aTable);

} // namespace balsampoint::route

#pragma once

#include "balsampoint/route/flow.hpp"
#include "balsampoint/route/state.hpp"

#include <cstdint>
#include <map>

namespace balsampoint::route {

/** @brief Servers and maximum flow of one pipeline; immutable. */
struct Routes
{
  Graph graph;
  Flow flow;
  /** Version of the flow; zero if the flow is not computed yet. Stays the same
   * while only loads change. */
  std::uint64_t flowNumber{};
};

/** @brief Routes of all pipelines, read by traffic threads; immutable. */
struct Table
{
  std::map<PipelineId, Routes> pipelines;
};

} // namespace balsampoint::route

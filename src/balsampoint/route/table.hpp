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
  /** Changes with the flow; equal flows keep it when only loads change. */
  std::uint64_t flowNumber{};
};

/** @brief All pipelines' routes as traffic threads see them; immutable. */
struct Table
{
  std::map<PipelineId, Routes> pipelines;
};

} // namespace balsampoint::route

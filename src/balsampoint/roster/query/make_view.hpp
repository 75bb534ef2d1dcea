#pragma once

#include "balsampoint/roster/state.hpp"

#include <span>

namespace balsampoint::roster {

/**
 * @brief Hosts with which this host exchanges sums over hosts.
 * @param aState State to read.
 * @param aNow Current time.
 */
[[nodiscard]] Topology
DescribeTopology(const State& aState, Instant aNow);

/**
 * @brief Builds the view of the servers that other modules of this host use.
 * @param aState State to read.
 * @param aReachableControls Control hosts whose claims reach this host, ordered
 * by id; if there are none, no server is suspected.
 * @param aTopology Becomes part of the view.
 * @return The view.
 */
[[nodiscard]] View
MakeView(const State& aState,
         std::span<const HostId> aReachableControls,
         Topology aTopology);

} // namespace balsampoint::roster

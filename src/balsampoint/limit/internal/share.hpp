#pragma once

#include "balsampoint/limit/state.hpp"

namespace balsampoint::limit::internal {

/**
 * @brief Fair share of a workspace in this host's slots.
 * @param aState State to read.
 * @param aWorkspace The workspace.
 * @return All slots times the workspace's weight, divided by the weights of the
 * workspaces that have requests.
 */
[[nodiscard]] double
FairSlots(const State& aState, const WorkspaceState& aWorkspace);

/**
 * @brief Estimates the queueing time of a request that arrives now.
 * @param aState State to read.
 * @param aWorkspace Its workspace.
 * @return The time; zero if the request can start at once.
 */
[[nodiscard]] Duration
PredictedWait(const State& aState, const WorkspaceState& aWorkspace);

/**
 * @brief Limit of a workspace's concurrent requests on this host.
 * @param aState State to read.
 * @param aWorkspace The workspace.
 * @return This host's share of the limit, at least 1; all slots if there is no
 * limit.
 */
[[nodiscard]] std::uint32_t
ConcurrencyShare(const State& aState, const WorkspaceState& aWorkspace);

/**
 * @brief Whether the engines have enough free KV for a request.
 *
 * This host's running requests may be missing from a delayed report, so the
 * larger of their KV and the reported KV counts as used. The only request on
 * the host is always admitted, and so is any request while no capacity is
 * known.
 * @param aState State to read.
 * @param aTokens KV positions that the request may need.
 */
[[nodiscard]] bool
HasFreeKv(const State& aState, std::uint64_t aTokens);

} // namespace balsampoint::limit::internal

#pragma once

#include "balsampoint/fanout/state.hpp"

namespace balsampoint::fanout::internal {

/** @brief Whether this host is the root of the tree. */
[[nodiscard]] inline bool
Leads(const State& aState)
{
  return aState.leadingSince != kNever;
}

/**
 * @brief Time since the last sign of life of the leader; zero on the leader.
 * @param aState State to read.
 * @param aNow The current time.
 */
[[nodiscard]] inline Duration
RootAge(const State& aState, Instant aNow)
{
  return Leads(aState) ? Duration{} : aNow - aState.lastRootContactAt;
}

/**
 * @brief Whether there is no parent, or none that is reachable.
 * @param aState State to read.
 * @param aNow The current time.
 */
[[nodiscard]] inline bool
ParentIsLost(const State& aState, Instant aNow)
{
  return aState.parent.Empty() ||
         aNow - aState.lastParentContactAt > aState.settings.contactTimeout;
}

/**
 * @brief Whether the last sign of life of the leader is too old, even if the
 * parent is reachable.
 * @param aState State to read.
 * @param aNow The current time.
 */
[[nodiscard]] inline bool
RootIsLost(const State& aState, Instant aNow)
{
  return RootAge(aState, aNow) > aState.settings.rootContactTimeout;
}

} // namespace balsampoint::fanout::internal

#pragma once

#include "balsampoint/route/flow.hpp"
#include "balsampoint/route/state.hpp"

#include <span>

namespace balsampoint::route {

/** @brief Fraction of all tokens whose entry hosts are in one zone. */
struct EntryShare
{
  ZoneId zone;
  double share{};
};

/**
 * @brief Divides the tokens equally among the zones that have servers.
 * @param aGraph The servers.
 */
[[nodiscard]] std::vector<EntryShare>
EqualShares(const Graph& aGraph);

/**
 * @brief Computes the most tokens per second that servers and links can carry.
 *
 * A token uses, of each server, the layers that it runs there; and of the link
 * between its entry zone and each server's zone, one activation in each
 * direction. A path may enter a server at any layer it holds and leave it at
 * any later one. It then uses part of the server's capacity, which a plain
 * maximum flow with one capacity for each server can't express. The linear
 * program over all paths is solved by column generation, with the cheapest path
 * under the current dual prices as the next column.
 * @param aGraph Servers and links.
 * @param aShares Entry zones of the tokens; the shares add up to one.
 * @return The flow; without paths when a layer has no server.
 */
[[nodiscard]] Flow
MaxFlow(const Graph& aGraph, std::span<const EntryShare> aShares);

} // namespace balsampoint::route

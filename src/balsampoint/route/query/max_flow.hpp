#pragma once

#include "balsampoint/route/flow.hpp"
#include "balsampoint/route/state.hpp"

#include <span>

namespace balsampoint::route {

/** @brief The part of all tokens that enters in one zone. */
struct EntryShare
{
  ZoneId zone;
  double share{};
};

/**
 * @brief Equal shares for all zones that have servers.
 * @param aGraph The servers.
 */
[[nodiscard]] std::vector<EntryShare>
EqualShares(const Graph& aGraph);

/**
 * @brief Works out the most tokens a second that servers and links can carry.
 *
 * A token uses of each server the layers it runs there, and of the link
 * between its entry zone and each server's zone one activation in each
 * direction. A server is entered at any layer it holds and left at any later
 * one; so a way uses part of a server's capacity, which a plain maximum flow
 * with one capacity for each server can't express. The linear program over
 * all ways is solved by column generation, with the cheapest way under the
 * current prices as the next column.
 * @param aGraph Servers and links.
 * @param aShares Where the tokens enter; the shares add up to one.
 * @return The flow; without paths when a layer has no server.
 */
[[nodiscard]] Flow
MaxFlow(const Graph& aGraph, std::span<const EntryShare> aShares);

} // namespace balsampoint::route

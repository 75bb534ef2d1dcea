#pragma once

#include "balsampoint/route/chain.hpp"

#include <cstdint>
#include <span>

namespace balsampoint::route {

/** @brief Requirements and preferences for the choice of a chain. */
struct RouteRequest
{
  LayerRange layers;
  /** Zone of the entry host, which sends the calls of the request. */
  ZoneId entry;
  /** Servers that may not be chosen. */
  std::span<const ExcludedServer> excluded;
  /** Zones to use only when the range can't be covered without them. */
  std::span<const ZoneId> avoidedZones;
  /** Servers that may hold the prompt's prefix in their cache. */
  std::span<const ServerId> cached;
  /** Most tokens of KV that the request may need. */
  std::uint64_t kvTokens{};
};

/**
 * @brief Whether a request excludes a server.
 * @param aRequest The request.
 * @param aStage The server and its incarnation.
 */
[[nodiscard]] bool
Excludes(const RouteRequest& aRequest, const Stage& aStage);

} // namespace balsampoint::route

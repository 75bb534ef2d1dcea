#pragma once

#include "balsampoint/route/chain.hpp"

#include <cstdint>
#include <span>

namespace balsampoint::route {

/** @brief What a chosen chain must do. */
struct Wish
{
  LayerRange layers;
  /** Zone of the host that drives the request. */
  ZoneId entry;
  /** Servers that may not be chosen. */
  std::span<const ExcludedServer> excluded;
  /** Zones to use only when the range can't be covered without them. */
  std::span<const ZoneId> avoidedZones;
  /** Servers that may hold the prompt's prefix in their cache. */
  std::span<const ServerId> cached;
  /** Tokens of KV that the request may come to need. */
  std::uint64_t kvTokens{};
};

/**
 * @brief Whether a wish rules a server out.
 * @param aWish The wish.
 * @param aStage The server.
 */
[[nodiscard]] bool
Excludes(const Wish& aWish, const Stage& aStage);

} // namespace balsampoint::route

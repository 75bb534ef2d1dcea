#pragma once

#include "balsampoint/placement/engine.hpp"

#include <span>

namespace balsampoint::placement {

/**
 * @brief Finds the range with which an engine that holds nothing helps most.
 *
 * Layers that no other engine of its zone holds come first, then those that
 * the fewest engines hold.
 * @param aEngine The engine.
 * @param aOthers The other engines with the layers that they hold.
 * @param aNeed What a layer needs.
 * @return The range; absent if the engine can't hold a layer.
 */
[[nodiscard]] std::optional<LayerRange>
FillOne(const Engine& aEngine,
        std::span<const Engine> aOthers,
        const LayerNeed& aNeed);

/** @brief One engine that is to hold another range. */
struct Move
{
  ServerId server;
  LayerRange layers;
  /** Whether its zone holds all its present layers without it. */
  bool spare{ false };
};

/**
 * @brief Finds an engine that is to hold another range, so that its zone lacks
 * fewer layers.
 *
 * Engines that their zone can do without come first, then those whose layers
 * other zones hold too; of these the ones with the fewest layers to load.
 * @param aEngines The engines with the layers that they hold.
 * @param aNeed What a layer needs.
 * @return The move; absent if no zone lacks layers or no single move helps.
 */
[[nodiscard]] std::optional<Move>
CloseGap(std::span<const Engine> aEngines, const LayerNeed& aNeed);

/**
 * @brief Finds the moves that may be made at once: several of engines that
 * their zone can do without, or a single other one.
 * @param aEngines The engines with the layers that they hold.
 * @param aNeed What a layer needs.
 * @return The range of each engine that moves.
 */
[[nodiscard]] Plan
CloseGaps(std::span<const Engine> aEngines, const LayerNeed& aNeed);

} // namespace balsampoint::placement

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
};

/**
 * @brief Finds an engine that other engines of its zone can do without, to
 * hold layers that its zone lacks.
 * @param aEngines The engines with the layers that they hold.
 * @param aNeed What a layer needs.
 * @return The move; absent if no zone lacks layers or none can spare an
 * engine.
 */
[[nodiscard]] std::optional<Move>
CloseGap(std::span<const Engine> aEngines, const LayerNeed& aNeed);

} // namespace balsampoint::placement

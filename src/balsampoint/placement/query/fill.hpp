#pragma once

#include "balsampoint/placement/engine.hpp"

#include <span>

namespace balsampoint::placement {

/**
 * @brief Finds the most useful layer range for an engine that holds none.
 *
 * Prefers layers that no engine holds, then layers that no other engine of
 * its zone holds, then those with the fewest holders.
 * @param aEngine Engine without layers.
 * @param aOthers Other engines with the layers that they hold.
 * @param aModel Size of the model.
 * @return The range; absent if the engine's memory is too small for a layer.
 */
[[nodiscard]] std::optional<LayerRange>
FillOne(const Engine& aEngine,
        std::span<const Engine> aOthers,
        const ModelSize& aModel);

/** @brief Assignment of another range to an engine that holds layers. */
struct Move
{
  ServerId server;
  LayerRange layers;
  /** Whether other engines of its zone hold all layers that it holds now. */
  bool redundant{ false };
};

/**
 * @brief Finds the engine whose move to another range best reduces the
 * number of layers missing in its zone.
 *
 * Prefers engines whose layers other engines of their zone hold too, then
 * those whose layers only other zones hold; then moves that close more gaps,
 * then engines that hold fewer layers.
 * @param aEngines Engines with the layers that they hold.
 * @param aModel Size of the model.
 * @return The move; absent if no zone lacks layers or no single move helps.
 */
[[nodiscard]] std::optional<Move>
CloseGap(std::span<const Engine> aEngines, const ModelSize& aModel);

/**
 * @brief Finds the moves that may be made at the same time: several of
 * engines whose layers are also held by others of their zone, or a single
 * one of another engine.
 * @param aEngines Engines with the layers that they hold.
 * @param aModel Size of the model.
 * @return New range of each engine that moves.
 */
[[nodiscard]] Plan
CloseGaps(std::span<const Engine> aEngines, const ModelSize& aModel);

} // namespace balsampoint::placement

#pragma once

#include "balsampoint/placement/engine.hpp"

#include <span>

namespace balsampoint::placement {

/** @brief Requests for whose KV each copy of the model leaves room. */
inline constexpr double kRequestsPerCopy = 150.0;

/**
 * @brief Places a model on engines that hold nothing.
 *
 * Each zone with memory for it gets whole copies, so that it can serve alone
 * and chains don't cross between zones; what is left in a zone holds the first
 * layers once more. Zones without a whole copy form copies together.
 * @param aEngines The engines.
 * @param aNeed What a layer needs.
 * @return A range for every engine that can hold a layer.
 */
[[nodiscard]] Plan
PlanAll(std::span<const Engine> aEngines, const LayerNeed& aNeed);

/**
 * @brief Memory that a layer of a copy takes with its KV, in megabytes.
 * @param aNeed What a layer needs.
 */
[[nodiscard]] double
PerLayerMb(const LayerNeed& aNeed);

/**
 * @brief The most layers that an engine holds with room for some KV.
 * @param aEngine The engine.
 * @param aNeed What a layer needs.
 */
[[nodiscard]] std::uint32_t
MostLayers(const Engine& aEngine, const LayerNeed& aNeed);

} // namespace balsampoint::placement

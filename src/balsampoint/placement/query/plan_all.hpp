#pragma once

#include "balsampoint/placement/engine.hpp"

#include <span>

namespace balsampoint::placement {

/**
 * @brief Number of typical requests whose KV each copy of the model must
 * have memory for.
 */
inline constexpr double kRequestsPerCopy = 150.0;

/**
 * @brief Places a model on engines that hold no layers.
 *
 * Each zone with enough memory holds whole copies, so that it can serve
 * requests alone and chains don't cross zones; its remaining engines hold
 * the first layers once more. Zones without enough memory for a copy form
 * one together.
 * @param aEngines Engines of all zones.
 * @param aModel Size of the model.
 * @return Layer ranges by engine; engines without memory for a layer have
 * none.
 */
[[nodiscard]] Plan
PlanAll(std::span<const Engine> aEngines, const ModelSize& aModel);

/**
 * @brief Memory of one layer and its KV in a copy of the model, in
 * megabytes.
 * @param aModel Size of the model.
 */
[[nodiscard]] double
PerLayerMb(const ModelSize& aModel);

/**
 * @brief Largest number of layers that an engine can hold with the least KV.
 * @param aEngine Engine to measure.
 * @param aModel Size of the model.
 */
[[nodiscard]] std::uint32_t
MaxLayers(const Engine& aEngine, const ModelSize& aModel);

} // namespace balsampoint::placement

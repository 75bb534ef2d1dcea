#pragma once

#include "balsampoint/fleet/state.hpp"

namespace balsampoint::fleet::internal {

/**
 * @brief KV that fits beside the layers of an engine.
 * @param aEngine The service's profile.
 * @param aDescription The engine.
 * @return Tokens times layers.
 */
[[nodiscard]] double
KvRoom(const routing::EngineProfile& aEngine,
       const roster::Description& aDescription);

/**
 * @brief Time of one pass over some layers of an engine.
 * @param aEngine The service's profile.
 * @param aStepFactor The engine's factor.
 * @param aLayers Layers that the pass runs.
 * @param aWriters Requests that write.
 * @return Milliseconds.
 */
[[nodiscard]] double
PassMs(const routing::EngineProfile& aEngine,
       double aStepFactor,
       double aLayers,
       double aWriters);

/**
 * @brief Time to read a prompt through some layers of an engine.
 * @param aEngine The service's profile.
 * @param aReadFactor The engine's factor.
 * @param aLayers Layers that read it.
 * @param aTokens Tokens of the prompt.
 * @return Milliseconds.
 */
[[nodiscard]] double
ReadMs(const routing::EngineProfile& aEngine,
       double aReadFactor,
       double aLayers,
       double aTokens);

} // namespace balsampoint::fleet::internal

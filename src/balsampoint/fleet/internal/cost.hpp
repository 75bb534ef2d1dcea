#pragma once

#include "balsampoint/fleet/state.hpp"

namespace balsampoint::fleet::internal {

/**
 * @brief KV capacity that remains in an engine's memory beside its layers.
 * @param aEngine Profile of the service's engines.
 * @param aDescription Properties of the engine.
 * @return Capacity in tokens times layers; zero for an accelerator that is
 * not in the profile.
 */
[[nodiscard]] double
KvCapacity(const routing::EngineProfile& aEngine,
           const roster::Description& aDescription);

/**
 * @brief Predicted time of one decode pass over some layers of an engine.
 * @param aEngine Profile of the service's engines.
 * @param aStepFactor Slowdown of the engine's steps against the profile.
 * @param aLayers Number of layers that the pass runs.
 * @param aWriters Number of requests that generate tokens in the pass.
 * @return Milliseconds.
 */
[[nodiscard]] double
PassMs(const routing::EngineProfile& aEngine,
       double aStepFactor,
       double aLayers,
       double aWriters);

/**
 * @brief Predicted time of the prefill of a prompt through some layers of an
 * engine.
 * @param aEngine Profile of the service's engines.
 * @param aReadFactor Slowdown of the engine's prefill against the profile.
 * @param aLayers Number of layers that the prompt passes.
 * @param aTokens Number of tokens of the prompt.
 * @return Milliseconds.
 */
[[nodiscard]] double
ReadMs(const routing::EngineProfile& aEngine,
       double aReadFactor,
       double aLayers,
       double aTokens);

/**
 * @brief Predicted time that a prompt waits at an engine for the prefill of the
 * prompts sent before it.
 *
 * An engine reads a chunk of prompts in each step, between the tokens of
 * running requests. A prompt counts on all servers of its chain until its first
 * event but is at one of them at a time, so the part of the counted prompts
 * that is at the engine is taken to be its part of the model's layers.
 * @param aEngine Profile of the service's engines.
 * @param aServer The engine with the work on it.
 * @return Milliseconds; zero without such prompts.
 */
[[nodiscard]] double
BacklogMs(const routing::EngineProfile& aEngine, const Server& aServer);

} // namespace balsampoint::fleet::internal

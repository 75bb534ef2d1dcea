#pragma once

#include "balsampoint/config/document.hpp"
#include "balsampoint/core/time.hpp"
#include "balsampoint/route/chain.hpp"

#include <cstdint>
#include <string>

namespace balsampoint::stream {

/** @brief One admitted request for an answer of a pipeline. */
struct StreamRequest
{
  RequestId id;
  config::Pipeline pipeline;
  std::string prompt;
  std::uint32_t maxTokens{};
  Instant deadline{ kNever };
  /** Lower is served first. */
  std::uint32_t priority{};
  /** Stages over all layers; empty when they are still to be chosen. */
  route::Chain route;
};

/** @brief Limits and costs that the decisions of an answer work with. */
struct Settings
{
  /** Least time given to a step, whatever was observed. */
  Duration minStepTime{ std::chrono::milliseconds{ 10 } };
  /** Time given to a call before anything was observed of its server. */
  Duration initialStepTime{ std::chrono::seconds{ 5 } };
  /** Most time given to any call. */
  Duration maxStepTime{ std::chrono::seconds{ 20 } };
  /** How long a lost range may wait for a server to appear. */
  Duration replacementWait{ std::chrono::seconds{ 3 } };
  /** Losses of stages after which an answer is given up. */
  std::uint32_t maxLosses{ 16 };
  /** Bytes of activations kept for one answer to shorten its recovery. */
  std::uint64_t keptActivationBytes{ 16ULL << 20U };
  /** Positions replayed in the time of one generated token. */
  double replayPositionsPerStep{ 8 };
  /** Bytes a second at which one engine copies KV from another. */
  double kvBytesPerSecond{ 250e6 };
};

} // namespace balsampoint::stream

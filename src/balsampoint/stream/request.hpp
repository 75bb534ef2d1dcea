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
  /** Stages that cover all layers; empty if not chosen yet. */
  route::Chain route;
};

/** @brief Limits and cost estimates used while an answer is generated. */
struct Settings
{
  /** Minimum time allowed for a step. */
  Duration minStepTime{ std::chrono::milliseconds{ 10 } };
  /** Time allowed for a call before any step time was observed. */
  Duration initialStepTime{ std::chrono::seconds{ 5 } };
  /** Maximum time allowed for a call. */
  Duration maxStepTime{ std::chrono::seconds{ 20 } };
  /** Maximum wait for a server that can replace a lost one. */
  Duration replacementWait{ std::chrono::seconds{ 3 } };
  /** Stage losses above which the answer fails. */
  std::uint32_t maxLosses{ 16 };
  /** Maximum bytes of activations kept per answer to shorten recovery. */
  std::uint64_t keptActivationBytes{ 16ULL << 20U };
  /** Positions replayed in the time of one generated token. */
  double replayPositionsPerStep{ 8 };
  /** Bytes a second at which one engine copies KV from another. */
  double kvBytesPerSecond{ 250e6 };
};

} // namespace balsampoint::stream

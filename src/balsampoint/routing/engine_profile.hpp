#pragma once

#include "balsampoint/core/id.hpp"
#include "balsampoint/core/time.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace balsampoint::routing {

/** @brief What one kind of accelerator holds and how fast it is. */
struct AcceleratorKind
{
  /** Memory for layers and KV, in megabytes. */
  double memoryMb{};
  /** Multiplies the time of steps and of their context. */
  double stepFactor{ 1.0 };
  /** Multiplies the time of reading prompts. */
  double readFactor{ 1.0 };

  bool operator==(const AcceleratorKind&) const = default;
};

/** @brief Speed and memory of the engines of one service. */
struct EngineProfile
{
  ModelId model;
  /** Layers of the model. */
  std::uint32_t layers{ 1 };
  double layerMb{};
  /** KV of one token over all layers, in bytes. */
  double kvBytesPerToken{};
  /** Requests that an engine runs as the first of a chain. */
  std::uint32_t slots{ 1 };
  /** Tokens written in one pass, which make one event of a stream. */
  std::uint32_t tokensPerPass{ 1 };
  /** One step over all layers without any writer, in milliseconds. */
  double stepMs{};
  /** Added to a step for each request that writes, in milliseconds. */
  double perWriterMs{};
  /** Added to a step for each 1,000 tokens of context, in milliseconds. */
  double perThousandContextMs{};
  /** Prompt tokens read in a second. */
  double readTokensPerSecond{};
  /** Reading of a million pairs of a token and an earlier one, in ms. */
  double perMillionPairsMs{};
  /** Most prompt tokens read in one step. */
  std::uint32_t readChunk{ 1 };
  /** Bytes that pass from one engine to the next for one token. */
  double activationBytes{};
  /** Megabits a second that all transfers between two zones share. */
  double zoneLinkMbps{};
  /** Time to load all layers. */
  Duration loadTime{};
  /** Loads from the weight store that run at full speed together. */
  std::uint32_t parallelLoads{ 1 };
  /** Mean tokens of a prompt and of an answer. */
  double usualPrompt{};
  double usualAnswer{};
  /** By the name of the kind; empty where all engines are alike. */
  std::map<std::string, AcceleratorKind> kinds;

  bool operator==(const EngineProfile&) const = default;
};

} // namespace balsampoint::routing

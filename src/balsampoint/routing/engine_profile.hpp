#pragma once

#include "balsampoint/core/id.hpp"
#include "balsampoint/core/time.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace balsampoint::routing {

/** @brief Memory and relative speed of one kind of accelerator. */
struct AcceleratorKind
{
  /** Memory for layers and KV, in megabytes. */
  double memoryMb{};
  /** Factor on the time of a step and of its context. */
  double stepFactor{ 1.0 };
  /** Factor on the time to read prompts. */
  double readFactor{ 1.0 };

  bool operator==(const AcceleratorKind&) const = default;
};

/** @brief Speed and memory of the engines of one service. */
struct EngineProfile
{
  ModelId model;
  /** Layers of the model. */
  std::uint32_t layers{ 1 };
  /** Memory of one layer, in megabytes. */
  double layerMb{};
  /** Bytes of KV of one token over all layers. */
  double kvBytesPerToken{};
  /** Requests that an engine runs concurrently as the first of a chain. */
  std::uint32_t slots{ 1 };
  /** Tokens generated in one pass, which make one event of a stream. */
  std::uint32_t tokensPerPass{ 1 };
  /** Time of a step over all layers without generating requests, in
   * milliseconds. */
  double stepMs{};
  /** Added to a step for each generating request, in milliseconds. */
  double perWriterMs{};
  /** Added to a step for each 1,000 tokens of context, in milliseconds. */
  double perThousandContextMs{};
  /** Prompt tokens read per second. */
  double readTokensPerSecond{};
  /** Added to reading for each million pairs of a prompt token and an earlier
   * token, in milliseconds. */
  double perMillionPairsMs{};
  /** Maximum number of prompt tokens read in one step. */
  std::uint32_t readChunk{ 1 };
  /** Bytes sent from one engine to the next for one token. */
  double activationBytes{};
  /** Bandwidth that all transfers between two zones share, in megabits per
   * second. */
  double zoneLinkMbps{};
  /** Time to load all layers. */
  Duration loadTime{};
  /** Concurrent loads from the weight store that run at full speed. */
  std::uint32_t parallelLoads{ 1 };
  /** Mean number of tokens of a prompt. */
  double meanPromptTokens{};
  /** Mean number of tokens of an answer. */
  double meanAnswerTokens{};
  /** Accelerator kinds by name; empty if all engines are alike. */
  std::map<std::string, AcceleratorKind> kinds;

  bool operator==(const EngineProfile&) const = default;
};

} // namespace balsampoint::routing

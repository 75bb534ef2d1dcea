#pragma once

#include "load/histogram.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace balsampoint::load {

/** @brief One stage that is called without the system, for a baseline. */
struct DirectStage
{
  /** IP number and port of the engine. */
  std::string address;
  std::uint32_t layerBegin{};
  std::uint32_t layerEnd{};
};

/** @brief What to send and where. */
struct Experiment
{
  /** IP numbers and ports of callers' listeners, used in turn. */
  std::vector<std::string> targets;
  /** Stages to call directly instead; empty to go through the system. */
  std::vector<DirectStage> direct;
  std::string key;
  std::string pipeline;
  std::string model;
  std::string version;
  std::uint32_t layers{};
  std::uint32_t tokens{};
  std::uint32_t requests{};
  /** Arrivals a second, evenly spaced, whatever the answers do. */
  double rate{};
};

/** @brief What came back. */
struct Result
{
  std::uint32_t right{};
  /** Complete answers that differ from the arithmetic. */
  std::uint32_t wrong{};
  /** Answers that ended with an error event. */
  std::uint32_t broken{};
  /** Refusals and failed connections. */
  std::uint32_t refused{};
  std::uint32_t mostInProgress{};
  double seconds{};
  Histogram firstToken;
  Histogram betweenTokens;
};

/**
 * @brief Runs an experiment to its end.
 * @param aExperiment What to send and where.
 * @return What came back.
 */
[[nodiscard]] Result
RunExperiment(const Experiment& aExperiment);

/**
 * @brief Writes a result.
 * @param aResult The result.
 * @return JSON text.
 */
[[nodiscard]] std::string
EncodeResult(const Result& aResult);

} // namespace balsampoint::load

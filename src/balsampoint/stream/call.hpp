#pragma once

#include "balsampoint/core/id.hpp"
#include "balsampoint/core/layer_range.hpp"
#include "balsampoint/core/number.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace balsampoint::stream {

/** @brief Identifies a call; the reply carries the same value. */
struct CallId
{
  /** Id of the request's KV at the server; each rebuilt KV gets a new one. */
  RequestId request;
  AttemptNumber attempt;
  StepNumber step;
  LayerRange layers;

  auto operator<=>(const CallId&) const = default;
};

/** @brief Runs a range of layers for the next position of a request. */
struct StepCall
{
  CallId id;
  ModelId model;
  std::string version;
  std::string adapter;
  /** Input of layer 0 at this position; the KV digest is built from it. */
  std::uint64_t start{};
  /** Input of the first layer of the range. */
  std::uint64_t input{};
  /** Digest of the positions that the KV must hold before this step. */
  std::uint64_t kvDigest{};
  /** Lower is served first. */
  std::uint32_t priority{};
};

/** @brief Outcome of a step. */
struct StepReply
{
  CallId id;
  /** Incarnation of the replying server; zero if the reply has none. */
  Incarnation incarnation;
  /** Output of the last layer of the range. */
  std::uint64_t output{};
};

/** @brief Inputs of one past position of a request, for one layer range. */
struct Position
{
  /** Input of layer 0. */
  std::uint64_t start{};
  /** Input of the first layer of the range. */
  std::uint64_t input{};

  auto operator<=>(const Position&) const = default;
};

/**
 * @brief Rebuilds the KV of a layer range from past positions.
 *
 * Any KV of the request for these layers is dropped first. `id.step` is the
 * step that follows the last position.
 */
struct ReplayCall
{
  CallId id;
  ModelId model;
  std::string version;
  std::string adapter;
  std::vector<Position> positions;
};

/** @brief Outcome of a replay. */
struct ReplayReply
{
  CallId id;
  /** Incarnation of the replying server; zero if the reply has none. */
  Incarnation incarnation;
  /** Output of the range for each position, in order. */
  std::vector<std::uint64_t> outputs;
};

/**
 * @brief Copies the KV of a layer range from another server.
 *
 * Any KV of the request for these layers is dropped first. `id.step` is the
 * number of positions that the copy must hold.
 */
struct ImportCall
{
  CallId id;
  ModelId model;
  std::string version;
  /** IP number and port of the server that holds the KV. */
  std::string source;
  /** Id of the request's KV at that server. */
  RequestId sourceRequest;
  std::uint64_t kvDigest{};
};

} // namespace balsampoint::stream

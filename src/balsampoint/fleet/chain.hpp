#pragma once

#include "balsampoint/core/id.hpp"
#include "balsampoint/core/layer_range.hpp"
#include "balsampoint/core/number.hpp"

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace balsampoint::fleet {

/** @brief One server of a chain and the layers that it runs for the request. */
struct Hop
{
  ServerId server;
  Incarnation incarnation;
  /** IP address and port. */
  std::string address;
  LayerRange layers;

  bool operator==(const Hop&) const = default;
};

/**
 * @brief Servers that a request passes through, in order, with the predicted
 * times.
 */
struct Chain
{
  std::vector<Hop> hops;
  /** Tokens for which KV is reserved: the prompt and part of the expected
   * answer. */
  double tokens{};
  /** Tokens of the prompt. */
  double promptTokens{};
  /** Predicted time between two events of the stream, in milliseconds. */
  double eventMs{};
  /** Predicted time to the first event, in milliseconds; includes the wait for
   * the prefill of earlier prompts. */
  double firstEventMs{};

  bool operator==(const Chain&) const = default;
};

/**
 * @brief Whether the hops run every layer exactly once and in order, on
 * distinct servers.
 * @param aHops Hops of a chain.
 * @param aLayers Number of layers of the model.
 */
[[nodiscard]] bool
RunsEveryLayer(std::span<const Hop> aHops, std::uint32_t aLayers);

} // namespace balsampoint::fleet

#pragma once

#include "balsampoint/core/id.hpp"
#include "balsampoint/core/layer_range.hpp"
#include "balsampoint/core/number.hpp"

#include <span>
#include <string>
#include <vector>

namespace balsampoint::route {

/** @brief One backend server running a range of layers for a request. */
struct Stage
{
  ServerId server;
  /** Incarnation of the chosen server; a restart loses its KV. */
  Incarnation incarnation;
  /** IP number and port. */
  std::string address;
  ZoneId zone;
  LayerRange layers;
  /** Speed of the server: layers times tokens per second. */
  double layerTokensPerSecond{};

  bool operator==(const Stage&) const = default;
};

/** @brief Stages in the order of their layers, without gap or overlap. */
using Chain = std::vector<Stage>;

/** @brief A server that is not chosen until it restarts. */
struct ExcludedServer
{
  ServerId server;
  Incarnation incarnation;

  auto operator<=>(const ExcludedServer&) const = default;
};

/**
 * @brief Whether a chain runs each layer of a range exactly once, in order.
 * @param aChain The chain.
 * @param aLayers The range.
 */
[[nodiscard]] bool
Covers(std::span<const Stage> aChain, LayerRange aLayers);

} // namespace balsampoint::route

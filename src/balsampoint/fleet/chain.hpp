#pragma once

#include "balsampoint/core/id.hpp"
#include "balsampoint/core/layer_range.hpp"
#include "balsampoint/core/number.hpp"

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace balsampoint::fleet {

/** @brief One server of a chain and the layers that it runs. */
struct Hop
{
  ServerId server;
  Incarnation born;
  /** IP number and port. */
  std::string address;
  LayerRange layers;

  bool operator==(const Hop&) const = default;
};

/** @brief The servers that a request passes through, in order. */
struct Chain
{
  std::vector<Hop> hops;
  /** Tokens of the request, in its prompt and its expected answer. */
  double tokens{};
  /** Predicted time of one event, in milliseconds. */
  double eventMs{};
  /** Predicted time to the first event, in milliseconds. */
  double firstEventMs{};

  bool operator==(const Chain&) const = default;
};

/**
 * @brief Whether hops run every layer once and in order, on distinct servers.
 * @param aHops The hops.
 * @param aLayers Layers of the model.
 */
[[nodiscard]] bool
RunsEveryLayer(std::span<const Hop> aHops, std::uint32_t aLayers);

} // namespace balsampoint::fleet

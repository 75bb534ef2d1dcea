#pragma once

#include "balsampoint/core/id.hpp"
#include "balsampoint/core/layer_range.hpp"

#include <cstddef>
#include <vector>

namespace balsampoint::route {

/** @brief Servers of one zone that hold the same layers. */
struct Group
{
  ZoneId zone;
  LayerRange layers;
  /** Layers times tokens per second, summed over the servers. */
  double layerTokensPerSecond{};
  /** Indices into the graph's nodes. */
  std::vector<std::size_t> nodes;
};

/** @brief Consecutive layers of a path that one group runs. */
struct Hop
{
  /** Index into the flow's groups. */
  std::size_t group{};
  LayerRange layers;
};

/** @brief A path over all layers for tokens of one entry zone, with its part of
 * the flow. */
struct Path
{
  ZoneId entry;
  std::vector<Hop> hops;
  double tokensPerSecond{};
};

/** @brief The maximum flow of tokens through servers and links. */
struct Flow
{
  std::vector<Group> groups;
  std::vector<Path> paths;
  /** Tokens per second, summed over all paths. */
  double tokensPerSecond{};
  /** Upper bound of the tokens per second that any routing can reach. */
  double bound{};
};

} // namespace balsampoint::route

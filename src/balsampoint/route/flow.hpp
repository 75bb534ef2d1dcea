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
  /** Sum over the servers. */
  double layerTokensPerSecond{};
  /** Indices into the graph's nodes. */
  std::vector<std::size_t> nodes;
};

/** @brief One stage of a way through the groups. */
struct Hop
{
  /** Index into the flow's groups. */
  std::size_t group{};
  LayerRange layers;
};

/** @brief A way of tokens that enter in one zone, and its share. */
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
  /** Tokens a second over all paths. */
  double tokensPerSecond{};
  /** No routing can give more tokens a second. */
  double bound{};
};

} // namespace balsampoint::route

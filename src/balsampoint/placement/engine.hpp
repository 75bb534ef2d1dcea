#pragma once

#include "balsampoint/core/id.hpp"
#include "balsampoint/core/layer_range.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace balsampoint::placement {

/** @brief Input of the placement algorithm for one engine. */
struct Engine
{
  ServerId server;
  ZoneId zone;
  double memoryMb{};
  /** Slowdown of its decode steps against the profile. */
  double stepFactor{ 1.0 };
  /** Layers that it holds or has been ordered to load; absent for none. */
  std::optional<LayerRange> layers;
};

/** @brief Number of layers of a model and the memory that each takes. */
struct ModelSize
{
  std::uint32_t layers{ 1 };
  double layerMb{ 1.0 };
  /** KV of a typical request in one layer, in megabytes. */
  double requestMb{};
};

/** @brief Layer range that each engine is to load. */
using Plan = std::map<ServerId, LayerRange>;

} // namespace balsampoint::placement

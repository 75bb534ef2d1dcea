#pragma once

#include "balsampoint/core/id.hpp"
#include "balsampoint/core/layer_range.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace balsampoint::placement {

/** @brief One engine as placement sees it. */
struct Engine
{
  ServerId server;
  ZoneId zone;
  double memoryMb{};
  /** Multiplies the time of its steps; higher is slower. */
  double stepFactor{ 1.0 };
  /** Layers that it holds or is to hold; absent for none. */
  std::optional<LayerRange> layers;
};

/** @brief What one layer needs. */
struct LayerNeed
{
  std::uint32_t layers{ 1 };
  double layerMb{ 1.0 };
  /** KV of one usual request for one layer, in megabytes. */
  double requestMb{};
};

/** @brief The range that each engine is to hold. */
using Plan = std::map<ServerId, LayerRange>;

} // namespace balsampoint::placement

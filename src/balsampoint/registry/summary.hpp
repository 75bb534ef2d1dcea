#pragma once

#include "balsampoint/core/id.hpp"
#include "balsampoint/core/layer_range.hpp"

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace balsampoint::registry {

/** @brief The ready engines of one zone that hold one stage of a model. */
struct StageSummary
{
  ModelId model;
  std::string version;
  std::set<std::string> adapters;
  LayerRange layers;
  std::uint32_t servers{};
  /** Sum over the servers; so are the fields below. */
  double layerTokensPerSecond{};
  std::uint64_t kvTokensFree{};
  std::uint32_t queuedRequests{};

  bool operator==(const StageSummary&) const = default;
};

/** @brief The ready servers of one zone that run one plain service. */
struct ServiceSummary
{
  ServiceId service;
  std::uint32_t servers{};

  bool operator==(const ServiceSummary&) const = default;
};

/** @brief Summary of a zone's ready servers for other zones. */
struct ZoneSummary
{
  ZoneId zone;
  /** Increases with each summary of the zone. */
  std::uint64_t number{};
  std::vector<StageSummary> stages;
  std::vector<ServiceSummary> services;

  bool operator==(const ZoneSummary&) const = default;
};

} // namespace balsampoint::registry

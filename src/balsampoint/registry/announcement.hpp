#pragma once

#include "balsampoint/core/id.hpp"
#include "balsampoint/core/layer_range.hpp"
#include "balsampoint/core/number.hpp"
#include "balsampoint/core/time.hpp"

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace balsampoint::registry {

/** @brief What a backend server is. */
enum class ServerKind : std::uint8_t
{
  ModelEngine,
  PlainService,
};

/** @brief What a backend server says of itself. */
enum class ServerState : std::uint8_t
{
  Ready,
  /** Finishes what it has and takes no new work. */
  Leaving,
};

/** @brief One model version that an engine holds, whole or in part. */
struct Holding
{
  ModelId model;
  std::string version;
  std::set<std::string> adapters;
  LayerRange layers;
  /** Layers of the whole model. */
  std::uint32_t modelLayers{};

  auto operator<=>(const Holding&) const = default;
};

/** @brief Load as the server reports it; late by its own interval. */
struct Load
{
  std::uint32_t runningRequests{};
  std::uint32_t queuedRequests{};
  std::uint64_t kvTokensUsed{};

  auto operator<=>(const Load&) const = default;
};

/** @brief One announcement, free of its encoding. */
struct Announcement
{
  ServerId server;
  Incarnation incarnation;
  ServerKind kind{ ServerKind::ModelEngine };
  /** IP number and port, `127.0.0.1:9000`. */
  std::string address;
  ZoneId zone;
  std::string acceleratorKind;
  /** Layers times tokens the server runs in a second. */
  double layerTokensPerSecond{};
  std::vector<Holding> holdings;
  /** The service a plain server belongs to; empty for an engine. */
  ServiceId service;
  std::uint64_t kvCapacityTokens{};
  ServerState state{ ServerState::Ready };
  Load load;
  /** Whether the engine refuses orders with an old fencing number. */
  bool checksFencing{ false };

  auto operator<=>(const Announcement&) const = default;
};

} // namespace balsampoint::registry

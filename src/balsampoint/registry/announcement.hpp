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

/** @brief Type of a backend server. */
enum class ServerKind : std::uint8_t
{
  ModelEngine,
  PlainService,
};

/** @brief State that a backend server reports of itself. */
enum class ServerState : std::uint8_t
{
  Ready,
  /** Draining: finishes its requests and accepts no new ones. */
  Leaving,
};

/** @brief One model version of which an engine holds all layers or a range. */
struct Holding
{
  ModelId model;
  std::string version;
  std::set<std::string> adapters;
  LayerRange layers;
  /** Number of layers of the whole model. */
  std::uint32_t modelLayers{};

  auto operator<=>(const Holding&) const = default;
};

/** @brief Load as reported by the server, up to one report interval old. */
struct Load
{
  std::uint32_t runningRequests{};
  std::uint32_t queuedRequests{};
  std::uint64_t kvTokensUsed{};

  auto operator<=>(const Load&) const = default;
};

/** @brief One announcement of a backend server, independent of its encoding. */
struct Announcement
{
  ServerId server;
  Incarnation incarnation;
  ServerKind kind{ ServerKind::ModelEngine };
  /** IP address and port, such as `127.0.0.1:9000`. */
  std::string address;
  ZoneId zone;
  std::string acceleratorKind;
  /** Throughput of the server in layers times tokens per second. */
  double layerTokensPerSecond{};
  std::vector<Holding> holdings;
  /** Service that a plain server belongs to; empty for an engine. */
  ServiceId service;
  std::uint64_t kvCapacityTokens{};
  ServerState state{ ServerState::Ready };
  Load load;
  /** Whether the engine refuses orders with an old fencing number. */
  bool checksFencing{ false };

  auto operator<=>(const Announcement&) const = default;
};

} // namespace balsampoint::registry

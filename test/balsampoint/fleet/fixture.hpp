#pragma once

#include "balsampoint/fleet/command/follow_roster.hpp"

#include <chrono>
#include <string>
#include <utility>
#include <vector>

namespace balsampoint::test {

/**
 * @brief Configuration of a model with eight layers, on engines with memory
 * for layers and KV.
 */
[[nodiscard]] inline routing::Document
SmallModel()
{
  routing::EngineProfile engine;
  engine.layers = 8;
  engine.layerMb = 10.0;
  engine.kvBytesPerToken = 8000.0;
  engine.slots = 8;
  engine.tokensPerPass = 4;
  engine.stepMs = 1.0;
  engine.perWriterMs = 0.1;
  engine.readTokensPerSecond = 100000.0;
  engine.readChunk = 512;
  engine.meanPromptTokens = 100.0;
  engine.meanAnswerTokens = 40.0;
  engine.kinds = { { "fast", { .memoryMb = 100.0 } },
                   { "slow", { .memoryMb = 100.0, .stepFactor = 4.0 } } };
  routing::Document document;
  const ServiceId service{ "verse" };
  document.services[service] = { .id = service, .engine = engine };
  // Requests of two priorities compete for the engines.
  for (const std::uint32_t priority : { 0U, 1U }) {
    document.routes.push_back({ .name = "r" + std::to_string(priority),
                                .priority = priority,
                                .targets = { { service, 1 } } });
  }
  return document;
}

/**
 * @brief Makes an engine that holds some layers.
 * @param aName Its id, and the host part of its address.
 * @param aZone Its availability zone.
 * @param aLayers Layers that it holds.
 * @param aKind Its accelerator type.
 */
[[nodiscard]] inline roster::Server
MakeEngine(const std::string& aName,
           const std::string& aZone,
           LayerRange aLayers,
           const std::string& aKind = "fast")
{
  return { .claim = { .server = ServerId{ aName },
                      .stamp = { Incarnation{ 1 }, 0 },
                      .description = { .service = ServiceId{ "verse" },
                                       .address = aName + ":80",
                                       .zone = ZoneId{ aZone },
                                       .accelerator = aKind,
                                       .layers = aLayers,
                                       .slots = 8 } } };
}

/**
 * @brief State of a host in zone `a`, with engines that run the small model.
 * @param aServers Engines of the fleet.
 */
[[nodiscard]] inline fleet::State
MakeFleet(std::vector<roster::Server> aServers)
{
  fleet::State state{ .settings = { .zone = ZoneId{ "a" } } };
  fleet::FollowRoster(state, { .servers = std::move(aServers) }, SmallModel());
  return state;
}

} // namespace balsampoint::test

#pragma once

#include "balsampoint/fleet/command/follow_roster.hpp"

#include <chrono>
#include <string>
#include <utility>
#include <vector>

namespace balsampoint::test {

/** @brief A small model of eight layers on engines with room for KV. */
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
  engine.meanPromptTokens = 100.0;
  engine.meanAnswerTokens = 40.0;
  engine.kinds = { { "fast", { .memoryMb = 100.0 } },
                   { "slow", { .memoryMb = 100.0, .stepFactor = 4.0 } } };
  routing::Document document;
  const ServiceId service{ "verse" };
  document.services[service] = { .id = service, .engine = engine };
  return document;
}

/**
 * @brief An engine that holds layers.
 * @param aName Its id and address.
 * @param aZone Its zone.
 * @param aLayers The layers.
 * @param aKind Its accelerator.
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
 * @brief What a host of zone a knows of a fleet that runs the small model.
 * @param aServers The engines.
 */
[[nodiscard]] inline fleet::State
MakeFleet(std::vector<roster::Server> aServers)
{
  fleet::State state{ .settings = { .zone = ZoneId{ "a" } } };
  fleet::FollowRoster(state, { .servers = std::move(aServers) }, SmallModel());
  return state;
}

} // namespace balsampoint::test

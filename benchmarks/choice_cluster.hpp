#pragma once

#include "balsampoint/fleet/command/follow_roster.hpp"
#include "balsampoint/placement/query/plan_all.hpp"

#include <string>
#include <utility>
#include <vector>

namespace balsampoint::bench {

inline const ServiceId kModel{ "model" };

/**
 * @brief Profile of the engines of the larger deployment. Memory, layers and
 * the sizes of requests are those of its page; the speeds are such that it
 * serves about 300 requests per second.
 */
inline routing::EngineProfile
LargeProfile()
{
  routing::EngineProfile engine;
  engine.layers = 80;
  engine.layerMb = 1750.0;
  engine.kvBytesPerToken = 590000.0;
  engine.slots = 192;
  engine.tokensPerPass = 5;
  engine.stepMs = 2.5;
  engine.perWriterMs = 0.025;
  engine.readTokensPerSecond = 16000.0;
  engine.readChunk = 512;
  engine.meanPromptTokens = 760.0;
  engine.meanAnswerTokens = 225.0;
  engine.kinds = {
    { "a100", { .memoryMb = 72000.0, .stepFactor = 1.0, .readFactor = 1.0 } },
    { "l40s", { .memoryMb = 43000.0, .stepFactor = 2.2, .readFactor = 1.6 } },
    { "l4", { .memoryMb = 21500.0, .stepFactor = 4.0, .readFactor = 3.2 } }
  };
  return engine;
}

/** @brief Zone of an engine or host by its number. */
inline ZoneId
ZoneOf(std::size_t aNumber)
{
  return ZoneId{ "zone-" + std::to_string(aNumber % 3) };
}

/**
 * @brief Engines of the larger deployment, dealt out over three zones, with
 * the layers that placement gives them.
 */
inline roster::View
LargeRoster(const routing::EngineProfile& aProfile)
{
  roster::View view;
  std::vector<placement::Engine> engines;
  const std::pair<const char*, int> counts[] = { { "a100", 8 },
                                                 { "l40s", 30 },
                                                 { "l4", 48 } };
  for (const auto& [kind, count] : counts) {
    for (int at = 0; at < count; ++at) {
      const auto number = view.servers.size();
      const auto name = std::string{ kind } + "-" + std::to_string(100 + at);
      view.servers.push_back(
        { .claim = { .server = ServerId{ name },
                     .stamp = { Incarnation{ 1 }, 0 },
                     .description = { .service = kModel,
                                      .address = name + ":80",
                                      .zone = ZoneOf(number),
                                      .accelerator = kind,
                                      .slots = aProfile.slots } } });
      const auto& properties = aProfile.kinds.at(kind);
      engines.push_back({ .server = ServerId{ name },
                          .zone = ZoneOf(number),
                          .memoryMb = properties.memoryMb,
                          .stepFactor = properties.stepFactor });
    }
  }
  constexpr double kBytesPerMb = 1e6;
  const auto tokens = aProfile.meanPromptTokens + aProfile.meanAnswerTokens / 2;
  const auto plan =
    placement::PlanAll(engines,
                       { .layers = aProfile.layers,
                         .layerMb = aProfile.layerMb,
                         .requestMb = tokens * aProfile.kvBytesPerToken /
                                      aProfile.layers / kBytesPerMb });
  for (auto& server : view.servers) {
    const auto layers = plan.find(server.claim.server);
    if (layers != plan.end()) {
      server.claim.description.layers = layers->second;
    }
  }
  return view;
}

/** @brief State of one entry host that knows these engines. */
inline fleet::State
MakeHost(const routing::EngineProfile& aProfile,
         const roster::View& aRoster,
         std::size_t aNumber)
{
  routing::Document document;
  document.services[kModel] = { .id = kModel, .engine = aProfile };
  for (const std::uint32_t priority : { 0U, 1U }) {
    document.routes.push_back(
      { .priority = priority, .targets = { { kModel, 1 } } });
  }
  fleet::State state{ .settings = { .zone = ZoneOf(aNumber) } };
  fleet::FollowRoster(state, aRoster, document);
  return state;
}

} // namespace balsampoint::bench

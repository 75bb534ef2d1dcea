#include "balsampoint/fleet/query/predict_first_event.hpp"

#include "balsampoint/fleet/internal/cost.hpp"

#include <chrono>
#include <ranges>

namespace balsampoint::fleet {

Duration
PredictFirstEvent(const State& aState,
                  const ServiceId& aService,
                  double aPromptTokens)
{
  const auto group = aState.groups.find(aService);
  if (group == aState.groups.end()) {
    return {};
  }
  const auto& engine = group->second.engine;
  if (!engine) {
    return {};
  }
  double servers = 0.0;
  double sumMs = 0.0;
  for (const auto& server : std::views::values(group->second.servers)) {
    if (!server.ready || !server.claim.description.layers) {
      continue;
    }
    servers += 1.0;
    sumMs +=
      internal::ReadMs(
        *engine, server.readFactor, engine->layers, aPromptTokens) +
      internal::PassMs(
        *engine, server.stepFactor, engine->layers, server.Passing() + 1.0);
  }
  const std::chrono::duration<double, std::milli> mean{ servers > 0.0
                                                          ? sumMs / servers
                                                          : 0.0 };
  return std::chrono::duration_cast<Duration>(mean);
}

} // namespace balsampoint::fleet

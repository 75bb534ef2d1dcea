#include "balsampoint/fleet/query/kv_tokens.hpp"

#include <algorithm>
#include <ranges>

namespace balsampoint::fleet {

double
KvTokens(const State& aState, const ServiceId& aService)
{
  const auto group = aState.groups.find(aService);
  if (group == aState.groups.end()) {
    return 0.0;
  }
  const auto& engine = group->second.engine;
  if (!engine) {
    return 0.0;
  }
  double sum = 0.0;
  for (const auto& server : std::views::values(group->second.servers)) {
    sum += server.ready ? server.kvCapacity : 0.0;
  }
  return sum / std::max(1U, engine->layers);
}

} // namespace balsampoint::fleet

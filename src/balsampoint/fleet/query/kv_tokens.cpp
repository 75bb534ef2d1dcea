#include "balsampoint/fleet/query/kv_tokens.hpp"

#include <algorithm>

namespace balsampoint::fleet {

double
KvTokens(const State& aState, const ServiceId& aService)
{
  const auto group = aState.groups.find(aService);
  if (group == aState.groups.end() || !group->second.engine) {
    return 0.0;
  }
  double sum = 0.0;
  for (const auto& [id, server] : group->second.servers) {
    sum += server.ready ? server.kvCapacity : 0.0;
  }
  return sum / std::max(1U, group->second.engine->layers);
}

} // namespace balsampoint::fleet

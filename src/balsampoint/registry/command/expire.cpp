#include "balsampoint/registry/command/expire.hpp"

namespace balsampoint::registry {

void
Expire(State& aState, Instant aNow)
{
  for (auto at = aState.records.begin(); at != aState.records.end();) {
    auto& record = at->second;
    if (record.expiry > aNow) {
      ++at;
      continue;
    }
    if (!record.live) {
      at = aState.records.erase(at);
      continue;
    }
    record.live = false;
    record.expiry = aNow + aState.settings.memory;
    ++record.stamp.version;
    aState.publishAt = aNow;
    ++at;
  }
}

} // namespace balsampoint::registry

#include "balsampoint/registry/query/next_deadline.hpp"

#include <algorithm>

namespace balsampoint::registry {

Instant
NextDeadline(const State& aState)
{
  auto next = aState.publishAt;
  for (const auto& [id, record] : aState.records) {
    next = std::min(next, record.expiry);
  }
  return next;
}

} // namespace balsampoint::registry

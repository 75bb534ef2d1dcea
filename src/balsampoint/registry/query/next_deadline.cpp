#include "balsampoint/registry/query/next_deadline.hpp"

#include <algorithm>

namespace balsampoint::registry {

Instant
NextDeadline(const State& aState)
{
  const auto& outbox = aState.outbox;
  auto next = std::min(
    { aState.publishAt, outbox.deltaAt, outbox.loadAt, outbox.renewalAt });
  if (!aState.zoneHosts.empty()) {
    next = std::min(next, outbox.digestAt);
  }
  if (!aState.remoteHosts.empty()) {
    next = std::min(next, outbox.summaryAt);
  }
  for (const auto& [id, record] : aState.records) {
    next = std::min(next, record.expiry);
  }
  for (const auto& [zone, known] : aState.summaries) {
    next = std::min(next, known.expiry);
  }
  return next;
}

} // namespace balsampoint::registry

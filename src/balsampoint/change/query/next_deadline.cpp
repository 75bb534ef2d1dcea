#include "balsampoint/change/query/next_deadline.hpp"

#include <algorithm>

namespace balsampoint::change {

Instant
NextDeadline(const State& aState)
{
  auto next = kNever;
  for (const auto& [ticket, pending] : aState.pending) {
    next = std::min({ next, pending.deadline, pending.retryAt });
  }
  return next;
}

} // namespace balsampoint::change

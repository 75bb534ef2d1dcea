#include "balsampoint/orders/query/next_deadline.hpp"

#include <algorithm>

namespace balsampoint::orders {

namespace {

Instant
LeaseDeadline(const State& aState, const Lease& aLease)
{
  const bool leaving = !aState.candidate || aLease.releasing;
  auto next = std::min(aLease.end, leaving ? kNever : aLease.renewAt);
  if (leaving && aState.open.empty()) {
    next =
      std::min(next, aState.proposeAt == kNever ? Instant{} : aState.proposeAt);
  }
  return std::min(next, aState.sendAt);
}

} // namespace

Instant
NextDeadline(const State& aState)
{
  auto next = kNever;
  if (aState.changedAt == kNever) {
    return Instant{};
  }
  for (const auto& [id, order] : aState.open) {
    next = std::min(next, order.deadline);
  }
  if (aState.lease.Held()) {
    return std::min(next, LeaseDeadline(aState, aState.lease));
  }
  if (!aState.candidate) {
    return next;
  }
  return aState.proposeAt == kNever ? Instant{}
                                    : std::min(next, aState.proposeAt);
}

} // namespace balsampoint::orders

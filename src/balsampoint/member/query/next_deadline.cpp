#include "balsampoint/member/query/next_deadline.hpp"

#include "balsampoint/member/internal/peers.hpp"

#include <algorithm>

namespace balsampoint::member {

Instant
NextDeadline(const State& aState)
{
  auto next = std::min(
    { aState.probeAt, aState.joinAt, aState.digestAt, aState.broadcastAt });
  next = std::min(next, aState.probe.deadline);
  for (const auto& [id, peer] : aState.peers) {
    if (peer.host.state != HostState::Alive) {
      next = std::min(next, internal::StateDeadline(aState, peer));
    }
  }
  return next;
}

} // namespace balsampoint::member

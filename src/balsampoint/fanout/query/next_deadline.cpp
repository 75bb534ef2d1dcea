#include "balsampoint/fanout/query/next_deadline.hpp"

#include <algorithm>

namespace balsampoint::fanout {

Instant
NextDeadline(const State& aState)
{
  return std::min({ aState.startDeadline,
                    aState.nextJoin,
                    aState.nextHeartbeat,
                    aState.newer.fetchAt });
}

} // namespace balsampoint::fanout

#include "balsampoint/consensus/query/next_deadline.hpp"

#include <algorithm>

namespace balsampoint::consensus {

Instant
NextDeadline(const State& aState)
{
  return std::min({ aState.electionDeadline,
                    aState.heartbeatDeadline,
                    aState.handOverDeadline,
                    aState.storageRetryAt });
}

} // namespace balsampoint::consensus

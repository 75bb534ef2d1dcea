#pragma once

#include "balsampoint/member/action.hpp"
#include "balsampoint/member/state.hpp"

#include <span>
#include <vector>

namespace balsampoint::member::internal {

/**
 * @brief Takes in what another host holds of one host.
 *
 * A doubt about this host is refuted. Another host that is alive here is never
 * marked dead at once: it becomes suspect, is told so, and can refute.
 * @param aState The membership.
 * @param aNews The entry.
 * @param aNow The time.
 * @param aActions Receives what is to be sent.
 * @return Whether the entry was news.
 */
bool
Merge(State& aState,
      const Host& aNews,
      Instant aNow,
      std::vector<Action>& aActions);

/**
 * @brief Marks a peer and lets that spread.
 * @param aState The membership.
 * @param aPeer The peer.
 * @param aMark The new state.
 * @param aNow The time.
 */
void
Mark(State& aState, Peer& aPeer, HostState aMark, Instant aNow);

} // namespace balsampoint::member::internal

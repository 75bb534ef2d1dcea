#pragma once

#include "balsampoint/member/action.hpp"
#include "balsampoint/member/state.hpp"

#include <span>
#include <vector>

namespace balsampoint::member::internal {

/**
 * @brief Merges an entry received from another host.
 *
 * An entry that says this host is not alive is refuted. A host that is alive in
 * the own list is not marked dead at once: it becomes suspect and is notified,
 * so that it can refute.
 * @param aState State of the module.
 * @param aUpdate The entry.
 * @param aNow Current time.
 * @param aActions Receives the messages.
 * @return Whether the entry replaced the stored one or was new.
 */
bool
Merge(State& aState,
      const Host& aUpdate,
      Instant aNow,
      std::vector<Action>& aActions);

/**
 * @brief Sets the state of a peer and schedules the change to be spread.
 * @param aState State of the module.
 * @param aPeer The peer.
 * @param aMark The new state.
 * @param aNow Current time.
 */
void
Mark(State& aState, Peer& aPeer, HostState aMark, Instant aNow);

} // namespace balsampoint::member::internal

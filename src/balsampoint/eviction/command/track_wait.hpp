#pragma once

#include "balsampoint/eviction/state.hpp"

namespace balsampoint::eviction {

/**
 * @brief Notes that a connection no longer waits, or is closed.
 * @param aState State of the listener.
 * @param aConnection The connection; it need not have waited.
 */
template<std::totally_ordered Connection>
void
EndWait(State<Connection>& aState, const Connection& aConnection)
{
  const auto found = aState.turns.find(aConnection);
  if (found == aState.turns.end()) {
    return;
  }
  aState.order.erase(found->second);
  aState.turns.erase(found);
}

/**
 * @brief Notes that a connection begins to wait for the head of a request.
 * @param aState State of the listener.
 * @param aConnection The connection.
 */
template<std::totally_ordered Connection>
void
BeginWait(State<Connection>& aState, const Connection& aConnection)
{
  EndWait(aState, aConnection);
  const auto turn = aState.nextTurn++;
  aState.order.emplace(turn, aConnection);
  aState.turns.emplace(aConnection, turn);
}

} // namespace balsampoint::eviction

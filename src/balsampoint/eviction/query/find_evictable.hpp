#pragma once

#include "balsampoint/eviction/state.hpp"

#include <optional>

namespace balsampoint::eviction {

/**
 * @brief The connection to close for a new one: that which has waited longest
 * for the head of a request. Whether it has carried one before makes no
 * difference: a new connection has not, and would be closed before its first.
 * @param aState State of the listener.
 * @return Nothing if none waits.
 */
template<std::totally_ordered Connection>
[[nodiscard]] std::optional<Connection>
FindEvictable(const State<Connection>& aState)
{
  if (aState.order.empty()) {
    return std::nullopt;
  }
  return aState.order.begin()->second;
}

} // namespace balsampoint::eviction

#pragma once

#include <concepts>

/**
 * @brief Decides which connection is closed for a new one when a listener has
 * as many as it may.
 */
namespace balsampoint::eviction {

template<std::totally_ordered Connection>
struct State;

} // namespace balsampoint::eviction

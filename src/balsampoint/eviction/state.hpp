#pragma once

#include <concepts>
#include <cstdint>
#include <map>

namespace balsampoint::eviction {

/**
 * @brief The connections of one listener that wait for the head of a request.
 * @tparam Connection Identifies a connection.
 */
template<std::totally_ordered Connection>
struct State
{
  /** By the order in which they began to wait. */
  std::map<std::uint64_t, Connection> order;
  std::map<Connection, std::uint64_t> turns;
  std::uint64_t nextTurn{};
};

} // namespace balsampoint::eviction

#pragma once

#include "balsampoint/core/id.hpp"

#include <cstdint>
#include <variant>
#include <vector>

namespace balsampoint::usage {

/** @brief Work in progress on one server. */
struct ServerUse
{
  ServerId server;
  /** Requests that pass through it. */
  std::uint32_t passing{};
  /** Requests that were sent to it. */
  std::uint32_t sent{};
  /** KV of these requests, in tokens times layers. */
  double kv{};

  bool operator==(const ServerUse&) const = default;
};

/** @brief Work in progress that the sender has on servers. */
struct OwnUse
{
  std::vector<ServerUse> servers;

  bool operator==(const OwnUse&) const = default;
};

/** @brief Work in progress of all entry hosts but the receiver. */
struct OthersUse
{
  std::vector<ServerUse> servers;
  /** Entry hosts that were summed up. */
  std::uint32_t hosts{};

  bool operator==(const OthersUse&) const = default;
};

/** @brief What hosts tell each other about work in progress. */
using Message = std::variant<OwnUse, OthersUse>;

} // namespace balsampoint::usage

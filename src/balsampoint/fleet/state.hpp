#pragma once

#include "balsampoint/core/id.hpp"
#include "balsampoint/core/number.hpp"
#include "balsampoint/core/split_mix.hpp"
#include "balsampoint/core/time.hpp"
#include "balsampoint/fleet/chain.hpp"
#include "balsampoint/roster/claim.hpp"
#include "balsampoint/routing/document.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace balsampoint::fleet {

/** @brief Weights of the choice of servers. */
struct Settings
{
  ZoneId zone;
  /** Hosts that are thought to use the same servers in the same way. */
  double hosts{ 1.0 };
  /** Added to the time of an event for each change of zone, in ms. */
  double zoneChangeMs{ 4.0 };
  /** Added to the time of an event for each server, in ms. */
  double hopMs{ 0.6 };
  /** Part of a server's KV that is given out at most. */
  double kvShare{ 0.95 };
  /** How long a server at fault is left out; doubles with each fault. */
  Duration firstAvoidance{ std::chrono::milliseconds{ 500 } };
  Duration longestAvoidance{ std::chrono::seconds{ 8 } };
  /** How long a server without room is left out. */
  Duration fullAvoidance{ std::chrono::milliseconds{ 150 } };
  /** Weight of the newest outcome in a server's rate of failures. */
  double failureWeight{ 0.15 };
};

/** @brief One server and this thread's work on it. */
struct Server
{
  roster::Claim claim;
  /** Whether new work may go to it. */
  bool ready{ false };
  /** Multiplies the time of steps; 1 for plain servers. */
  double stepFactor{ 1.0 };
  double readFactor{ 1.0 };
  /** KV that fits beside its layers, in tokens times layers. */
  double kvRoom{};
  /** Own requests that pass through it. */
  std::uint32_t passing{};
  /** Own requests sent to it. */
  std::uint32_t sent{};
  /** KV of own requests, in tokens times layers. */
  double kvUsed{};
  /** Part of the newest requests that failed. */
  double failureRate{};
  /** Faults without a good answer in between. */
  std::uint32_t faults{};
  Instant avoidUntil{ Instant::min() };
};

/** @brief Servers of one service. */
struct Group
{
  std::optional<routing::EngineProfile> engine;
  std::map<ServerId, Server> servers;
};

/** @brief The servers of all services; owned by one traffic thread. */
struct State
{
  Settings settings;
  std::map<ServiceId, Group> groups;
  SplitMix64 random;
};

} // namespace balsampoint::fleet

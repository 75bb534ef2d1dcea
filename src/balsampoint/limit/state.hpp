#pragma once

#include "balsampoint/core/error.hpp"
#include "balsampoint/core/id.hpp"
#include "balsampoint/core/number.hpp"
#include "balsampoint/core/time.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <utility>
#include <variant>
#include <vector>

namespace balsampoint::limit {

/** @brief Settings of the module on one host. */
struct Settings
{
  /** Maximum number of running requests. */
  std::uint32_t slots{ 64 };
  /** Maximum number of waiting requests of all workspaces together. */
  std::size_t maxWaiting{ 1024 };
  /** Maximum number of waiting requests of one workspace. */
  std::size_t maxWaitingPerWorkspace{ 256 };
  /** Initial estimate of how long a request holds its slot. */
  Duration initialHoldTime{ std::chrono::milliseconds{ 500 } };
  /** Number of live hosts among which workspace limits are divided. */
  std::uint32_t hosts{ 1 };
};

/** @brief Weight, priority and limits of a workspace in the configuration. */
struct WorkspaceRule
{
  double weight{ 1.0 };
  /** Lower is served first. */
  std::uint32_t priority{};
  /** Limit over all hosts together; zero for none. */
  double requestsPerSecond{};
  /** Limit over all hosts together; zero for none. */
  std::uint32_t concurrentRequests{};
};

/** @brief A new request asks for admission. */
struct Arrived
{
  Ticket ticket;
  WorkspaceId workspace;
  /** Most KV positions it may need; zero for a call to a plain service. */
  std::uint64_t kvTokens{};
  Instant deadline{ kNever };
  /** Predicted time from admission to the first part of the answer. */
  Duration predictedFirstOutput{};
};

/** @brief A running request ended, or a waiting one was cancelled. */
struct Ended
{
  Ticket ticket;
};

/** @brief A configuration came into force. */
struct Configured
{
  std::map<WorkspaceId, WorkspaceRule> workspaces;
};

/** @brief The reported KV capacity and use of the live engines changed. */
struct CapacityChanged
{
  std::uint64_t kvCapacity{};
  std::uint64_t kvUsed{};
};

/** @brief The number of live hosts that share the limits changed. */
struct HostsChanged
{
  std::uint32_t hosts{ 1 };
};

/** @brief Event that the module handles. */
using Event =
  std::variant<Arrived, Ended, Configured, CapacityChanged, HostsChanged>;

/** @brief The request may start. */
struct Admitted
{
  Ticket ticket;
};

/** @brief The request is refused; no part of it was executed. */
struct Refused
{
  Ticket ticket;
  Error error;
};

/** @brief Action that the daemon executes for the module. */
using Action = std::variant<Admitted, Refused>;

/** @brief State of one workspace on this host. */
struct WorkspaceState
{
  WorkspaceRule rule;
  std::deque<Arrived> waiting;
  std::uint32_t running{};
  /** Virtual time of the fair queue: advances by 1 / weight with each admitted
   * request. */
  double virtualTime{};
  /** Tokens in the bucket of the rate limit. */
  double rateTokens{};
  /** Time at which `rateTokens` was last refilled. */
  Instant rateCountedAt{};
};

/** @brief An admitted request that has not ended. */
struct RunningRequest
{
  WorkspaceId workspace;
  std::uint64_t kvTokens{};
  Instant since{};
};

/** @brief State of one host; the control thread owns it. */
struct State
{
  Settings settings;
  std::map<WorkspaceId, WorkspaceState> workspaces;
  std::map<Ticket, RunningRequest> running;
  /** Workspace of each waiting request. */
  std::map<Ticket, WorkspaceId> waiting;
  /** Latest admission time of each waiting request. */
  std::set<std::pair<Instant, Ticket>> timers;
  /** Virtual time at which the last request was admitted. */
  double virtualTime{};
  /** Moving average of how long a request holds its slot. */
  Duration meanHoldTime{};
  /** KV positions that the running requests of this host may need. */
  std::uint64_t kvReserved{};
  std::uint64_t kvCapacity{};
  /** KV positions reported as used together with `kvCapacity`. */
  std::uint64_t kvUsed{};
};

} // namespace balsampoint::limit

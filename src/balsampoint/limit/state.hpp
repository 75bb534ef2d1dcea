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

/** @brief Fixed values of one host. */
struct Settings
{
  /** Requests in progress at most. */
  std::uint32_t slots{ 64 };
  /** Requests that wait at most, of all workspaces together. */
  std::size_t queue{ 1024 };
  /** Requests of one workspace that wait at most. */
  std::size_t workspaceQueue{ 256 };
  /** First guess of how long a request holds its slot. */
  Duration firstHold{ std::chrono::milliseconds{ 500 } };
  /** Hosts that a limit is divided by while no share is leased. */
  std::uint32_t hosts{ 1 };
};

/** @brief What the configuration says of a workspace. */
struct WorkspaceRule
{
  double weight{ 1.0 };
  /** Lower is served first. */
  std::uint32_t priority{};
  /** Limit over all hosts; zero for none. */
  double requestsPerSecond{};
  /** Limit over all hosts; zero for none. */
  std::uint32_t concurrentRequests{};
};

/** @brief A request that wants to be admitted. */
struct Arrived
{
  Ticket ticket;
  WorkspaceId workspace;
  /** KV positions it may come to need; zero for a plain call. */
  std::uint64_t kvTokens{};
  Instant deadline{ kNever };
  /** Time from admission to what the caller waits for first. */
  Duration predictedFirst{};
};

/** @brief An admitted request ended, or a waiting one was given up. */
struct Ended
{
  Ticket ticket;
};

/** @brief A configuration came into force. */
struct Configured
{
  std::map<WorkspaceId, WorkspaceRule> workspaces;
};

/** @brief The KV of the live engines, as reported. */
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

/** @brief What may happen to the module. */
using Event =
  std::variant<Arrived, Ended, Configured, CapacityChanged, HostsChanged>;

/** @brief The request may start. */
struct Admitted
{
  Ticket ticket;
};

/** @brief The request is refused; nothing of it has run. */
struct Refused
{
  Ticket ticket;
  Error error;
};

/** @brief What the daemon has to do for the module. */
using Action = std::variant<Admitted, Refused>;

/** @brief One workspace on this host. */
struct WorkspaceState
{
  WorkspaceRule rule;
  std::deque<Arrived> waiting;
  std::uint32_t running{};
  /** Work admitted so far over the weight; the fair queue's virtual time. */
  double virtualTime{};
  /** Requests that its rate still allows, and when that was counted. */
  double rateTokens{};
  Instant rateCountedAt{};
};

/** @brief A request in progress. */
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
  /** When each waiting request can no longer be served in time. */
  std::set<std::pair<Instant, Ticket>> timers;
  /** Virtual time of the request admitted last. */
  double virtualTime{};
  /** Mean time that a request holds its slot. */
  Duration hold{};
  std::uint64_t kvRunning{};
  std::uint64_t kvCapacity{};
  /** KV reported as used when the capacity was told. */
  std::uint64_t kvUsed{};
};

} // namespace balsampoint::limit

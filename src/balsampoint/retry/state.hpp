#pragma once

#include "balsampoint/core/error.hpp"
#include "balsampoint/core/id.hpp"
#include "balsampoint/core/number.hpp"
#include "balsampoint/registry/view.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <variant>
#include <vector>

namespace balsampoint::retry {

/** @brief Fixed values of one host. */
struct Settings
{
  ZoneId zone;
  /** Retries that each success pays for. */
  double budgetPerSuccess{ 0.1 };
  /** Retries that a workspace can save up. */
  double budgetLimit{ 10.0 };
  /** Base of the pause before a retry; the pause is random below its bound. */
  Duration firstPause{ std::chrono::milliseconds{ 25 } };
  Duration longestPause{ std::chrono::seconds{ 1 } };
  /** Failures in a row after which a server is ejected. */
  std::uint32_t ejectAfter{ 5 };
  /** Length of the first ejection; each further one is longer by this. */
  Duration ejection{ std::chrono::seconds{ 5 } };
  Duration longestEjection{ std::chrono::minutes{ 1 } };
  /** Part of a service's servers that may be ejected at a time. */
  double ejectionCeiling{ 0.34 };
  /** Time in which a returning server's share grows to the full one. */
  Duration slowStart{ std::chrono::seconds{ 10 } };
  /** Share of a server that has just returned. */
  double slowStartShare{ 0.1 };
};

/** @brief What one workspace may still retry. */
struct Budget
{
  double tokens{};
};

/** @brief What this host knows of a server from its own calls. */
struct ServerHealth
{
  Incarnation incarnation;
  std::uint32_t inFlight{};
  std::uint32_t failuresInARow{};
  std::uint32_t ejections{};
  Instant ejectedUntil{ Instant::min() };
  /** Since when it is in use, for the slow start. */
  Instant inUseSince{ Instant::min() };
};

/** @brief A traffic thread wants a server for an attempt. */
struct AttemptWanted
{
  Ticket ticket;
  WorkspaceId workspace;
  ServiceId service;
  /** Attempts made before this one. */
  std::uint32_t attempts{};
  Instant deadline{};
  /** Servers that have failed this call. */
  std::vector<ServerId> failed;
};

/** @brief How an attempt ended. */
enum class AttemptResult : std::uint8_t
{
  /** The server answered, with a status below 500. */
  Answered,
  /** The server answered with a status of 500 or more. */
  ServerError,
  /** No byte of the call can have left this host. */
  NotSent,
  /** The call was lost after a byte may have left. */
  Broken,
};

/** @brief An attempt that was granted has ended. */
struct AttemptEnded
{
  ServerId server;
  Incarnation incarnation;
  WorkspaceId workspace;
  AttemptResult result{};
};

/** @brief The live servers changed. */
struct ServersChanged
{
  std::shared_ptr<const registry::View> view;
};

/** @brief What may happen to the module. */
using Event = std::variant<AttemptWanted, AttemptEnded, ServersChanged>;

/** @brief The server for an attempt. */
struct AttemptGranted
{
  Ticket ticket;
  ServerId server;
  Incarnation incarnation;
  /** IP number and port. */
  std::string address;
};

/** @brief There is no further attempt. */
struct AttemptRefused
{
  Ticket ticket;
  Error error;
};

/** @brief What the daemon has to do for the module. */
using Action = std::variant<AttemptGranted, AttemptRefused>;

/** @brief State of one host; the control thread owns it. */
struct State
{
  Settings settings;
  std::shared_ptr<const registry::View> view;
  std::map<ServerId, ServerHealth> health;
  std::map<WorkspaceId, Budget> budgets;
  /** Retries that wait for their pause to end. */
  std::multimap<Instant, AttemptWanted> paused;
  /** State of the generator of pauses and choices. */
  std::uint64_t random{};
};

} // namespace balsampoint::retry

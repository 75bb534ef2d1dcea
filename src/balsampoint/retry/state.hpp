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

/** @brief Settings of the module on one host. */
struct Settings
{
  ZoneId zone;
  /** Retry tokens that each success adds to the workspace's budget. */
  double budgetPerSuccess{ 0.1 };
  /** Maximum, and initial, retry tokens of a workspace. */
  double budgetLimit{ 10.0 };
  /** Bound of the random backoff before the first retry; doubles with each
   * further one. */
  Duration initialBackoff{ std::chrono::milliseconds{ 25 } };
  /** Maximum of that bound. */
  Duration maxBackoff{ std::chrono::seconds{ 1 } };
  /** Consecutive failures after which a server is ejected. */
  std::uint32_t ejectionThreshold{ 5 };
  /** Duration of the first ejection; each further one is longer by this. */
  Duration ejectionTime{ std::chrono::seconds{ 5 } };
  Duration maxEjectionTime{ std::chrono::minutes{ 1 } };
  /** Fraction of a service's ready servers that may be ejected at a time; one
   * server may be in any case if the service has more than one. */
  double maxEjectedShare{ 0.34 };
  /** Time in which the share of a new or returning server grows to 1. */
  Duration slowStart{ std::chrono::seconds{ 10 } };
  /** Share at the begin of a slow start, relative to the full one. */
  double slowStartShare{ 0.1 };
};

/** @brief Retry budget of one workspace; a retry costs one token. */
struct Budget
{
  double tokens{};
};

/** @brief Health of a server, as observed by this host's own calls. */
struct ServerHealth
{
  Incarnation incarnation;
  std::uint32_t inFlight{};
  std::uint32_t consecutiveFailures{};
  std::uint32_t ejections{};
  Instant ejectedUntil{ Instant::min() };
  /** Start of the slow start; `Instant::min()` for none. */
  Instant inUseSince{ Instant::min() };
};

/** @brief A traffic thread requests a server for an attempt. */
struct AttemptRequested
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
  /** The call failed after a byte of it may have been sent. */
  Broken,
};

/** @brief A granted attempt has ended. */
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

/** @brief Event that the module handles. */
using Event = std::variant<AttemptRequested, AttemptEnded, ServersChanged>;

/** @brief An attempt may be made, at the given server. */
struct AttemptGranted
{
  Ticket ticket;
  ServerId server;
  Incarnation incarnation;
  /** IP number and port. */
  std::string address;
};

/** @brief No further attempt may be made. */
struct AttemptRefused
{
  Ticket ticket;
  Error error;
};

/** @brief Action that the daemon executes for the module. */
using Action = std::variant<AttemptGranted, AttemptRefused>;

/** @brief State of one host; the control thread owns it. */
struct State
{
  Settings settings;
  std::shared_ptr<const registry::View> view;
  std::map<ServerId, ServerHealth> health;
  std::map<WorkspaceId, Budget> budgets;
  /** Retries in backoff, by the time at which it ends. */
  std::multimap<Instant, AttemptRequested> inBackoff;
  /** State of the random number generator. */
  std::uint64_t random{};
};

} // namespace balsampoint::retry

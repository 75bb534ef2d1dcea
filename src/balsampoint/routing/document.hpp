#pragma once

#include "balsampoint/core/id.hpp"
#include "balsampoint/core/number.hpp"
#include "balsampoint/core/time.hpp"
#include "balsampoint/routing/engine_profile.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace balsampoint::routing {

/** @brief Kind of a route's answers, and whether requests may be retried. */
enum class RequestKind : std::uint8_t
{
  /** May be executed more than once. */
  Idempotent,
  /** Is executed at most once. */
  NonIdempotent,
  /** Answered by an event stream; executed at most once. */
  Stream,
  /** Answered by an event stream that another server may continue. */
  ResumableStream,
};

/** @brief A service and its weight in the distribution of a route's requests.
 */
struct Target
{
  ServiceId service;
  std::uint32_t weight{ 1 };

  bool operator==(const Target&) const = default;
};

/** @brief Handling of the requests to one host and path prefix. */
struct Route
{
  std::string name;
  std::string host;
  /** Begins and ends with a slash. */
  std::string pathPrefix;
  RequestKind kind{ RequestKind::NonIdempotent };
  /** Maximum time until the end of the answer. */
  Duration timeout{};
  /** Target for the time to the first byte or event of an answer. */
  Duration targetLatency{};
  /** Target for the time between two events of an answer; zero for none. */
  Duration targetGap{};
  /** Lower is served first. */
  std::uint32_t priority{};
  std::vector<Target> targets;
  /** Maximum number of servers to which one request is sent. */
  std::uint32_t maxAttempts{ 1 };
  /** Whether requests are accepted without a key. */
  bool isPublic{ false };

  bool operator==(const Route&) const = default;
};

/** @brief Interchangeable servers, announced under one name. */
struct Service
{
  ServiceId id;
  /** Maximum connections that one server accepts from all callers together. */
  std::uint32_t maxConnections{ 1 };
  /** Absent for plain services. */
  std::optional<EngineProfile> engine;

  bool operator==(const Service&) const = default;
};

/** @brief Callers that share keys and a priority. */
struct Workspace
{
  WorkspaceId id;
  std::vector<std::string> keys;
  std::optional<std::uint32_t> priority;

  bool operator==(const Workspace&) const = default;
};

/** @brief Limits on the size of callers' requests and on their idle time. */
struct CallerLimits
{
  std::uint64_t headerBytes{ 16384 };
  std::uint64_t bodyBytes{ 4194304 };
  Duration headerTimeout{ std::chrono::seconds{ 3 } };
  Duration idleTimeout{ std::chrono::seconds{ 15 } };

  bool operator==(const CallerLimits&) const = default;
};

/** @brief A complete configuration of routes; immutable once published. */
struct Document
{
  ChangeNumber number;
  std::vector<Route> routes;
  std::map<ServiceId, Service> services;
  std::vector<Workspace> workspaces;
  CallerLimits limits;

  bool operator==(const Document&) const = default;
};

} // namespace balsampoint::routing

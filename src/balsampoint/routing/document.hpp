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

/** @brief What the requests of a route are and whether they may be repeated. */
enum class RequestKind : std::uint8_t
{
  /** May run more than once. */
  Idempotent,
  /** Runs once at most. */
  NonIdempotent,
  /** An answer of events that runs once at most. */
  Stream,
  /** An answer of events that another server may continue. */
  ResumableStream,
};

/** @brief A service and its share of a route's requests. */
struct Target
{
  ServiceId service;
  std::uint32_t weight{ 1 };

  bool operator==(const Target&) const = default;
};

/** @brief Where requests of one host and path go. */
struct Route
{
  std::string name;
  std::string host;
  /** Begins and ends with a slash. */
  std::string pathPrefix;
  RequestKind kind{ RequestKind::NonIdempotent };
  /** Longest time a caller is kept waiting. */
  Duration timeout{};
  /** Time to the first byte or event within which an answer is in time. */
  Duration targetLatency{};
  /** Longest pause between two events of an answer in time; zero for none. */
  Duration targetGap{};
  /** Lower is served first. */
  std::uint32_t priority{};
  std::vector<Target> targets;
  /** Servers to which one request may be sent at most. */
  std::uint32_t maxAttempts{ 1 };
  /** Whether requests need no key. */
  bool isPublic{ false };

  bool operator==(const Route&) const = default;
};

/** @brief Servers that are alike, announced under one name. */
struct Service
{
  ServiceId id;
  /** Connections that one server takes from all callers together. */
  std::uint32_t maxConnections{ 1 };
  /** Absent for plain services. */
  std::optional<EngineProfile> engine;

  bool operator==(const Service&) const = default;
};

/** @brief Callers who share keys and a priority. */
struct Workspace
{
  WorkspaceId id;
  std::vector<std::string> keys;
  std::optional<std::uint32_t> priority;

  bool operator==(const Workspace&) const = default;
};

/** @brief Bounds on what callers send and how long they are idle. */
struct CallerLimits
{
  std::uint64_t headerBytes{ 16384 };
  std::uint64_t bodyBytes{ 4194304 };
  Duration headerTimeout{ std::chrono::seconds{ 3 } };
  Duration idleTimeout{ std::chrono::seconds{ 15 } };

  bool operator==(const CallerLimits&) const = default;
};

/** @brief One whole configuration of routes; immutable once published. */
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

#pragma once

#include "balsampoint/core/id.hpp"
#include "balsampoint/core/number.hpp"
#include "balsampoint/core/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace balsampoint::config {

/** @brief A key as kept in the configuration: never the key itself. */
struct KeyHash
{
  /** Public part of the key, before its first dot; unique. */
  std::string id;
  /** Lower-case hexadecimal. */
  std::string salt;
  /** SHA-256 over the salt's text and the whole key, in hexadecimal. */
  std::string sha256;

  auto operator<=>(const KeyHash&) const = default;
};

/** @brief A model served in stages over layer ranges. */
struct Pipeline
{
  PipelineId id;
  ModelId model;
  std::string version;
  /** Adapter every server of the pipeline must hold; empty for none. */
  std::string adapter;
  /** Layers of the model. */
  std::uint32_t layers{};
  /** Most tokens one answer may have. */
  std::uint32_t maxTokens{};
  /** Bytes that pass from one stage to the next for one token. */
  std::uint64_t activationBytes{};
  /** Limit on one whole answer. */
  Duration timeout{};

  bool operator==(const Pipeline&) const = default;
};

/** @brief Says for one method and path prefix whether calls may be repeated. */
struct ServiceRule
{
  /** HTTP method in upper case, or `*` for any. */
  std::string method;
  std::string pathPrefix;
  bool idempotent{ false };

  bool operator==(const ServiceRule&) const = default;
};

/** @brief A plain service; a call that no rule matches is non-idempotent. */
struct Service
{
  ServiceId id;
  /** The first rule that matches decides. */
  std::vector<ServiceRule> rules;
  /** Limit on one call, its retries included. */
  Duration timeout{};
  /** Largest body in bytes, of a request and of an answer. */
  std::uint64_t maxBodyBytes{};

  bool operator==(const Service&) const = default;
};

/** @brief Limits of one workspace over all hosts; zero means none. */
struct Limits
{
  double requestsPerSecond{};
  std::uint32_t concurrentRequests{};

  bool operator==(const Limits&) const = default;
};

/**
 * @brief What a workspace may use: everything, or only what is listed.
 * @tparam Id Kind of names listed.
 */
template<typename Id>
struct BasicAllowance
{
  /** Absent for everything; an empty list allows nothing. */
  std::optional<std::set<Id>> listed;

  /**
   * @brief Whether a name is allowed.
   * @param aId The name.
   */
  [[nodiscard]] bool Allows(const Id& aId) const
  {
    return !listed || listed->contains(aId);
  }

  bool operator==(const BasicAllowance&) const = default;
};

/** @brief A group of callers that shares keys, limits and a priority. */
struct Workspace
{
  WorkspaceId id;
  std::vector<KeyHash> keys;
  /** Share of the capacity under contention, relative to the others. */
  double weight{ 1.0 };
  /** Lower is served first. */
  std::uint32_t priority{};
  Limits limits;
  BasicAllowance<PipelineId> pipelines;
  BasicAllowance<ServiceId> services;

  bool operator==(const Workspace&) const = default;
};

/** @brief Somebody who may change the configuration. */
struct OperatorEntry
{
  OperatorId id;
  std::vector<KeyHash> keys;

  bool operator==(const OperatorEntry&) const = default;
};

/** @brief An availability zone. */
struct Zone
{
  ZoneId id;
  RegionId region;

  bool operator==(const Zone&) const = default;
};

/** @brief A network path between two zones, the same both ways. */
struct Link
{
  ZoneId from;
  ZoneId to;
  double bytesPerSecond{};
  /** One way. */
  Duration delay{};

  bool operator==(const Link&) const = default;
};

/** @brief One whole configuration; immutable once published. */
struct Document
{
  ChangeNumber number;
  std::map<ZoneId, Zone> zones;
  std::vector<Link> links;
  std::map<PipelineId, Pipeline> pipelines;
  std::map<ServiceId, Service> services;
  std::map<WorkspaceId, Workspace> workspaces;
  std::map<OperatorId, OperatorEntry> operators;

  bool operator==(const Document&) const = default;
};

} // namespace balsampoint::config

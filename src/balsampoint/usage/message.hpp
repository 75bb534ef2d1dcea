#pragma once

#include "balsampoint/core/id.hpp"
#include "balsampoint/quarantine/report.hpp"

#include <cstdint>
#include <variant>
#include <vector>

namespace balsampoint::usage {

/** @brief Work in progress on one server. */
struct ServerUsage
{
  ServerId server;
  /** Requests whose chain includes the server. */
  std::uint32_t passing{};
  /** Requests sent to the server as the first of their chain. */
  std::uint32_t sent{};
  /** KV reserved for these requests, in tokens times layers. */
  double kv{};

  bool operator==(const ServerUsage&) const = default;
};

/** @brief Work that the sending entry host has in progress. */
struct LocalUsage
{
  std::vector<ServerUsage> servers;
  /** Prompt parts that it suspects of crashing servers. */
  std::vector<quarantine::PartReport> suspects;

  bool operator==(const LocalUsage&) const = default;
};

/**
 * @brief Sum of the work that all entry hosts but the receiver have in
 * progress.
 */
struct RemoteUsage
{
  std::vector<ServerUsage> servers;
  /** Number of entry hosts in the sum. */
  std::uint32_t hosts{};
  /** Prompt parts that any host suspects, the receiver included. */
  std::vector<quarantine::PartReport> suspects;

  bool operator==(const RemoteUsage&) const = default;
};

/** @brief Sum of the work of a relay and of the hosts that report to it. */
struct GroupUsage
{
  ZoneId zone;
  /** Number of entry hosts in the sum. */
  std::uint32_t hosts{};
  std::vector<ServerUsage> servers;
  /** Prompt parts that any of these hosts suspects. */
  std::vector<quarantine::PartReport> suspects;

  bool operator==(const GroupUsage&) const = default;
};

/** @brief Sum of the work of the hosts in zones other than the receiver's. */
struct FarUsage
{
  std::vector<ServerUsage> servers;
  /** Number of entry hosts in the sum. */
  std::uint32_t hosts{};
  /** Prompt parts that any host suspects. */
  std::vector<quarantine::PartReport> suspects;

  bool operator==(const FarUsage&) const = default;
};

/** @brief Messages that hosts exchange about work in progress. */
using Message = std::variant<LocalUsage, RemoteUsage, GroupUsage, FarUsage>;

} // namespace balsampoint::usage

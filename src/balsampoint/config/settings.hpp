#pragma once

#include "balsampoint/config/address.hpp"
#include "balsampoint/config/document.hpp"

#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <optional>
#include <string>
#include <vector>

namespace balsampoint::config {

/** @brief Where a host listens. */
struct Listeners
{
  Address callers;
  Address servers;
  Address operators;
  Address peers;
};

/** @brief One host of the first control group. */
struct Seed
{
  HostId host;
  ZoneId zone;
  /** Where it listens for other hosts. */
  Address address;
};

/** @brief Bounds on what callers may use of one host. */
struct TrafficLimits
{
  std::uint32_t workerThreads{ 64 };
  std::uint64_t headerBytes{ 16384 };
  std::uint64_t bodyBytes{ 1048576 };
  std::uint32_t concurrentRequests{ 512 };
  /** A connection without traffic for so long is closed. */
  Duration idleTimeout{ std::chrono::seconds{ 30 } };
};

/** @brief How log lines look. */
enum class LogFormat : std::uint8_t
{
  Text,
  Json,
};

/** @brief The least grave log lines that are written. */
enum class LogLevel : std::uint8_t
{
  Debug,
  Info,
  Warning,
  Error,
};

/** @brief What a host writes about its work. */
struct LogSettings
{
  LogFormat format{ LogFormat::Text };
  LogLevel level{ LogLevel::Info };
};

/** @brief Where spans go. */
struct TraceSettings
{
  /** File of OTLP JSON lines; empty writes none. */
  std::filesystem::path file;
  /** Spans that wait for the writer at most; more are dropped. */
  std::uint32_t queue{ 8192 };
};

/** @brief The settings file of one host; read once at its start. */
struct Settings
{
  ClusterId cluster;
  HostId host;
  RegionId region;
  ZoneId zone;
  Listeners listen;
  /** Set on hosts that have a disk. */
  std::optional<std::filesystem::path> dataFolder;
  /** Whether the host starts as a voter of the control group. */
  bool voter{ false };
  std::vector<Seed> seeds;
  /** Authenticates frames between hosts of the cluster. */
  std::string secret;
  /** Operators' keys that hold without and beside the configuration. */
  std::vector<KeyHash> operatorKeys;
  TrafficLimits limits;
  /** Time between `/readyz` turning false and the end of listening. */
  Duration shutdownDelay{ std::chrono::seconds{ 5 } };
  /** Longest time a planned stop waits for work in progress. */
  Duration shutdownTimeout{ std::chrono::seconds{ 60 } };
  LogSettings log;
  TraceSettings trace;
};

} // namespace balsampoint::config

#pragma once

#include "balsampoint/config/address.hpp"
#include "balsampoint/config/settings.hpp"
#include "balsampoint/core/id.hpp"
#include "balsampoint/core/time.hpp"

#include <chrono>
#include <cstdint>
#include <filesystem>
#include <optional>
#include <string>
#include <vector>

namespace balsampoint::config {

/** @brief Where a gateway's host listens; what is absent isn't served. */
struct GatewayListeners
{
  std::optional<Address> callers;
  /** Says whether the host takes new callers. */
  std::optional<Address> ready;
  /** Heartbeats of servers and calls of operators. */
  std::optional<Address> control;
  std::optional<Address> metrics;
  /** Queries of operators at an entry host. */
  std::optional<Address> operators;
  /** Opens connections to servers for hosts that can't reach them. */
  std::optional<Address> detours;
  Address peers;
  /** Where other hosts reach `peers`, if a forwarder stands in between. */
  std::optional<Address> advertisedPeers;

  /** @brief The address of `peers` that other hosts are told. */
  [[nodiscard]] Address PeersAsTold() const
  {
    return advertisedPeers.value_or(peers);
  }
};

/** @brief Retries that all hosts may make together in any window of time. */
struct RetrySettings
{
  /** For each request in the window. */
  double ratio{ 0.1 };
  double extra{ 10.0 };
  Duration window{ std::chrono::seconds{ 10 } };
};

/** @brief What one host may use. */
struct ResourceLimits
{
  std::uint64_t memoryMb{ 256 };
  std::uint32_t descriptors{ 1024 };
  /** Longest time of a request's body, and its least rate in bytes per second
   * once it has taken as long as a head may. */
  Duration bodyTimeout{ std::chrono::seconds{ 10 } };
  std::uint64_t bodyRate{ std::uint64_t{ 16 } * 1024 };
};

/** @brief The settings file of a host that is a gateway or control host. */
struct GatewaySettings
{
  ClusterId cluster;
  HostId host;
  RegionId region;
  ZoneId zone;
  GatewayListeners listen;
  /** Set on control hosts, which vote on changes. */
  std::optional<std::filesystem::path> dataFolder;
  /** Whether the cluster starts for the first time, with empty disks. */
  bool firstStart{ false };
  /** Addresses of control listeners to join through. */
  std::vector<Address> seeds;
  /** Authenticates frames between hosts of the cluster. */
  std::string secret;
  /** Keys of operators who may ask on `listen.operators`. */
  std::vector<KeyHash> operatorKeys;
  /** Time between two heartbeats of a server. */
  Duration heartbeat{ std::chrono::seconds{ 1 } };
  /** Hosts with a disk that may be lost at once. */
  std::uint32_t controlLosses{ 1 };
  /** Time after its start in which a control host takes the place of a lost
   * one, so that the group can bear the next loss. */
  Duration controlCatchUp{ std::chrono::seconds{ 4 } };
  /** Longest time of a planned stop. */
  Duration stopTimeout{ std::chrono::seconds{ 8 } };
  RetrySettings retry;
  ResourceLimits limits;
  LogSettings log;
};

} // namespace balsampoint::config

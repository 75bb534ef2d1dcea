#pragma once

#include "balsampoint/core/id.hpp"
#include "balsampoint/core/number.hpp"
#include "balsampoint/core/time.hpp"
#include "balsampoint/quarantine/report.hpp"
#include "balsampoint/reach/detour.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace balsampoint::usage {

/** @brief What a server has said of the requests that it takes. */
struct RateStatement
{
  Incarnation incarnation;
  /** Requests per second from all hosts together; absent for no limit. */
  std::optional<double> limit;
  /** Time since it said so. */
  Duration age{};

  bool operator==(const RateStatement&) const = default;
};

/** @brief A request that a server has rejected without running it. */
struct Rejection
{
  /** Time since the rejection. */
  Duration age{};
  /** Part of the server's KV that its sender had known to be reserved. */
  double fill{};

  bool operator==(const Rejection&) const = default;
};

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
  /** Prompts of the requests without a first event, in tokens times layers. */
  double waitingPrompt{};
  /** Requests sent to it in the last seconds; counted only while it has a rate
   * limit. */
  std::uint32_t recent{};
  /** Newest statement that a host knows; absent for none that matters. */
  std::optional<RateStatement> rate;
  /** Newest rejection that a host has met; absent for none of late. */
  std::optional<Rejection> rejection;

  bool operator==(const ServerUsage&) const = default;
};

/** @brief Demand of the requests of one urgency. */
struct UrgencyDemand
{
  /** Lower is served first. */
  std::uint32_t urgency{};
  /** Tokens of KV that the requests need, per second. */
  double kvPerSecond{};

  bool operator==(const UrgencyDemand&) const = default;
};

/** @brief Demand for one service that limits what it takes, or has requests of
 * several urgencies. */
struct ServiceUsage
{
  ServiceId service;
  /** Choices of servers per second. */
  double demand{};
  /** By ascending urgency; empty if all requests are equally urgent. */
  std::vector<UrgencyDemand> byUrgency;

  bool operator==(const ServiceUsage&) const = default;
};

/** @brief Work that the sending entry host has in progress. */
struct LocalUsage
{
  std::vector<ServerUsage> servers;
  /** Requests and prompt parts that it suspects of crashing servers. */
  std::vector<quarantine::SuspectReport> suspects;
  /** Demand for services with rate limits or several urgencies. */
  std::vector<ServiceUsage> services;
  /** Address at which the host opens connections to servers for others; empty
   * if it reaches none or has no room. */
  std::string detour;
  /** Whether the host reaches no servers and is to be told of detours. */
  bool needsDetours{ false };

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
  /** What any host suspects, the receiver included. */
  std::vector<quarantine::SuspectReport> suspects;
  /** Demand for services with rate limits or several urgencies. */
  std::vector<ServiceUsage> services;
  /** Hosts that open connections to servers; empty unless the receiver needs
   * them. */
  std::vector<reach::Detour> detours;

  bool operator==(const RemoteUsage&) const = default;
};

/** @brief Sum of the work of a relay and of the hosts that report to it. */
struct GroupUsage
{
  ZoneId zone;
  /** Number of entry hosts in the sum. */
  std::uint32_t hosts{};
  std::vector<ServerUsage> servers;
  /** What any of these hosts suspects. */
  std::vector<quarantine::SuspectReport> suspects;
  /** Demand for services with rate limits or several urgencies. */
  std::vector<ServiceUsage> services;
  /** Some of these hosts that open connections to servers. */
  std::vector<reach::Detour> detours;

  bool operator==(const GroupUsage&) const = default;
};

/** @brief Sum of the work of the hosts in zones other than the receiver's. */
struct FarUsage
{
  std::vector<ServerUsage> servers;
  /** Number of entry hosts in the sum. */
  std::uint32_t hosts{};
  /** What any host suspects. */
  std::vector<quarantine::SuspectReport> suspects;
  /** Demand for services with rate limits or several urgencies. */
  std::vector<ServiceUsage> services;
  /** Some of these hosts that open connections to servers. */
  std::vector<reach::Detour> detours;

  bool operator==(const FarUsage&) const = default;
};

/** @brief Messages that hosts exchange about work in progress. */
using Message = std::variant<LocalUsage, RemoteUsage, GroupUsage, FarUsage>;

} // namespace balsampoint::usage

#pragma once

#include "balsampoint/change/table.hpp"
#include "balsampoint/core/time.hpp"

#include <string>
#include <variant>
#include <vector>

namespace balsampoint::fanout {

/** @brief Which host has which configuration in force. */
struct HostReport
{
  HostId host;
  Incarnation incarnation;
  ZoneId zone;
  /** IP number and port for other hosts. */
  std::string address;
  /** Whether it could become a voter. */
  bool hasDisk{ false };
  /** Whether its relay hears it. */
  bool reachable{ true };
  ChangeNumber number;

  bool operator==(const HostReport&) const = default;
};

/** @brief Asks a control host for a parent and for the newest number. */
struct JoinRequest
{
  HostReport host;

  bool operator==(const JoinRequest&) const = default;
};

/** @brief Answers a `JoinRequest`. */
struct JoinReply
{
  /** Newest configuration that the control host has. */
  ChangeNumber number;
  /** Host that will feed the asking one; empty for none known. */
  HostId parent;
  std::string parentAddress;
  /** Whether the control host leads the group. */
  bool leads{ false };

  bool operator==(const JoinReply&) const = default;
};

/** @brief Reports a host and the hosts it feeds; also proves them alive. */
struct Report
{
  /** The sender itself first, then what changed below it, or everything. */
  std::vector<HostReport> hosts;

  bool operator==(const Report&) const = default;
};

/** @brief Asks for everything after a number. */
struct Fetch
{
  ChangeNumber have;

  bool operator==(const Fetch&) const = default;
};

/** @brief One step to a newer configuration, or a heartbeat without a step. */
struct Update
{
  ChangeNumber base;
  /** Number after the step; equal to `base` in a heartbeat. */
  ChangeNumber number;
  bool whole{ false };
  change::Delta delta;
  /** Leader of the control group; empty if not known. */
  HostId leader;
  /** Time since the leader was heard of at the root of the tree. */
  Duration rootAge{};

  bool operator==(const Update&) const = default;
};

/** @brief Asks the leader to say when all reachable hosts have a number. */
struct InForceRequest
{
  Ticket ticket;
  ChangeNumber number;
  /** Time after which it answers anyway. */
  Duration wait{};

  bool operator==(const InForceRequest&) const = default;
};

/** @brief Answers an `InForceRequest`. */
struct InForceReply
{
  Ticket ticket;
  /** All hosts with what they have in force. */
  std::vector<HostReport> hosts;

  bool operator==(const InForceReply&) const = default;
};

/** @brief Everything that hosts send to one another for the fan-out. */
using Message = std::variant<JoinRequest,
                             JoinReply,
                             Report,
                             Fetch,
                             Update,
                             InForceRequest,
                             InForceReply>;

} // namespace balsampoint::fanout

#pragma once

#include "balsampoint/change/table.hpp"
#include "balsampoint/core/time.hpp"

#include <string>
#include <variant>
#include <vector>

namespace balsampoint::fanout {

/** @brief A host with its address and the configuration it has in force. */
struct HostReport
{
  HostId host;
  Incarnation incarnation;
  ZoneId zone;
  /** IP address and port that other hosts connect to. */
  std::string address;
  /** Whether it has a disk and can become a voter. */
  bool hasDisk{ false };
  /** Whether its relay has received a report of it recently. */
  bool reachable{ true };
  /** Number of the configuration in force. */
  ChangeNumber number;

  bool operator==(const HostReport&) const = default;
};

/** @brief Requests a parent and the newest number from a control host. */
struct JoinRequest
{
  /** The joining host, which is the sender. */
  HostReport host;

  bool operator==(const JoinRequest&) const = default;
};

/** @brief Answers a `JoinRequest`. */
struct JoinReply
{
  /** Newest configuration that the control host knows of. */
  ChangeNumber number;
  /** Host that sends updates to the joining host; empty if the control host
   * knows another leader, which assigns one. */
  HostId parent;
  /** IP address and port of the parent. */
  std::string parentAddress;
  /** Whether the control host leads the group. */
  bool leads{ false };

  bool operator==(const JoinReply&) const = default;
};

/** @brief Reports a host and the hosts below it to its parent; also serves as a
 * sign of life. */
struct Report
{
  /** The sender itself first, then the changed hosts below it, or all of them
   * in a full report. */
  std::vector<HostReport> hosts;

  bool operator==(const Report&) const = default;
};

/** @brief Requests all updates after a number. */
struct Fetch
{
  /** Number of the sender's configuration. */
  ChangeNumber have;

  bool operator==(const Fetch&) const = default;
};

/** @brief A step to a newer configuration, or a heartbeat without a step. */
struct Update
{
  /** Number of the configuration that the delta applies to. */
  ChangeNumber base;
  /** Number after the step; equal to `base` in a heartbeat. */
  ChangeNumber number;
  /** Whether the delta holds the whole configuration; `base` is unused. */
  bool whole{ false };
  change::Delta delta;
  /** Leader of the control group; empty if unknown. */
  HostId leader;
  /** Time since the last sign of life of the leader. */
  Duration rootAge{};

  bool operator==(const Update&) const = default;
};

/** @brief Requests a reply of the leader once all reachable hosts have a
 * configuration in force. */
struct InForceRequest
{
  Ticket ticket;
  ChangeNumber number;
  /** Time after which the leader replies in any case. */
  Duration wait{};

  bool operator==(const InForceRequest&) const = default;
};

/** @brief Answers an `InForceRequest`. */
struct InForceReply
{
  Ticket ticket;
  /** All known hosts with the configurations they have in force. */
  std::vector<HostReport> hosts;

  bool operator==(const InForceReply&) const = default;
};

/** @brief Messages that hosts exchange for this module. */
using Message = std::variant<JoinRequest,
                             JoinReply,
                             Report,
                             Fetch,
                             Update,
                             InForceRequest,
                             InForceReply>;

} // namespace balsampoint::fanout

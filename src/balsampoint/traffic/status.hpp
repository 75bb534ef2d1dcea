#pragma once

#include "balsampoint/core/id.hpp"
#include "balsampoint/core/number.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace balsampoint::traffic {

/** @brief One host as this host knows it. */
struct HostStatus
{
  HostId host;
  ZoneId zone;
  Incarnation incarnation;
  /** `alive`, `suspect` or `out_of_reach`. */
  std::string state;
  /** Number of the configuration in force there; zero if not reported. */
  ChangeNumber inForce;
};

/** @brief One member of the control group. */
struct ControlMemberStatus
{
  HostId host;
  /** `voter` or `learner`. */
  std::string role;
  /** Last log entry known to be durable there. */
  std::uint64_t matched{};
};

/** @brief The control group as this host knows it. */
struct ControlStatus
{
  /** `leader`, `follower`, `candidate`, `learner` or `observer`. */
  std::string role;
  /** The leader; empty if none is known. */
  HostId leader;
  std::uint64_t term{};
  std::uint64_t commit{};
  std::vector<ControlMemberStatus> members;
};

/** @brief One accepted change of configuration. */
struct HistoryEntry
{
  ChangeNumber number;
  ChangeId change;
  OperatorId by;
};

/** @brief What operators may ask about the hosts and the control group. */
struct Status
{
  std::vector<HostStatus> hosts;
  ControlStatus control;
  /** Oldest first, within the window that is kept. */
  std::vector<HistoryEntry> history;
};

} // namespace balsampoint::traffic

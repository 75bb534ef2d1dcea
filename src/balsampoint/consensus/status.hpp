#pragma once

#include "balsampoint/consensus/entry.hpp"
#include "balsampoint/core/time.hpp"

#include <optional>
#include <vector>

namespace balsampoint::consensus {

/** @brief Raft role of a member in the current term. */
enum class Role : std::uint8_t
{
  Follower,
  PreCandidate,
  Candidate,
  Leader,
};

/** @brief Status of one member, as shown to operators. */
struct MemberStatus
{
  Member member;
  /** Last entry known to be durable on the member; set by the leader, and by
   * each member for itself. */
  Index match;
  /** Time since its last reply; set by the leader only. */
  std::optional<Duration> sinceContact;
};

/** @brief Status of the group from the point of view of one member. */
struct Status
{
  HostId self;
  HostId leader;
  Role role{ Role::Follower };
  Term term;
  Index committed;
  Index applied;
  Index snapshot;
  bool storageFailed{ false };
  bool recovering{ false };
  std::vector<MemberStatus> members;
};

} // namespace balsampoint::consensus

#pragma once

#include "balsampoint/consensus/entry.hpp"
#include "balsampoint/core/time.hpp"

#include <optional>
#include <vector>

namespace balsampoint::consensus {

/** @brief What a member is in the current term. */
enum class Role : std::uint8_t
{
  Follower,
  PreCandidate,
  Candidate,
  Leader,
};

/** @brief One member as an operator sees it. */
struct MemberStatus
{
  Member member;
  /** Last entry durable there; known to the leader only. */
  Index match;
  /** Time since its last answer; known to the leader only. */
  std::optional<Duration> silence;
};

/** @brief The group as one of its members sees it. */
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

#pragma once

#include "balsampoint/consensus/state.hpp"

#include <algorithm>
#include <concepts>

namespace balsampoint::consensus::internal {

/**
 * @brief Looks up a member.
 * @param aMembers Group to read.
 * @param aHost The host.
 * @return The member, or null if the host is not one.
 */
[[nodiscard]] inline const Member*
Find(const Membership& aMembers, const HostId& aHost)
{
  const auto found = std::ranges::find(aMembers.members, aHost, &Member::host);
  return found == aMembers.members.end() ? nullptr : &*found;
}

/**
 * @brief Whether a host is a voter.
 * @param aMembers Group to read.
 * @param aHost The host.
 */
[[nodiscard]] inline bool
IsVoter(const Membership& aMembers, const HostId& aHost)
{
  const auto* member = Find(aMembers, aHost);
  return member != nullptr && member->role == MemberRole::Voter;
}

/**
 * @brief Number of voters.
 * @param aMembers Group to read.
 */
[[nodiscard]] inline std::size_t
VoterCount(const Membership& aMembers)
{
  return static_cast<std::size_t>(
    std::ranges::count(aMembers.members, MemberRole::Voter, &Member::role));
}

/**
 * @brief Whether a condition holds for a majority of the voters.
 * @tparam Predicate Callable with a host id.
 * @param aMembers Group to read.
 * @param aPredicate The condition.
 */
template<std::predicate<const HostId&> Predicate>
[[nodiscard]] bool
HasQuorum(const Membership& aMembers, Predicate aPredicate)
{
  std::size_t holding = 0;
  for (const auto& member : aMembers.members) {
    if (member.role == MemberRole::Voter && aPredicate(member.host)) {
      ++holding;
    }
  }
  return holding > VoterCount(aMembers) / 2;
}

/**
 * @brief Whether a member replied to the leader within the minimum election
 * timeout; always true for the leader itself.
 * @param aState State of the leader.
 * @param aHost The member.
 * @param aNow Current time.
 */
[[nodiscard]] inline bool
HasRecentContact(const State& aState, const HostId& aHost, Instant aNow)
{
  if (aHost == aState.settings.self) {
    return true;
  }
  const auto found = aState.progress.find(aHost);
  return found != aState.progress.end() && aNow - found->second.lastContactAt <
                                             aState.settings.electionTimeoutMin;
}

} // namespace balsampoint::consensus::internal

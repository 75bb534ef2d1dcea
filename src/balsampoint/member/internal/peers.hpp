#pragma once

#include "balsampoint/member/message.hpp"
#include "balsampoint/member/state.hpp"

#include <algorithm>
#include <concepts>
#include <cstddef>
#include <utility>

namespace balsampoint::member::internal {

/**
 * @brief Lists the ids of the peers that a test selects.
 * @tparam Test Callable with a host, gives whether it is wanted.
 * @param aState The membership.
 * @param aTest The test.
 * @return The ids in order.
 */
template<std::predicate<const Host&> Test>
[[nodiscard]] std::vector<HostId>
Select(const State& aState, Test aTest)
{
  std::vector<HostId> ids;
  for (const auto& [id, peer] : aState.peers) {
    if (aTest(peer.host)) {
      ids.push_back(id);
    }
  }
  return ids;
}

/**
 * @brief Puts ids in a random order.
 * @param aState The membership, for its random numbers.
 * @param aIds The ids.
 */
inline void
Shuffle(State& aState, std::vector<HostId>& aIds)
{
  for (std::size_t left = aIds.size(); left > 1; --left) {
    std::swap(aIds[left - 1], aIds[aState.random.Next() % left]);
  }
}

/**
 * @brief Chooses ids at random.
 * @param aState The membership, for its random numbers.
 * @param aIds The ids to choose from.
 * @param aCount How many at most.
 * @return The chosen ids.
 */
[[nodiscard]] inline std::vector<HostId>
Choose(State& aState, std::vector<HostId> aIds, std::size_t aCount)
{
  Shuffle(aState, aIds);
  aIds.resize(std::min(aIds.size(), aCount));
  return aIds;
}

/**
 * @brief Tells when a suspicion ends in death, or a dead host is forgotten.
 * @param aState The membership.
 * @param aPeer The peer; not alive.
 * @return The time.
 */
[[nodiscard]] inline Instant
StateDeadline(const State& aState, const Peer& aPeer)
{
  const auto& settings = aState.settings;
  if (aPeer.host.state != HostState::Suspect) {
    return aPeer.changedAt + settings.memory;
  }
  const bool near = aPeer.host.zone == aState.self.zone;
  return aPeer.changedAt +
         (near ? settings.suspicion : settings.remoteSuspicion);
}

} // namespace balsampoint::member::internal

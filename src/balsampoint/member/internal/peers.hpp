#pragma once

#include "balsampoint/member/message.hpp"
#include "balsampoint/member/state.hpp"

#include <algorithm>
#include <concepts>
#include <cstddef>
#include <utility>

namespace balsampoint::member::internal {

/**
 * @brief Lists the ids of the peers that satisfy a predicate.
 * @tparam Test Predicate on a host.
 * @param aState State of the module.
 * @param aTest The predicate.
 * @return The ids in ascending order.
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
 * @brief Shuffles ids randomly.
 * @param aState State with the random generator.
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
 * @brief Picks ids at random.
 * @param aState State with the random generator.
 * @param aIds The ids to choose from.
 * @param aCount Maximum number of ids.
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
 * @brief Time at which a suspect peer is marked dead, or a dead or stopped peer
 * is forgotten.
 * @param aState State of the module.
 * @param aPeer The peer, in a state other than alive.
 * @return The time.
 */
[[nodiscard]] inline Instant
StateDeadline(const State& aState, const Peer& aPeer)
{
  const auto& settings = aState.settings;
  if (aPeer.host.state != HostState::Suspect) {
    return aPeer.changedAt + settings.deadRetention;
  }
  const bool local = aPeer.host.zone == aState.self.zone;
  return aPeer.changedAt +
         (local ? settings.suspicion : settings.remoteSuspicion);
}

} // namespace balsampoint::member::internal

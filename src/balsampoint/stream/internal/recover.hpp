#pragma once

#include "balsampoint/stream/state.hpp"

#include <vector>

namespace balsampoint::stream::internal {

/**
 * @brief Asks for servers for the vacant range.
 * @param aProgress The answer.
 * @param aVacancy The range, with what was lost there.
 * @param aNow The time.
 * @param aActions Gets the wish for a choice.
 */
void
AskForRoute(Progress& aProgress,
            Vacancy aVacancy,
            Instant aNow,
            std::vector<Action>& aActions);

/**
 * @brief Takes the current stage's server out and asks for a replacement.
 * @param aProgress The answer.
 * @param aLoss How the server was lost.
 * @param aNow The time.
 * @param aActions Gets the wish for a choice, or the failure when there were
 * too many losses.
 */
void
LoseStage(Progress& aProgress,
          Loss aLoss,
          Instant aNow,
          std::vector<Action>& aActions);

/**
 * @brief Puts chosen servers in the place of a lost one, or asks again.
 * @param aProgress The answer.
 * @param aChosen The choice; dropped when nothing waits for it.
 * @param aNow The time.
 * @param aActions Gets a further wish or the failure.
 * @return Whether the answer can go on.
 */
[[nodiscard]] bool
InstallRoute(Progress& aProgress,
             const RouteChosen& aChosen,
             Instant aNow,
             std::vector<Action>& aActions);

} // namespace balsampoint::stream::internal

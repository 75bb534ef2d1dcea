#pragma once

#include "balsampoint/stream/state.hpp"

#include <vector>

namespace balsampoint::stream::internal {

/**
 * @brief Requests servers for a range that has none.
 * @param aProgress The answer.
 * @param aPending The range, and the lost stage if there is one.
 * @param aNow Current time.
 * @param aActions `ChooseRoute` is appended here.
 */
void
RequestRoute(Progress& aProgress,
             PendingChoice aPending,
             Instant aNow,
             std::vector<Action>& aActions);

/**
 * @brief Removes the current stage's server and requests a replacement.
 * @param aProgress The answer.
 * @param aKind How the server was lost.
 * @param aNow Current time.
 * @param aActions `ChooseRoute` is appended here, or `Fail` when too many
 * stages were lost.
 */
void
HandleStageLoss(Progress& aProgress,
                FailureKind aKind,
                Instant aNow,
                std::vector<Action>& aActions);

/**
 * @brief Installs the chosen servers; requests again with slow servers allowed
 * when none was found.
 * @param aProgress The answer.
 * @param aChosen The choice; dropped unless it is the awaited one.
 * @param aNow Current time.
 * @param aActions A further `ChooseRoute` or `Fail` is appended here.
 * @return Whether the servers were installed, so that the answer can continue.
 */
[[nodiscard]] bool
InstallRoute(Progress& aProgress,
             const RouteChosen& aChosen,
             Instant aNow,
             std::vector<Action>& aActions);

} // namespace balsampoint::stream::internal

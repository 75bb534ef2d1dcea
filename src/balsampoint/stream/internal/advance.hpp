#pragma once

#include "balsampoint/stream/state.hpp"

#include <optional>
#include <vector>

namespace balsampoint::stream::internal {

/**
 * @brief Sends the next call of an answer: a step, or what must precede it.
 * @param aProgress The answer.
 * @param aNow The time.
 * @param aActions Gets the call, or the wish for a replacement when the next
 * stage's server is known to be gone.
 */
void
Advance(Progress& aProgress, Instant aNow, std::vector<Action>& aActions);

/**
 * @brief Begins the next position.
 * @param aProgress The answer; all its stages ran the position before.
 * @param aStart Input of layer 0.
 */
void
BeginPosition(Progress& aProgress, std::uint64_t aStart);

/**
 * @brief Matches a reply with the call on its way; any other is counted.
 * @param aProgress The answer; no call is on its way after a match.
 * @param aId Call that the reply names.
 * @param aKind Kind of the reply.
 * @return When the call was sent, if it is the reply that is waited for.
 */
[[nodiscard]] std::optional<Instant>
AcceptReply(Progress& aProgress, const CallId& aId, CallKind aKind);

/**
 * @brief Takes the output of a step.
 * @param aProgress The answer; the reply was accepted.
 * @param aOutput The output.
 * @param aTime From the call to its reply.
 * @param aNow The time.
 * @param aActions Gets the next call unless this was the last stage.
 * @return The output of the last layer, when this was the last stage.
 */
[[nodiscard]] std::optional<std::uint64_t>
TakeStep(Progress& aProgress,
         std::uint64_t aOutput,
         Duration aTime,
         Instant aNow,
         std::vector<Action>& aActions);

/**
 * @brief Takes the outputs of a replay.
 * @param aProgress The answer; the reply was accepted.
 * @param aReply The reply.
 * @param aNow The time.
 * @param aActions Gets the next call, or the wish for another server when the
 * outputs differ from those of the first run.
 */
void
TakeReplay(Progress& aProgress,
           const ReplayReply& aReply,
           Instant aNow,
           std::vector<Action>& aActions);

/**
 * @brief Takes the success of an import.
 * @param aProgress The answer; the reply was accepted.
 * @param aNow The time.
 * @param aActions Gets the next call.
 */
void
TakeImport(Progress& aProgress, Instant aNow, std::vector<Action>& aActions);

} // namespace balsampoint::stream::internal

#pragma once

#include "balsampoint/stream/state.hpp"

#include <optional>
#include <vector>

namespace balsampoint::stream::internal {

/**
 * @brief Sends the next call of an answer: a step, or first the import or
 * replay that rebuilds the stage's KV.
 * @param aProgress The answer.
 * @param aNow Current time.
 * @param aActions The call is appended here, or the request for a replacement
 * when the stage's server is known to be lost.
 */
void
Advance(Progress& aProgress, Instant aNow, std::vector<Action>& aActions);

/**
 * @brief Begins the next position.
 * @param aProgress The answer; all its stages have run the previous position.
 * @param aStart Input of layer 0.
 */
void
BeginPosition(Progress& aProgress, std::uint64_t aStart);

/**
 * @brief Matches a reply with the pending call; counts it as dropped otherwise.
 * @param aProgress The answer; no call is pending after a match.
 * @param aId Call id in the reply.
 * @param aKind Kind of the reply.
 * @return Time at which the call was sent; absent if the reply doesn't match.
 */
[[nodiscard]] std::optional<Instant>
AcceptReply(Progress& aProgress, const CallId& aId, CallKind aKind);

/**
 * @brief Applies the output of a step.
 * @param aProgress The answer; the reply was accepted.
 * @param aOutput Output of the stage's last layer.
 * @param aTime Time from the call to its reply.
 * @param aNow Current time.
 * @param aActions The next call is appended here unless this was the last
 * stage.
 * @return Output of the last layer; absent unless this was the last stage.
 */
[[nodiscard]] std::optional<std::uint64_t>
ApplyStep(Progress& aProgress,
          std::uint64_t aOutput,
          Duration aTime,
          Instant aNow,
          std::vector<Action>& aActions);

/**
 * @brief Applies the outputs of a replay.
 * @param aProgress The answer; the reply was accepted.
 * @param aReply The reply.
 * @param aNow Current time.
 * @param aActions The next call is appended here, or the request for another
 * server when the outputs differ from those of the first run.
 */
void
ApplyReplay(Progress& aProgress,
            const ReplayReply& aReply,
            Instant aNow,
            std::vector<Action>& aActions);

/**
 * @brief Applies a successful import.
 * @param aProgress The answer; the reply was accepted.
 * @param aNow Current time.
 * @param aActions The next call is appended here.
 */
void
ApplyImport(Progress& aProgress, Instant aNow, std::vector<Action>& aActions);

} // namespace balsampoint::stream::internal

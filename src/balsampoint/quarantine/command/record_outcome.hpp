#pragma once

#include "balsampoint/quarantine/state.hpp"

#include <cstdint>

namespace balsampoint::quarantine {

/** @brief Whether an answer had begun when its server crashed. */
enum class AnswerProgress : std::uint8_t
{
  None,
  Begun,
};

/**
 * @brief Records that a server broke the connection of a request.
 * @param aState State to change.
 * @param aIds The request and the shared parts of its prompt; only the request
 * if an answer had begun, which shows that the parts are sound.
 * @param aServer Server that the request was sent to.
 * @param aNow Current time.
 * @param aProgress Whether an answer had begun.
 */
void
RecordCrash(State& aState,
            std::span<const SuspectId> aIds,
            const CrashedServer& aServer,
            Instant aNow,
            AnswerProgress aProgress = AnswerProgress::None);

/**
 * @brief Records that an answer was written: to a whole request, or so much of
 * it that the parts of the prompt are sound.
 * @param aState State to change.
 * @param aIds The request or shared parts of its prompt.
 * @param aNow Current time.
 */
void
RecordAnswer(State& aState, std::span<const SuspectId> aIds, Instant aNow);

} // namespace balsampoint::quarantine

#pragma once

#include "balsampoint/quarantine/state.hpp"

namespace balsampoint::quarantine {

/**
 * @brief Records that a server broke a connection before it began an answer.
 * @param aState State to change.
 * @param aParts Shared parts of the request's prompt.
 * @param aServer Server that the request was sent to.
 * @param aNow Current time.
 */
void
RecordCrash(State& aState,
            std::span<const PromptPartId> aParts,
            const CrashedServer& aServer,
            Instant aNow);

/**
 * @brief Records that a server has begun an answer and goes on with it.
 * @param aState State to change.
 * @param aParts Shared parts of the request's prompt.
 * @param aNow Current time.
 */
void
RecordAnswer(State& aState, std::span<const PromptPartId> aParts, Instant aNow);

} // namespace balsampoint::quarantine

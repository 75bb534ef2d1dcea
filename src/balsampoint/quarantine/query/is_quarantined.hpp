#pragma once

#include "balsampoint/quarantine/state.hpp"

namespace balsampoint::quarantine {

/**
 * @brief Whether a request falls under a verdict.
 * @param aState State to read.
 * @param aIds The request and the shared parts of its prompt.
 */
[[nodiscard]] bool
IsQuarantined(const State& aState, std::span<const SuspectId> aIds);

/**
 * @brief Whether a request or a part of it has enough crashes for a verdict,
 * before it is known which suspect explains them.
 * @param aState State to read.
 * @param aIds The request and the shared parts of its prompt.
 */
[[nodiscard]] bool
IsSuspected(const State& aState, std::span<const SuspectId> aIds);

/**
 * @brief Whether a request under which a server crashed may be sent to another
 * one: nothing else speaks against it, and no host has received it again while
 * its first caller waits.
 * @param aState State to read.
 * @param aIds The request and the shared parts of its prompt.
 */
[[nodiscard]] bool
MayRepeat(const State& aState, std::span<const SuspectId> aIds);

/**
 * @brief Whether all of some requests or prompt parts were answered before.
 * @param aState State to read.
 * @param aIds The requests or prompt parts.
 */
[[nodiscard]] bool
IsKnown(const State& aState, std::span<const SuspectId> aIds);

/**
 * @brief Whether this host has just seen several servers crash at once, which
 * no single request does.
 * @param aState State to read.
 * @param aNow Current time.
 */
[[nodiscard]] bool
SeveralCrashed(const State& aState, Instant aNow);

} // namespace balsampoint::quarantine

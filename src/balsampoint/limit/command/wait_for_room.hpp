#pragma once

#include "balsampoint/limit/shortage.hpp"

#include <optional>

namespace balsampoint::limit {

/** @brief Whether a request that found no room waits, or why it doesn't. */
enum class WaitVerdict : std::uint8_t
{
  Waits,
  /** Waiting doesn't apply to its service. */
  NotApplicable,
  /** Room isn't expected before it would miss its target. */
  TooLate,
  /** The queue is full of requests that are served before it. */
  QueueFull,
};

/** @brief Outcome of asking to wait. */
struct WaitDecision
{
  WaitVerdict verdict{ WaitVerdict::NotApplicable };
  /** Request that lost its place in a full queue and must be refused. */
  std::optional<Ticket> displaced;
};

/**
 * @brief Lets a request that found no room wait, if room is expected in time.
 *
 * Room is expected after the requests that are served before it, at the rate at
 * which this host's requests have found room or ended lately.
 * @param aState State to change.
 * @param aService Service of the request.
 * @param aRequest The request.
 * @param aNow Current time.
 */
[[nodiscard]] WaitDecision
Wait(Shortage& aState,
     const ServiceId& aService,
     const WaitRequest& aRequest,
     Instant aNow);

/**
 * @brief Removes a request that found room, or ended.
 * @param aState State to change.
 * @param aTicket The request; unknown ones are ignored.
 */
void
Leave(Shortage& aState, Ticket aTicket);

/**
 * @brief Removes the requests that can no longer meet their targets.
 * @param aState State to change.
 * @param aNow Current time.
 * @return The requests; each must be refused.
 */
[[nodiscard]] std::vector<Ticket>
RemoveExpired(Shortage& aState, Instant aNow);

/**
 * @brief Counts a request that found servers.
 * @param aState State to change.
 * @param aService Its service.
 * @param aWorkspace Its workspace.
 * @param aNow Current time.
 */
void
CountStart(Shortage& aState,
           const ServiceId& aService,
           const WorkspaceId& aWorkspace,
           Instant aNow);

/**
 * @brief Counts the end of a request that had found servers.
 * @param aState State to change.
 * @param aService Its service.
 * @param aNow Current time.
 */
void
CountEnd(Shortage& aState, const ServiceId& aService, Instant aNow);

/**
 * @brief Counts a request that was refused for lack of room.
 * @param aState State to change.
 * @param aService Its service.
 * @param aNow Current time.
 */
void
CountRefusal(Shortage& aState, const ServiceId& aService, Instant aNow);

} // namespace balsampoint::limit

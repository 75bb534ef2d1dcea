#pragma once

#include "balsampoint/core/error.hpp"
#include "balsampoint/edge/admission.hpp"
#include "balsampoint/edge/exchange_log.hpp"
#include "balsampoint/edge/room_queue.hpp"
#include "balsampoint/edge/server_choice.hpp"
#include "balsampoint/edge/traffic_state.hpp"
#include "balsampoint/usage/message.hpp"

#include <optional>
#include <string_view>
#include <tl/expected.hpp>

namespace balsampoint::edge {

/** @brief A request as the admission under shortage sees it. */
struct RoomRequest
{
  /** Without a ticket and a fill level. */
  limit::WaitRequest request;
  /** Whether it may wait: it is streamed and has a target. */
  bool mayWait{ false };
  /** Target for the time to the first event, within the timeout. */
  Duration target{};
  double promptTokens{};
};

/**
 * @brief Describes a request for the admission under shortage.
 * @param aTraffic State of the traffic thread.
 * @param aAdmission Route, workspace and service of the request.
 * @param aParameters Parameters of the request.
 * @param aNow Time of its arrival.
 */
[[nodiscard]] RoomRequest
MakeRoomRequest(const TrafficState& aTraffic,
                const Admission& aAdmission,
                const RequestParameters& aParameters,
                Instant aNow);

/**
 * @brief Last time at which a request can be sent and meet its target for the
 * first event.
 * @param aTraffic State of the traffic thread.
 * @param aService Its service.
 * @param aRequest The request.
 */
[[nodiscard]] Instant
LatestStart(const TrafficState& aTraffic,
            const ServiceId& aService,
            const RoomRequest& aRequest);

/** @brief One request's part in the admission under shortage: its demand, its
 * level, its wait for room. Releases its place when it is destroyed. */
class RoomWait
{
public:
  RoomWait() = default;
  RoomWait(const RoomWait&) = delete;
  RoomWait& operator=(const RoomWait&) = delete;
  RoomWait(RoomWait&&) = delete;
  RoomWait& operator=(RoomWait&&) = delete;
  // Counting throws only if memory is exhausted.
  // NOLINTNEXTLINE(bugprone-exception-escape)
  ~RoomWait() { End(); }

  /**
   * @brief Counts an admitted request as demand for its service.
   * @param aTraffic State of the traffic thread; outlives this object.
   * @param aAdmission Route, workspace and service of the request.
   * @param aParameters Parameters of the request.
   * @param aNow Time of its arrival.
   */
  void Begin(TrafficState& aTraffic,
             const Admission& aAdmission,
             const RequestParameters& aParameters,
             Instant aNow);

  /**
   * @brief Chooses servers within the level of the request, unless a waiting
   * request is served before it.
   * @param aTraffic State of the traffic thread.
   * @param aService Service to call.
   * @param aParameters Parameters of the request.
   * @param aRestrictions Restrictions on the choice.
   * @param aAnswerStarted Whether the caller has received a part of the answer;
   * no level applies to the rest of it.
   * @return The chain, or `ErrorKind::NoServer`.
   */
  [[nodiscard]] tl::expected<fleet::Chain, Error> Choose(
    TrafficState& aTraffic,
    const routing::Service& aService,
    const RequestParameters& aParameters,
    ServerRestrictions aRestrictions,
    bool aAnswerStarted);

  /**
   * @brief Waits for room if that applies to the request and room is expected
   * in time. Does nothing if it waits already.
   * @param aCallbacks Called later.
   * @return Whether the request waits.
   */
  [[nodiscard]] bool Wait(RoomQueue::Callbacks aCallbacks);

  /** @brief Whether the request's service has several urgencies, so that it may
   * ask to wait. */
  [[nodiscard]] bool Applies() const { return mTraffic != nullptr; }

  /** @brief Ends the wait of a request that has found no room; without effect
   * if it does not wait. */
  void Leave() { EndWait("ended"); }

  /** @brief Whether the request waits. */
  [[nodiscard]] bool IsWaiting() const
  {
    return mTraffic != nullptr && mTraffic->rooms.Holds(mRoom.request.ticket);
  }

  /** @brief Ends the part of the request; others may find room now. */
  void End();

  /** @brief What the log says of it; nothing if it does not apply. */
  [[nodiscard]] std::optional<RoomWaitLog> LogFields() const;

private:
  void EndWait(std::string_view aVerdict);
  void OnRefused(std::string_view aName, trace::RoomRefusal aCounted);

  /** Null before `Begin`, after `End`, and while none of this applies. */
  TrafficState* mTraffic{};
  ServiceId mService;
  RequestId mId;
  RoomRequest mRoom;
  /** Whether servers were found, so that its end frees room. */
  bool mStarted{ false };
  /** Zero while it doesn't wait. */
  Instant mWaitsSince{};
  /** Time spent waiting; absent if the request has not waited. */
  std::optional<Duration> mWaited;
  /** How its last wait ended, or why it did not wait. */
  std::string_view mVerdict;
};

/**
 * @brief Counts a refusal for lack of servers, and says when to try again: the
 * estimate of `fleet`, with random jitter for services with several urgencies.
 * @param aTraffic State of the traffic thread.
 * @param aService Service that refuses the request.
 */
[[nodiscard]] Duration
RetryAfter(TrafficState& aTraffic, const ServiceId& aService);

/**
 * @brief Takes over the demand of the other hosts, and logs and measures the
 * levels that follow from it.
 * @param aTraffic State of the traffic thread.
 * @param aOthers Sums over the other hosts.
 */
void
FollowDemand(TrafficState& aTraffic, const usage::RemoteUsage& aOthers);

/**
 * @brief Follows which services of the configuration in force have several
 * urgencies.
 * @param aTraffic State of the traffic thread.
 */
void
FollowUrgencies(TrafficState& aTraffic);

} // namespace balsampoint::edge

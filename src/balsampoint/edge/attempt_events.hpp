#pragma once

#include "balsampoint/edge/attempt.hpp"
#include "balsampoint/edge/exchange_log.hpp"
#include "balsampoint/edge/traffic_state.hpp"
#include "balsampoint/exchange/event.hpp"

namespace balsampoint::edge {

/**
 * @brief What is known of this host's link as the connection of an attempt
 * breaks.
 * @param aAttempt The attempt; has a connection.
 * @param aTraffic State of the traffic thread.
 */
[[nodiscard]] exchange::ConnectionLost
LossOf(const Attempt& aAttempt, const TrafficState& aTraffic);

/**
 * @brief What a change of this host's link means for an attempt.
 * @param aAttempt The attempt.
 * @param aTraffic State of the traffic thread.
 */
[[nodiscard]] exchange::LinkChanged
LinkChangeOf(const Attempt& aAttempt, const TrafficState& aTraffic);

/**
 * @brief What an attempt has received since this host's link was lost.
 * @param aAttempt The attempt.
 */
[[nodiscard]] exchange::LinkSilenceTime
LinkSilenceOf(const Attempt& aAttempt);

/**
 * @brief What a response says of itself, in the words of the decisions.
 * @param aAttempt The attempt; its connection has read the head.
 * @param aMetadata Contents of the head.
 * @param aRequest The request; its `Range` allows a part of a body.
 * @param aId Id of the request.
 */
[[nodiscard]] exchange::AnswerRead
AnswerOf(const Attempt& aAttempt,
         const ResponseMetadata& aMetadata,
         const wire::RequestHead& aRequest,
         const RequestId& aId);

/**
 * @brief Where a response arrived, for the log.
 * @param aAttempt The attempt; its connection has read the head.
 * @param aMetadata Contents of the head; outlives the result.
 * @param aSentAt When the request was sent.
 */
[[nodiscard]] AnswerOrigin
OriginOf(const Attempt& aAttempt,
         const ResponseMetadata& aMetadata,
         Instant aSentAt);

} // namespace balsampoint::edge

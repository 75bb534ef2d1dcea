#pragma once

#include "balsampoint/core/id.hpp"
#include "balsampoint/core/time.hpp"
#include "balsampoint/edge/admission.hpp"
#include "balsampoint/fleet/chain.hpp"
#include "balsampoint/forward/decision.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace balsampoint::edge {

/** @brief Timing of a streamed response. */
struct ResponseTimes
{
  /** Time from the request's arrival to the first event. */
  Duration toFirstEvent{};
  /** Longest time between two events sent to the caller. */
  Duration longestPause{};
};

/** @brief Admission of a request to a service with several urgencies. */
struct RoomWaitLog
{
  /** Lower is served first. */
  std::uint32_t urgency{};
  /** Highest fill level of the KV that the request could use. */
  double level{};
  /** Time that it waited for room; absent if it did not wait. */
  std::optional<Duration> waited;
  /** How its last wait ended, or why it did not wait; empty if it found room at
   * once. */
  std::string_view verdict;
};

/** @brief Fields that the log events of a request share. */
struct RequestLogFields
{
  const RequestId& request;
  const Admission& admission;
  std::span<const fleet::Hop> hops;
  /** Hash of what identifies equal requests; empty before admission. */
  std::string_view fingerprint;
  /** Parts of the prompt that other requests may share. */
  std::span<const PromptPartId> sharedParts;
  /** Number of times that the request was sent to a server. */
  std::uint32_t sent{};
  /** Number of stream events sent to the caller. */
  std::uint32_t events{};
  /** Time since the request's arrival. */
  Duration age{};
  /** Absent for services whose requests are equally urgent. */
  std::optional<RoomWaitLog> room;
};

/**
 * @brief The ids of prompt parts as one field of a log event.
 * @param aParts The parts.
 */
[[nodiscard]] std::string
PartsText(std::span<const PromptPartId> aParts);

/**
 * @brief Logs a failed attempt as `attempt_failed`.
 * @param aFields Fields of the request.
 * @param aEnd How the attempt ended.
 * @param aReason Why it failed.
 * @param aServerAtFault Address or id of the server at fault; empty if unknown.
 */
void
LogAttempt(const RequestLogFields& aFields,
           forward::AttemptEnd aEnd,
           std::string_view aReason,
           std::string_view aServerAtFault);

/** @brief Where an answer arrived that may not be the one to the request. */
struct AnswerOrigin
{
  /** Server that the request was sent to. */
  const fleet::Hop& server;
  /** HTTP status of the answer. */
  std::uint16_t status{};
  /** Request that the answer names first; empty if it names none. */
  std::string_view namedRequest;
  /** Time since the request was sent. */
  Duration sinceSent{};
};

/**
 * @brief Logs an answer that isn't the one to the request as
 * `answer_discarded`.
 * @param aRequest Request that waits for its answer.
 * @param aReason Why the answer isn't its own.
 * @param aOrigin Where the answer arrived.
 */
void
LogDiscardedAnswer(const RequestId& aRequest,
                   std::string_view aReason,
                   const AnswerOrigin& aOrigin);

/**
 * @brief Logs bytes of a server that belong to no answer as
 * `unsolicited_bytes`.
 * @param aAddress IP address and port of the server.
 * @param aSize Number of bytes that were read.
 */
void
LogUnsolicitedBytes(std::string_view aAddress, std::size_t aSize);

/**
 * @brief Logs the end of a request as `request_ended`.
 * @param aFields Fields of the request.
 * @param aOutcome How it ended, such as `answered` or `refused`.
 * @param aError Name of the error kind sent to the caller; empty for none.
 * @param aDetail Detail of that error.
 * @param aTimes Timing of the stream; absent if no event was sent.
 */
void
LogEnd(const RequestLogFields& aFields,
       std::string_view aOutcome,
       std::string_view aError,
       std::string_view aDetail,
       const std::optional<ResponseTimes>& aTimes);

} // namespace balsampoint::edge

#pragma once

#include "balsampoint/core/id.hpp"
#include "balsampoint/core/time.hpp"
#include "balsampoint/edge/admission.hpp"
#include "balsampoint/fleet/chain.hpp"
#include "balsampoint/forward/decision.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace balsampoint::edge {

/** @brief Times of one answer on its way to the caller. */
struct AnswerTimes
{
  Duration toFirstEvent{};
  Duration longestPause{};
};

/** @brief What both kinds of lines on a request say. */
struct RequestFacts
{
  const RequestId& request;
  const Admission& admission;
  std::span<const fleet::Hop> hops;
  /** Times that it was sent to a server. */
  std::uint32_t sent{};
  /** Events passed on to the caller. */
  std::uint32_t events{};
  /** Time since its arrival. */
  Duration age{};
};

/**
 * @brief Logs an attempt that failed.
 * @param aFacts The request.
 * @param aEnd How the attempt ended.
 * @param aReason Why it failed.
 * @param aFault The server at fault; empty if not known.
 */
void
LogAttempt(const RequestFacts& aFacts,
           forward::AttemptEnd aEnd,
           std::string_view aReason,
           std::string_view aFault);

/**
 * @brief Logs the end of a request.
 * @param aFacts The request.
 * @param aHow How it ended.
 * @param aError Name of the error kind that the caller was told; may be empty.
 * @param aDetail What was missing.
 * @param aTimes Times of the answer; absent if none began.
 */
void
LogEnd(const RequestFacts& aFacts,
       std::string_view aHow,
       std::string_view aError,
       std::string_view aDetail,
       const std::optional<AnswerTimes>& aTimes);

} // namespace balsampoint::edge

#pragma once

#include "balsampoint/core/time.hpp"
#include "balsampoint/routing/document.hpp"

#include <cstdint>

namespace balsampoint::forward {

/** @brief How an attempt ended without a complete, successful answer. */
enum class AttemptEnd : std::uint8_t
{
  /** No byte of the request can have reached a server. */
  NotSent,
  /** The server reported that it has not executed the request. */
  NotExecuted,
  /** The server answered with an error. */
  ServerFailed,
  /** The connection broke or the answer is invalid. */
  Broken,
};

/** @brief Progress of a request over its attempts so far. */
struct Progress
{
  routing::RequestKind kind{ routing::RequestKind::NonIdempotent };
  /** Number of attempts in which the request was sent. */
  std::uint32_t sent{};
  /** Number of attempts that failed before anything was sent. */
  std::uint32_t failedBeforeSend{};
  /** Whether a server may have started to execute the request. */
  bool mayHaveRun{ false };
  /** Whether a part of the answer was already sent to the caller. */
  bool answerStarted{ false };
  Instant deadline{};
};

/** @brief What to do after an attempt. */
enum class Decision : std::uint8_t
{
  /** Send the request to another server; the caller has received nothing. */
  Retry,
  /** Continue the stream on another server. */
  Resume,
  /** Forward the server's error answer to the caller. */
  PassOn,
  /** Refuse the request; it was certainly not executed. */
  Refuse,
  /** Report that the request failed; it may have been executed. */
  Fail,
  /** Abort the answer, so that the caller sees it as incomplete. */
  Abort,
};

/**
 * @brief Whether a decision requires a further attempt.
 * @param aDecision The decision.
 */
[[nodiscard]] constexpr bool
NeedsAttempt(Decision aDecision)
{
  return aDecision == Decision::Retry || aDecision == Decision::Resume;
}

/**
 * @brief Whether requests of a kind are answered by an event stream.
 * @param aKind The kind.
 */
[[nodiscard]] constexpr bool
IsStream(routing::RequestKind aKind)
{
  return aKind == routing::RequestKind::Stream ||
         aKind == routing::RequestKind::ResumableStream;
}

/**
 * @brief Whether requests of a kind may be executed more than once.
 * @param aKind The kind.
 */
[[nodiscard]] bool
MayRepeat(routing::RequestKind aKind);

/** @brief Maximum number of attempts that fail before anything is sent. */
inline constexpr std::uint32_t kMaxFailedBeforeSend = 4;
/** @brief Maximum number of times that one request is sent. */
inline constexpr std::uint32_t kMaxSent = 4;
/** @brief Minimum time left to the deadline for a further attempt. */
inline constexpr Duration kMinAttemptTime = std::chrono::milliseconds{ 20 };

/**
 * @brief Decides what follows an attempt without a complete, successful answer.
 * @param aProgress The request, this attempt included.
 * @param aEnd How the attempt ended.
 * @param aNow Current time.
 * @return What to do; `Retry` and `Resume` also need a retry from the budget if
 * the request was sent before.
 */
[[nodiscard]] Decision
Decide(const Progress& aProgress, AttemptEnd aEnd, Instant aNow);

/**
 * @brief Decides the outcome when no further attempt is made.
 * @param aProgress The request.
 * @param aEnd How the last attempt ended.
 */
[[nodiscard]] Decision
GiveUp(const Progress& aProgress, AttemptEnd aEnd);

} // namespace balsampoint::forward

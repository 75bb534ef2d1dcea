#pragma once

#include "balsampoint/core/time.hpp"
#include "balsampoint/routing/document.hpp"

#include <cstdint>

namespace balsampoint::forward {

/** @brief How an attempt ended without a whole good answer. */
enum class AttemptEnd : std::uint8_t
{
  /** No byte of the request can have reached a server. */
  NotSent,
  /** The server said that it has not run the request. */
  NotExecuted,
  /** The server answered that it failed. */
  ServerFailed,
  /** The connection broke or the answer can't be used. */
  Broken,
};

/** @brief What has become of a request so far. */
struct Progress
{
  routing::RequestKind kind{ routing::RequestKind::NonIdempotent };
  /** Times that the request was sent to a server. */
  std::uint32_t sent{};
  /** Connections that failed before anything was sent. */
  std::uint32_t unsent{};
  /** Whether a server may have begun to run it. */
  bool maybeRun{ false };
  /** Whether the caller has got a part of the answer. */
  bool answering{ false };
  Instant deadline{};
};

/** @brief What to do next. */
enum class Verdict : std::uint8_t
{
  /** Try another server; the answer has not begun. */
  Retry,
  /** Let another server continue the stream. */
  Resume,
  /** Pass the server's failure on. */
  PassOn,
  /** Refuse: the request has certainly not run. */
  Refuse,
  /** Say that the request failed; it may have run. */
  Fail,
  /** Break the answer off, so that it looks incomplete. */
  Cut,
};

/**
 * @brief Whether a verdict asks for a further attempt.
 * @param aVerdict The verdict.
 */
[[nodiscard]] constexpr bool
GoesOn(Verdict aVerdict)
{
  return aVerdict == Verdict::Retry || aVerdict == Verdict::Resume;
}

/** @brief Connections that may fail before a request is given up. */
inline constexpr std::uint32_t kMaxUnsent = 4;
/** @brief Times that one request is sent to servers at most. */
inline constexpr std::uint32_t kMaxSent = 4;
/** @brief Time below which no further attempt is made. */
inline constexpr Duration kLeastTime = std::chrono::milliseconds{ 20 };

/**
 * @brief Decides what follows an attempt without a whole good answer.
 * @param aProgress The request, this attempt included.
 * @param aEnd How the attempt ended.
 * @param aNow The time.
 * @return What to do; `Retry` and `Resume` still need a token of the budget
 * where the request has reached a server.
 */
[[nodiscard]] Verdict
Decide(const Progress& aProgress, AttemptEnd aEnd, Instant aNow);

/**
 * @brief What follows when there is no further attempt.
 * @param aProgress The request.
 * @param aEnd How the last attempt ended.
 */
[[nodiscard]] Verdict
GiveUp(const Progress& aProgress, AttemptEnd aEnd);

} // namespace balsampoint::forward

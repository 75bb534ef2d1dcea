#pragma once

#include "balsampoint/core/id.hpp"
#include "balsampoint/core/time.hpp"
#include "balsampoint/fleet/chain.hpp"
#include "balsampoint/forward/decision.hpp"

#include <cstdint>
#include <set>
#include <vector>

namespace balsampoint::exchange {

/** @brief Phase of a request. */
enum class Phase : std::uint8_t
{
  /** It has arrived; the verdict of admission is awaited. */
  Admitted,
  /** No attempt is in progress; one is to follow. */
  Waiting,
  /** An attempt is in progress; the caller has received nothing. */
  Attempt,
  /** The servers of the attempt have sent events to the caller. */
  Answering,
  /** An attempt is in progress after a break in mid-answer. */
  Resuming,
  /** The caller was answered, cut off or has left. */
  Ended,
};

/** @brief Number of phases. */
inline constexpr std::size_t kPhases = 6;

/** @brief What a request in `Phase::Waiting` waits for. */
enum class WaitReason : std::uint8_t
{
  /** The hosts tell each other which requests came again. */
  Retry,
  /** Servers that can continue the stream. */
  Room,
  /** Free capacity for the first attempt. */
  Queue,
};

/** @brief Step of the attempt in progress. */
enum class Step : std::uint8_t
{
  /** No attempt is in progress. */
  None,
  /** Servers are being chosen. */
  Choosing,
  /** A connection to it is being opened. */
  Connecting,
  /** The request was sent. */
  Sent,
  /** The connection broke; its server is probed. */
  Probing,
  /** The server refuses the probe; the link is checked. */
  CheckingLink,
};

/** @brief State of the attempt in progress. */
struct AttemptState
{
  /** Servers of the attempt; the first one receives the request. */
  std::vector<fleet::Hop> hops;
  /** Whether another host opened its connection, once that broke. */
  bool byDetour{ false };
  /** Number of interim answers. */
  std::uint32_t interimAnswers{};
  /** Whether what its answer says of the server was followed. */
  bool statementsRead{ false };
  /** Whether the response in progress was logged as not the answer. */
  bool strangeAnswerLogged{ false };
  /** Value of `Progress::mayHaveRun` before it. */
  bool mayHaveRunBefore{ false };
};

/** @brief State of one request. */
struct State
{
  Phase phase{ Phase::Admitted };
  Step step{ Step::None };
  WaitReason waitReason{};
  forward::Progress progress;
  /** Maximum number of distinct servers that the request is sent to. */
  std::uint32_t maxReceivers{};
  /** Servers that failed an attempt. */
  std::set<ServerId> failed;
  /** Servers to which the request was sent. */
  std::set<ServerId> receivers;
  AttemptState attempt;
  /** How the attempt before `WaitReason::Retry` ended. */
  forward::AttemptEnd lastEnd{};
  /** When the request was last sent. */
  Instant sentAt{};
  /** When the caller last received events. */
  Instant lastEventAt{};
  /** When the link was found lost, for `TimerName::LinkSilence`. */
  Instant linkLostAt{};
};

/**
 * @brief Servers that may receive the next attempt; empty for any. Once the
 * request was sent to the maximum number of servers, only these are allowed.
 * @param aState The request.
 */
[[nodiscard]] inline std::set<ServerId>
AllowedReceivers(const State& aState)
{
  return aState.receivers.size() >= aState.maxReceivers ? aState.receivers
                                                        : std::set<ServerId>{};
}

} // namespace balsampoint::exchange

#pragma once

#include "balsampoint/core/error.hpp"
#include "balsampoint/core/time.hpp"
#include "balsampoint/ledger/replicated.hpp"

#include <cstdint>
#include <tl/expected.hpp>
#include <variant>

namespace balsampoint::ledger {

/** @brief Timeouts and size limits of one keyed call. */
struct CallLimits
{
  /** Timeout of the proposal of a claim. */
  Duration proposalTimeout{ std::chrono::seconds{ 2 } };
  /** Longest time that an answer is held back until its record is durable. */
  Duration recordTimeout{ std::chrono::seconds{ 1 } };
  /** Delay before a claim in doubt is proposed again; doubles each time. */
  Duration firstRetryDelay{ std::chrono::milliseconds{ 50 } };
  /** Claims proposed before a key in doubt is reported to the caller. */
  std::uint32_t maxClaims{ 6 };
  /** Largest recorded answer, headers and body, in bytes. */
  std::uint64_t maxAnswerBytes{ 16ULL << 10U };
};

/** @brief Phase of a call on its entry host. */
enum class CallPhase : std::uint8_t
{
  Claiming,
  /** Another claim holds the key; this one is proposed again later. */
  Waiting,
  Dispatching,
  Recording,
  Answered,
};

/** @brief A non-idempotent call with an idempotency key, on its entry host. */
struct Call
{
  Claim claim;
  /** Deadline that the caller set. */
  Instant deadline{};
  CallLimits limits;
  CallPhase phase{ CallPhase::Claiming };
  /** How many claims found the key in doubt. */
  std::uint32_t inDoubtCount{};
  /** The answer that is being recorded; set in phase `Recording`. */
  StoredAnswer answer;
};

/** @brief The control group applied the claim. */
struct ClaimDecided
{
  Outcome outcome;
};

/** @brief The claim was refused or not decided in time. */
struct ClaimFailed
{
  Error error;
  /** Whether the claim may still be applied later. */
  bool mayApply{ true };
};

/** @brief The delay requested by `Wait` has passed. */
struct WaitEnded
{};

/** @brief The backend server executed the call and answered. */
struct DispatchAnswered
{
  StoredAnswer answer;
};

/** @brief The call was provably not executed. */
struct DispatchNotExecuted
{
  Error error;
};

/** @brief It is unknown whether the call was executed. */
struct DispatchOutcomeUnknown
{
  Error error;
};

/** @brief The record was committed, or its timeout passed. */
struct RecordEnded
{
  bool durable{};
};

/** @brief Events of a call. */
using CallEvent = std::variant<ClaimDecided,
                               ClaimFailed,
                               WaitEnded,
                               DispatchAnswered,
                               DispatchNotExecuted,
                               DispatchOutcomeUnknown,
                               RecordEnded>;

/** @brief Propose the command and report its outcome. */
struct Propose
{
  Command command;
  Instant until{};
};

/** @brief Propose the command in the background, without a result. */
struct ProposeDetached
{
  Command command;
};

/** @brief Send the call to a backend server, once. */
struct Dispatch
{};

/** @brief Deliver `WaitEnded` at the given time. */
struct Wait
{
  Instant until{};
};

/** @brief Answer the caller. This is the last action of a call. */
struct Reply
{
  tl::expected<StoredAnswer, Error> answer;
};

/** @brief Actions that the entry host performs for a call. */
using CallAction =
  std::variant<Propose, ProposeDetached, Dispatch, Wait, Reply>;

} // namespace balsampoint::ledger

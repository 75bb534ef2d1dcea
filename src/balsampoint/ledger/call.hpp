#pragma once

#include "balsampoint/core/error.hpp"
#include "balsampoint/core/time.hpp"
#include "balsampoint/ledger/replicated.hpp"

#include <cstdint>
#include <tl/expected.hpp>
#include <variant>

namespace balsampoint::ledger {

/** @brief How long the steps of a call may take. */
struct CallLimits
{
  /** Time for one proposal to be decided. */
  Duration proposal{ std::chrono::seconds{ 2 } };
  /** Time to wait for an answer to become durable before it is passed on. */
  Duration record{ std::chrono::seconds{ 1 } };
  /** Wait before the second look at a key in doubt; doubles each time. */
  Duration firstLook{ std::chrono::milliseconds{ 50 } };
  /** How often a key in doubt is looked at before the caller is told. */
  std::uint32_t looks{ 6 };
  /** Headers and body of an answer that is recorded, in bytes at most. */
  std::uint64_t answerBytes{ 16ULL << 10U };
};

/** @brief Where a call stands on its entry host. */
enum class CallPhase : std::uint8_t
{
  Claiming,
  /** Another claim holds the key; looks again later. */
  Waiting,
  Dispatching,
  Recording,
  Answered,
};

/** @brief One keyed non-idempotent call on its entry host. */
struct Call
{
  Claim claim;
  /** When the caller's patience ends. */
  Instant deadline{};
  CallLimits limits;
  CallPhase phase{ CallPhase::Claiming };
  std::uint32_t looks{};
  /** The answer that is being recorded. */
  StoredAnswer answer;
};

/** @brief The claim was decided by the table. */
struct ClaimDecided
{
  Outcome outcome;
};

/** @brief No decision on the claim arrived. */
struct ClaimLost
{
  Error error;
  /** Whether the claim may still be applied later. */
  bool mayApply{ true };
};

/** @brief The wait for another look is over. */
struct WaitEnded
{};

/** @brief The backend server answered; the work ran. */
struct DispatchAnswered
{
  StoredAnswer answer;
};

/** @brief The work provably never began. */
struct DispatchNeverBegan
{
  Error error;
};

/** @brief The work may or may not have run. */
struct DispatchUnknown
{
  Error error;
};

/** @brief The record is durable, or could not be made so in time. */
struct RecordEnded
{
  bool durable{};
};

/** @brief What may happen to a call. */
using CallEvent = std::variant<ClaimDecided,
                               ClaimLost,
                               WaitEnded,
                               DispatchAnswered,
                               DispatchNeverBegan,
                               DispatchUnknown,
                               RecordEnded>;

/** @brief Propose the command and report its outcome. */
struct Propose
{
  Command command;
  Instant until{};
};

/** @brief Propose the command until it is applied; nobody waits for it. */
struct ProposeLater
{
  Command command;
};

/** @brief Send the call to a backend server, once. */
struct Dispatch
{};

/** @brief Report `WaitEnded` at a time. */
struct Wait
{
  Instant until{};
};

/** @brief Answer the caller; the call is over. */
struct Reply
{
  tl::expected<StoredAnswer, Error> answer;
};

/** @brief What the entry host has to do for a call. */
using CallAction = std::variant<Propose, ProposeLater, Dispatch, Wait, Reply>;

} // namespace balsampoint::ledger

#pragma once

#include "balsampoint/core/error.hpp"
#include "balsampoint/core/time.hpp"
#include "balsampoint/ledger/key.hpp"

#include <variant>

namespace balsampoint::ledger {

/** @brief Claims the right to execute the call of a key. */
struct Claim
{
  Key key;
  Digest digest{};
  ClaimId id;

  auto operator<=>(const Claim&) const = default;
};

/** @brief Stores the answer of an executed call. */
struct Record
{
  Key key;
  ClaimId id;
  StoredAnswer answer;

  auto operator<=>(const Record&) const = default;
};

/**
 * @brief Releases a claim. Sent by the claimant when the call was provably not
 * executed and the claimant will not send it.
 */
struct Release
{
  Key key;
  ClaimId id;

  auto operator<=>(const Release&) const = default;
};

/**
 * @brief Advances the table's time.
 *
 * The proposer saw the table's time change to `from` and has measured `by`
 * since then on its own monotonic clock. The step has no effect if the table's
 * time is no longer `from`, so it never runs ahead of the real elapsed time.
 */
struct TimeStep
{
  Duration from{};
  Duration by{};

  auto operator<=>(const TimeStep&) const = default;
};

/** @brief Commands that the control group replicates for this module. */
using Command = std::variant<Claim, Record, Release, TimeStep>;

/** @brief The claimant may execute the call. */
struct Granted
{
  auto operator<=>(const Granted&) const = default;
};

/** @brief The call was executed before; holds its stored answer. */
struct Repeated
{
  StoredAnswer answer;

  auto operator<=>(const Repeated&) const = default;
};

/** @brief Another claim holds the key and no answer is recorded: its call is
 * still running or its outcome is unknown. */
struct InDoubt
{
  ClaimId holder;

  auto operator<=>(const InDoubt&) const = default;
};

/** @brief The command was applied and has no result. */
struct Done
{
  auto operator<=>(const Done&) const = default;
};

/** @brief Result of a command; equal on all replicas. */
using Outcome = std::variant<Granted, Repeated, InDoubt, Done, Error>;

} // namespace balsampoint::ledger

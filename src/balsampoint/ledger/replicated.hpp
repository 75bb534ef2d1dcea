#pragma once

#include "balsampoint/core/error.hpp"
#include "balsampoint/core/time.hpp"
#include "balsampoint/ledger/key.hpp"

#include <variant>

namespace balsampoint::ledger {

/** @brief Asks for the right to run the call of a key. */
struct Claim
{
  Key key;
  Digest digest{};
  ClaimId id;

  auto operator<=>(const Claim&) const = default;
};

/** @brief Stores the answer of a call that ran. */
struct Record
{
  Key key;
  ClaimId id;
  StoredAnswer answer;

  auto operator<=>(const Record&) const = default;
};

/**
 * @brief Gives a claim back, by its claimant, when the call provably never
 * began and the claimant will never send it.
 */
struct Release
{
  Key key;
  ClaimId id;

  auto operator<=>(const Release&) const = default;
};

/**
 * @brief Moves the table's time on.
 *
 * The proposer saw the table at `from` and measured `by` on its own monotonic
 * clock since then. The step is void when the table has moved meanwhile, so
 * the table's time never runs ahead of the time that has really passed.
 */
struct TimeStep
{
  Duration from{};
  Duration by{};

  auto operator<=>(const TimeStep&) const = default;
};

/** @brief What the control group replicates for this module. */
using Command = std::variant<Claim, Record, Release, TimeStep>;

/** @brief The claimant may run the call. */
struct Granted
{
  auto operator<=>(const Granted&) const = default;
};

/** @brief The call ran before; this is its answer. */
struct Repeated
{
  StoredAnswer answer;

  auto operator<=>(const Repeated&) const = default;
};

/** @brief Another claim holds the key and has no answer yet, or never will. */
struct InDoubt
{
  ClaimId holder;

  auto operator<=>(const InDoubt&) const = default;
};

/** @brief The command was carried out and has no result. */
struct Done
{
  auto operator<=>(const Done&) const = default;
};

/** @brief Result of a command, the same on each replica. */
using Outcome = std::variant<Granted, Repeated, InDoubt, Done, Error>;

} // namespace balsampoint::ledger

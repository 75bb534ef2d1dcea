#pragma once

#include "balsampoint/ledger/replicated.hpp"

#include <cstdint>
#include <variant>

namespace balsampoint::ledger {

/** @brief Tells the questions of one host apart, its restarts included. */
struct AskId
{
  Incarnation incarnation;
  std::uint64_t number{};

  auto operator<=>(const AskId&) const = default;
};

/** @brief Asks the leader of the control group to replicate a command. */
struct Ask
{
  /** Chosen by the sender; the answer repeats it. */
  AskId id;
  Command command;

  bool operator==(const Ask&) const = default;
};

/** @brief The command was applied. */
struct Told
{
  AskId id;
  Outcome outcome;
};

/** @brief The receiver of an `Ask` can't replicate it. */
struct NotLeader
{
  AskId id;
  /** Whom it takes for the leader; empty when it knows none. */
  HostId leader;
};

/** @brief What hosts send one another for this module. */
using Message = std::variant<Ask, Told, NotLeader>;

} // namespace balsampoint::ledger

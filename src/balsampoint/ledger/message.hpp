#pragma once

#include "balsampoint/ledger/replicated.hpp"

#include <cstdint>
#include <variant>

namespace balsampoint::ledger {

/** @brief Identifies a forwarded command of one host, across its restarts. */
struct AskId
{
  Incarnation incarnation;
  std::uint64_t number{};

  auto operator<=>(const AskId&) const = default;
};

/** @brief Requests the leader of the control group to replicate a command. */
struct Ask
{
  /** Chosen by the sender and repeated in the reply. */
  AskId id;
  Command command;

  bool operator==(const Ask&) const = default;
};

/** @brief Reply to an `Ask`: the command was applied. */
struct Told
{
  AskId id;
  Outcome outcome;
};

/** @brief Reply to an `Ask` that the receiver can't replicate. */
struct NotLeader
{
  AskId id;
  /** The leader as the receiver knows it; empty if it knows none. */
  HostId leader;
};

/** @brief Messages that hosts exchange for this module. */
using Message = std::variant<Ask, Told, NotLeader>;

} // namespace balsampoint::ledger

#pragma once

#include "balsampoint/ledger/replicated.hpp"

#include <cstdint>
#include <variant>

namespace balsampoint::ledger {

/** @brief Identifies a forwarded command of one host, across its restarts. */
struct ForwardId
{
  Incarnation incarnation;
  std::uint64_t number{};

  auto operator<=>(const ForwardId&) const = default;
};

/** @brief Requests the leader of the control group to replicate a command. */
struct ForwardRequest
{
  /** Chosen by the sender and repeated in the reply. */
  ForwardId id;
  Command command;

  bool operator==(const ForwardRequest&) const = default;
};

/** @brief Reply to a `ForwardRequest`: the command was applied. */
struct ForwardReply
{
  ForwardId id;
  Outcome outcome;
};

/** @brief Reply to a `ForwardRequest` that the receiver can't replicate. */
struct NotLeader
{
  ForwardId id;
  /** The leader as the receiver knows it; empty if it knows none. */
  HostId leader;
};

/** @brief Messages that hosts exchange for this module. */
using Message = std::variant<ForwardRequest, ForwardReply, NotLeader>;

} // namespace balsampoint::ledger

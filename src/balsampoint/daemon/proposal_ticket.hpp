#pragma once

#include "balsampoint/core/number.hpp"
#include "balsampoint/peer/control_codec.hpp"

namespace balsampoint::daemon {

/** @brief Bits of a log ticket that hold the number within its owner. */
inline constexpr unsigned kTicketBits = 56;

/**
 * @brief Makes the ticket of a proposal unique among all tables.
 * @param aTable The table that proposes.
 * @param aTicket Ticket within that table's module.
 */
[[nodiscard]] constexpr Ticket
ProposalTicket(peer::TableTag aTable, Ticket aTicket)
{
  const auto owner = static_cast<std::uint64_t>(aTable) << kTicketBits;
  return Ticket{ owner | aTicket.Value() };
}

/**
 * @brief The table that a ticket belongs to; zero for an operator's request.
 * @param aTicket Ticket of the log.
 */
[[nodiscard]] constexpr std::uint64_t
OwnerOf(Ticket aTicket)
{
  return aTicket.Value() >> kTicketBits;
}

/**
 * @brief The ticket within its owner's module.
 * @param aTicket Ticket of the log.
 */
[[nodiscard]] constexpr Ticket
WithinOwner(Ticket aTicket)
{
  constexpr std::uint64_t kMask = (1ULL << kTicketBits) - 1;
  return Ticket{ aTicket.Value() & kMask };
}

} // namespace balsampoint::daemon

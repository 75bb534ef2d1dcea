#include "balsampoint/roster/command/confirm_departures.hpp"

#include <algorithm>

namespace balsampoint::roster {

namespace {

/** @brief Whether enough control hosts have a version of this host's claims. */
bool
HasCopies(const State& aState, std::uint64_t aVersion)
{
  const auto known = aState.sources.size() + 1;
  const auto wanted = std::min(aState.settings.departureCopies, known);
  const auto confirmed =
    std::ranges::count_if(aState.subscribers, [&](const auto& aEntry) {
      const auto& subscriber = aEntry.second;
      return subscriber.role == Role::Control &&
             subscriber.confirmedVersion >= aVersion;
    });
  return static_cast<std::size_t>(confirmed) + 1 >= wanted;
}

} // namespace

void
AnswerOnceCopied(State& aState,
                 Ticket aTicket,
                 std::uint64_t aVersion,
                 Instant aNow,
                 Actions& aActions)
{
  if (aTicket == Ticket{}) {
    return;
  }
  aState.departures.push_back(
    { .ticket = aTicket,
      .version = aVersion,
      .deadline = aNow + aState.settings.departureTimeout });
  SettleDepartures(aState, aNow, aActions);
}

void
SettleDepartures(State& aState, Instant aNow, Actions& aActions)
{
  std::erase_if(aState.departures, [&](const Departure& aDeparture) {
    const bool copied = HasCopies(aState, aDeparture.version);
    if (!copied && aNow < aDeparture.deadline) {
      return false;
    }
    aActions.emplace_back(DepartureAnswered{ aDeparture.ticket, copied });
    return true;
  });
}

void
AdoptDeparture(State& aState, const Claim& aClaim, Instant aNow)
{
  const bool departed =
    aClaim.presence == Presence::Leaving || aClaim.presence == Presence::Gone;
  if (aState.role != Role::Control || !departed) {
    return;
  }
  aState.localServers[aClaim.server] = { .claim = aClaim,
                                         .lastHeartbeatAt = aNow,
                                         .version = ++aState.version,
                                         .advertisedStamp = aClaim.stamp,
                                         .adopted = true };
}

Instant
NextDepartureDeadline(const State& aState)
{
  const auto earliest =
    std::ranges::min_element(aState.departures, {}, &Departure::deadline);
  return earliest == aState.departures.end() ? kNever : earliest->deadline;
}

} // namespace balsampoint::roster

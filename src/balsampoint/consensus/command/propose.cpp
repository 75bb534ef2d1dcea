#include "balsampoint/consensus/command/propose.hpp"

#include "balsampoint/consensus/command/replicate.hpp"
#include "balsampoint/consensus/internal/log.hpp"

#include <optional>

namespace balsampoint::consensus {

namespace {

std::optional<Error>
Refusal(const State& aState, const Propose& aEvent)
{
  if (aState.storageFailed) {
    return MakeError(ErrorKind::StorageFailed, "this host's disk has failed");
  }
  if (aState.role != Role::Leader) {
    return MakeError(ErrorKind::ControlUnavailable,
                     "this host does not lead the control group");
  }
  if (!aState.handOverTo.Empty()) {
    return MakeError(ErrorKind::ControlUnavailable,
                     "the leader is handing over leadership");
  }
  if (aEvent.command.size() > aState.settings.maxCommandBytes) {
    return MakeError(ErrorKind::PayloadTooLarge,
                     "the command is too large for the log");
  }
  return std::nullopt;
}

} // namespace

void
HandlePropose(State& aState,
              const Propose& aEvent,
              Instant aNow,
              Actions& aActions)
{
  if (auto refusal = Refusal(aState, aEvent)) {
    refusal->executed = Executed::No;
    aActions.emplace_back(Refused{ aEvent.ticket, std::move(*refusal) });
    return;
  }
  AppendLocal(aState,
              Entry{ .kind = EntryKind::Command, .command = aEvent.command },
              aActions);
  aState.proposals[internal::LastIndex(aState.log)] = { aState.hard.term,
                                                        aEvent.ticket };
  Broadcast(aState, aNow, aActions);
}

} // namespace balsampoint::consensus

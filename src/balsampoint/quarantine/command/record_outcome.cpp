#include "balsampoint/quarantine/command/record_outcome.hpp"

#include "balsampoint/quarantine/internal/judge.hpp"

#include <algorithm>

namespace balsampoint::quarantine {

void
RecordCrash(State& aState,
            std::span<const SuspectId> aIds,
            const CrashedServer& aServer,
            Instant aNow,
            AnswerProgress aProgress)
{
  if (aIds.empty()) {
    return;
  }
  // A reset of a connection accuses prompt parts alone.
  if (aIds.front().kind == SuspectKind::Request) {
    aState.crashedServers.emplace(aServer, aNow);
  }
  for (const auto& id : aIds) {
    auto& suspect = aState.suspects[id];
    if (suspect.crashes.emplace(aServer, aNow).second) {
      suspect.doubtedUntil =
        std::max(suspect.doubtedUntil, internal::DoubtEnd(aState, aNow));
    }
    suspect.activeAt = aNow;
    suspect.answersBegan =
      suspect.answersBegan && aProgress == AnswerProgress::Begun;
  }
  internal::Judge(aState, aNow);
}

void
RecordAnswer(State& aState, std::span<const SuspectId> aIds, Instant aNow)
{
  const auto before = aState.suspects.size();
  for (const auto& id : aIds) {
    if (id.kind == SuspectKind::Request) {
      internal::Clear(aState, id, aNow);
      aState.answeredRequests.Record(id, aNow);
    } else {
      internal::RecordPartAnswer(aState, id, aNow).here = aNow;
    }
  }
  if (aState.suspects.size() != before) {
    internal::Judge(aState, aNow);
  }
}

} // namespace balsampoint::quarantine

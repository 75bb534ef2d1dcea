#include "balsampoint/quarantine/command/record_outcome.hpp"

#include "balsampoint/quarantine/internal/judge.hpp"

namespace balsampoint::quarantine {

void
RecordCrash(State& aState,
            std::span<const PromptPartId> aParts,
            const CrashedServer& aServer,
            Instant aNow)
{
  if (aParts.empty()) {
    return;
  }
  for (const auto& part : aParts) {
    auto& suspect = aState.suspects[part];
    suspect.crashes.emplace(aServer, aNow);
    suspect.activeAt = aNow;
  }
  internal::Judge(aState, aNow);
}

void
RecordAnswer(State& aState, std::span<const PromptPartId> aParts, Instant aNow)
{
  const auto before = aState.suspects.size();
  for (const auto& part : aParts) {
    internal::Clear(aState, part, aNow).here = aNow;
  }
  if (aState.suspects.size() != before) {
    internal::Judge(aState, aNow);
  }
}

} // namespace balsampoint::quarantine

#include "balsampoint/quarantine/command/admit.hpp"

#include "balsampoint/quarantine/internal/judge.hpp"

namespace balsampoint::quarantine {

std::optional<Duration>
Admit(State& aState, std::span<const PromptPartId> aParts, Instant aNow)
{
  const auto* verdict = internal::FindVerdict(aState, aParts);
  if (verdict == nullptr) {
    return std::nullopt;
  }
  for (const auto& part : verdict->parts) {
    aState.suspects.at(part).activeAt = aNow;
  }
  const auto interval = aState.settings.trialInterval * aState.hosts;
  const auto [trial, first] =
    aState.nextTrials.try_emplace(verdict->parts.front(), aNow + interval);
  if (aNow < trial->second) {
    return trial->second - aNow;
  }
  trial->second = aNow + interval;
  return std::nullopt;
}

} // namespace balsampoint::quarantine

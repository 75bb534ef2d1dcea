#include "balsampoint/quarantine/command/admit.hpp"

#include "balsampoint/quarantine/internal/judge.hpp"

namespace balsampoint::quarantine {

namespace {

/** @brief Time to this host's first trial: the hosts' trials are spread over as
 * many intervals as there are hosts. */
Duration
FirstTrialAfter(State& aState)
{
  const auto interval = aState.settings.trialInterval;
  const auto spread =
    static_cast<std::uint64_t>((interval * aState.hosts).count());
  return interval +
         Duration{ static_cast<Duration::rep>(aState.random.Next() % spread) };
}

} // namespace

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
  const auto& part = verdict->parts.front();
  const auto interval = aState.settings.trialInterval * aState.hosts;
  auto trial = aState.nextTrials.find(part);
  if (trial == aState.nextTrials.end()) {
    trial =
      aState.nextTrials.emplace(part, aNow + FirstTrialAfter(aState)).first;
  }
  if (aNow < trial->second) {
    return trial->second - aNow;
  }
  trial->second = aNow + interval;
  return std::nullopt;
}

} // namespace balsampoint::quarantine

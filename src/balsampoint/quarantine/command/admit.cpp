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

/** @brief Time for which a request that a server has crashed under is refused;
 * nothing if it may be tried, or if it isn't in doubt. */
std::optional<Duration>
DoubtedFor(State& aState, std::span<const SuspectId> aIds, Instant aNow)
{
  for (const auto& id : aIds) {
    const auto found = aState.suspects.find(id);
    if (id.kind != SuspectKind::Request || found == aState.suspects.end() ||
        internal::IsKnown(aState, id)) {
      continue;
    }
    auto& suspect = found->second;
    // Its caller resumes an answer that had begun.
    if (suspect.answersBegan) {
      continue;
    }
    suspect.cameAgain = true;
    suspect.activeAt = aNow;
    if (aNow < suspect.doubtedUntil) {
      return suspect.doubtedUntil - aNow;
    }
    // One at a time: the next one waits for the outcome of this one.
    suspect.doubtedUntil = aNow + aState.settings.doubtTime;
  }
  return std::nullopt;
}

} // namespace

std::optional<Duration>
Admit(State& aState, std::span<const SuspectId> aIds, Instant aNow)
{
  const auto* verdict = internal::FindVerdict(aState, aIds);
  if (verdict == nullptr) {
    return DoubtedFor(aState, aIds, aNow);
  }
  for (const auto& id : verdict->suspects) {
    aState.suspects.at(id).activeAt = aNow;
  }
  const auto& id = verdict->suspects.front();
  const auto interval = aState.settings.trialInterval * aState.hosts;
  auto trial = aState.nextTrials.find(id);
  if (trial == aState.nextTrials.end()) {
    trial = aState.nextTrials.emplace(id, aNow + FirstTrialAfter(aState)).first;
  }
  if (aNow < trial->second) {
    return trial->second - aNow;
  }
  trial->second = aNow + interval;
  return std::nullopt;
}

} // namespace balsampoint::quarantine

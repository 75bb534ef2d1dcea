#include "balsampoint/quarantine/internal/judge.hpp"

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

namespace balsampoint::quarantine::internal {

namespace {

using Suspects = std::map<SuspectId, Suspect>;

/** @brief Number of crashes, where those close together count once. */
std::size_t
CountSeparated(const Suspect& aSuspect, Duration aSeparation)
{
  std::vector<Instant> times;
  times.reserve(aSuspect.crashes.size());
  for (const auto& [server, at] : aSuspect.crashes) {
    times.push_back(at);
  }
  std::ranges::sort(times);
  std::size_t count = 0;
  Instant last{};
  for (const auto at : times) {
    if (count > 0 && at - last < aSeparation) {
      continue;
    }
    ++count;
    last = at;
  }
  return count;
}

Instant
FirstCrash(const Suspect& aSuspect)
{
  auto first = kNever;
  for (const auto& [server, at] : aSuspect.crashes) {
    first = std::min(first, at);
  }
  return first;
}

/** @brief Removes what one suspect explains from the evidence against others.
 */
void
RemoveCrashes(Suspects& aSuspects, const Suspect& aExplaining)
{
  for (auto& [id, suspect] : aSuspects) {
    std::erase_if(suspect.crashes, [&aExplaining](const auto& aCrash) {
      return aExplaining.crashes.contains(aCrash.first);
    });
  }
  std::erase_if(aSuspects, [](const auto& aEntry) {
    return aEntry.second.crashes.empty();
  });
}

/** @brief Adds verdicts on the suspects with the same crashes as the strongest
 * one, and removes these crashes: one for each request, or else one for all
 * prompt parts together. */
void
TakeVerdicts(State& aState,
             Suspects& aSuspects,
             const Suspect& aStrongest,
             std::size_t aCrashes)
{
  Verdict ofParts{ .crashes = aCrashes };
  const auto servers = aStrongest.Servers();
  bool hasRequests = false;
  for (const auto& [id, suspect] : aSuspects) {
    if (suspect.Servers() != servers ||
        ConvictingCrashes(aState, id, suspect) == 0) {
      continue;
    }
    if (id.kind == SuspectKind::PromptPart) {
      ofParts.suspects.push_back(id);
      continue;
    }
    hasRequests = true;
    aState.verdicts.push_back({ .suspects = { id }, .crashes = aCrashes });
  }
  if (!hasRequests) {
    aState.verdicts.push_back(std::move(ofParts));
  }
  RemoveCrashes(aSuspects, aStrongest);
}

void
Expire(State& aState, Instant aNow)
{
  const auto& settings = aState.settings;
  std::erase_if(aState.suspects, [&](const auto& aEntry) {
    return aNow - aEntry.second.activeAt > settings.retention;
  });
  std::erase_if(aState.crashedServers, [&](const auto& aEntry) {
    return aNow - aEntry.second > settings.separation;
  });
  while (aState.suspects.size() > settings.maxSuspects) {
    aState.suspects.erase(
      std::ranges::min_element(aState.suspects, {}, [](const auto& aEntry) {
        const auto& suspect = aEntry.second;
        return std::tuple{ suspect.crashes.size(),
                           !suspect.answersBegan,
                           suspect.activeAt };
      }));
  }
}

} // namespace

bool
IsKnown(const State& aState, const SuspectId& aId)
{
  return aId.kind == SuspectKind::Request
           ? aState.answeredRequests.LastAnswer(aId).has_value()
           : aState.answered.contains(aId);
}

std::size_t
ConvictingCrashes(const State& aState,
                  const SuspectId& aId,
                  const Suspect& aSuspect)
{
  const auto& settings = aState.settings;
  const auto count = CountSeparated(aSuspect, settings.separation);
  const bool answered =
    IsKnown(aState, aId) ||
    (aId.kind == SuspectKind::Request && aSuspect.answersBegan);
  const auto needed = answered ? settings.crashesOfAnswered : settings.crashes;
  return count >= needed ? count : 0;
}

Instant
DoubtEnd(State& aState, Instant aCrashedAt)
{
  const auto time = aState.settings.doubtTime;
  const auto spread = static_cast<std::uint64_t>(time.count());
  return aCrashedAt + time +
         Duration{ static_cast<Duration::rep>(aState.random.Next() % spread) };
}

void
Judge(State& aState, Instant aNow)
{
  Expire(aState, aNow);
  aState.verdicts.clear();
  auto open = aState.suspects;
  while (!open.empty()) {
    const Suspect* strongest = nullptr;
    std::size_t most = 0;
    for (const auto& [id, suspect] : open) {
      const auto crashes = ConvictingCrashes(aState, id, suspect);
      const bool settled =
        aNow - FirstCrash(suspect) >= aState.settings.settleTime;
      if (settled && crashes > most) {
        strongest = &suspect;
        most = crashes;
      }
    }
    if (strongest == nullptr) {
      break;
    }
    TakeVerdicts(aState, open, Suspect{ *strongest }, most);
  }
  std::erase_if(aState.nextTrials, [&aState](const auto& aEntry) {
    return !aState.suspects.contains(aEntry.first);
  });
}

void
Clear(State& aState, const SuspectId& aId, Instant aAt)
{
  const auto found = aState.suspects.find(aId);
  if (found == aState.suspects.end()) {
    return;
  }
  std::erase_if(found->second.crashes,
                [aAt](const auto& aCrash) { return aCrash.second <= aAt; });
  if (found->second.crashes.empty()) {
    aState.suspects.erase(found);
  }
}

Answered&
RecordPartAnswer(State& aState, const SuspectId& aPart, Instant aAt)
{
  Clear(aState, aPart, aAt);
  auto& answered = aState.answered[aPart];
  answered.anywhere = std::max(answered.anywhere, aAt);
  if (aState.answered.size() > aState.settings.maxAnswered) {
    std::erase_if(aState.answered, [&](const auto& aEntry) {
      return aEntry.first != aPart &&
             aAt - aEntry.second.anywhere > aState.settings.retention;
    });
  }
  while (aState.answered.size() > aState.settings.maxAnswered) {
    const auto first = aState.answered.begin();
    aState.answered.erase(first->first == aPart ? std::next(first) : first);
  }
  return answered;
}

const Verdict*
FindVerdict(const State& aState, std::span<const SuspectId> aIds)
{
  const auto found =
    std::ranges::find_if(aState.verdicts, [aIds](const Verdict& aVerdict) {
      return std::ranges::all_of(aVerdict.suspects, [aIds](const auto& aId) {
        return std::ranges::find(aIds, aId) != aIds.end();
      });
    });
  return found == aState.verdicts.end() ? nullptr : &*found;
}

} // namespace balsampoint::quarantine::internal

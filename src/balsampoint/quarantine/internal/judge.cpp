#include "balsampoint/quarantine/internal/judge.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace balsampoint::quarantine::internal {

namespace {

using Suspects = std::map<PromptPartId, Suspect>;

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

/** @brief Removes what one part explains from the evidence against others. */
void
RemoveCrashes(Suspects& aSuspects, const Suspect& aExplaining)
{
  for (auto& [part, suspect] : aSuspects) {
    std::erase_if(suspect.crashes, [&aExplaining](const auto& aCrash) {
      return aExplaining.crashes.contains(aCrash.first);
    });
  }
  std::erase_if(aSuspects, [](const auto& aEntry) {
    return aEntry.second.crashes.empty();
  });
}

Verdict
TakeVerdict(Suspects& aSuspects,
            const Suspect& aStrongest,
            std::size_t aCrashes)
{
  Verdict verdict{ .crashes = aCrashes };
  const auto servers = aStrongest.Servers();
  for (const auto& [part, suspect] : aSuspects) {
    if (suspect.Servers() == servers) {
      verdict.parts.push_back(part);
    }
  }
  RemoveCrashes(aSuspects, aStrongest);
  return verdict;
}

void
Expire(State& aState, Instant aNow)
{
  const auto& settings = aState.settings;
  std::erase_if(aState.suspects, [&](const auto& aEntry) {
    return aNow - aEntry.second.activeAt > settings.retention;
  });
  while (aState.suspects.size() > settings.maxSuspects) {
    aState.suspects.erase(
      std::ranges::min_element(aState.suspects, {}, [](const auto& aEntry) {
        return std::pair{ aEntry.second.crashes.size(),
                          aEntry.second.activeAt };
      }));
  }
}

} // namespace

std::size_t
ConvictingCrashes(const State& aState,
                  const PromptPartId& aPart,
                  const Suspect& aSuspect)
{
  const auto& settings = aState.settings;
  const auto count = CountSeparated(aSuspect, settings.separation);
  const auto needed = aState.answered.contains(aPart)
                        ? settings.crashesOfKnownPart
                        : settings.crashes;
  return count >= needed ? count : 0;
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
    for (const auto& [part, suspect] : open) {
      const auto crashes = ConvictingCrashes(aState, part, suspect);
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
    aState.verdicts.push_back(TakeVerdict(open, Suspect{ *strongest }, most));
  }
  std::erase_if(aState.nextTrials, [&aState](const auto& aEntry) {
    return !aState.suspects.contains(aEntry.first);
  });
}

Answered&
Clear(State& aState, const PromptPartId& aPart, Instant aAt)
{
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
  const auto found = aState.suspects.find(aPart);
  if (found == aState.suspects.end()) {
    return answered;
  }
  std::erase_if(found->second.crashes,
                [aAt](const auto& aCrash) { return aCrash.second <= aAt; });
  if (found->second.crashes.empty()) {
    aState.suspects.erase(found);
  }
  return answered;
}

const Verdict*
FindVerdict(const State& aState, std::span<const PromptPartId> aParts)
{
  const auto found =
    std::ranges::find_if(aState.verdicts, [aParts](const Verdict& aVerdict) {
      return std::ranges::all_of(aVerdict.parts, [aParts](const auto& aPart) {
        return std::ranges::find(aParts, aPart) != aParts.end();
      });
    });
  return found == aState.verdicts.end() ? nullptr : &*found;
}

} // namespace balsampoint::quarantine::internal

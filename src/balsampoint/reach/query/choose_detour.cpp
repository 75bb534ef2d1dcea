#include "balsampoint/reach/query/choose_detour.hpp"

#include <chrono>
#include <vector>

namespace balsampoint::reach {

namespace {

bool
IsListed(const State& aState, Instant aNow)
{
  return !aState.detours.empty() &&
         aNow - aState.listedAt < aState.settings.detourTimeout;
}

bool
IsAvoided(const State& aState, const Detour& aDetour, Instant aNow)
{
  const auto use = aState.uses.find(aDetour.address);
  return use != aState.uses.end() && use->second.avoidUntil > aNow;
}

std::uint32_t
ConnectionsOf(const State& aState, const Detour& aDetour)
{
  const auto use = aState.uses.find(aDetour.address);
  return use == aState.uses.end() ? 0 : use->second.connections;
}

using Candidates = std::vector<const Detour*>;

Candidates
CandidatesIn(const State& aState, const ZoneId* aZone, Instant aNow)
{
  Candidates candidates;
  for (const auto& detour : aState.detours) {
    if ((aZone != nullptr && detour.zone != *aZone) ||
        IsAvoided(aState, detour, aNow)) {
      continue;
    }
    candidates.push_back(&detour);
  }
  return candidates;
}

} // namespace

bool
UsesDetours(const State& aState, Instant aNow)
{
  return aState.link == Link::Down && IsListed(aState, aNow);
}

bool
IsIsolated(const State& aState, Instant aNow)
{
  // Longer than the relay takes to name detours.
  constexpr Duration kPatience = std::chrono::milliseconds{ 500 };
  return aState.link == Link::Down && !IsListed(aState, aNow) &&
         aNow - aState.changedAt >= kPatience;
}

std::optional<Detour>
ChooseDetour(const State& aState,
             const ZoneId& aServerZone,
             std::uint64_t aRandom,
             Instant aNow)
{
  if (!UsesDetours(aState, aNow)) {
    return std::nullopt;
  }
  auto candidates = CandidatesIn(aState, &aState.settings.zone, aNow);
  if (candidates.empty()) {
    candidates = CandidatesIn(aState, &aServerZone, aNow);
  }
  if (candidates.empty()) {
    candidates = CandidatesIn(aState, nullptr, aNow);
  }
  if (candidates.empty()) {
    return std::nullopt;
  }
  constexpr unsigned kHalf = 32;
  const auto* one = candidates[(aRandom >> kHalf) % candidates.size()];
  const auto* two =
    candidates[static_cast<std::uint32_t>(aRandom) % candidates.size()];
  return ConnectionsOf(aState, *two) < ConnectionsOf(aState, *one) ? *two
                                                                   : *one;
}

} // namespace balsampoint::reach

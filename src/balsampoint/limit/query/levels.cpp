#include "balsampoint/limit/query/levels.hpp"

#include "balsampoint/core/hash.hpp"
#include "balsampoint/core/split_mix.hpp"
#include "balsampoint/limit/internal/demand.hpp"

namespace balsampoint::limit {

std::map<Urgency, UrgencyLevel>
Levels(const ShortageSettings& aSettings,
       const std::map<Urgency, double>& aDemand,
       double aCapacity)
{
  return internal::LevelsFor(aSettings, aDemand, aCapacity);
}

UrgencyLevel
LevelOf(const Shortage& aState,
        const ServiceId& aService,
        Urgency aUrgency,
        Instant aNow)
{
  const auto& settings = aState.settings;
  const UrgencyLevel highest{ .fraction = settings.maxLevel };
  const auto service = aState.services.find(aService);
  if (service == aState.services.end() ||
      service->second.remoteAt == Instant::min() ||
      aNow - service->second.remoteAt > settings.maxSumsAge) {
    return highest;
  }
  const auto level = service->second.levels.find(aUrgency);
  return level == service->second.levels.end() ? highest : level->second;
}

RequestLevel
DrawLevel(const ShortageSettings& aSettings,
          const UrgencyLevel& aLevel,
          const RequestId& aRequest)
{
  const auto drawn = SplitMix64{ HashText(aRequest.Value()) }.NextUnit();
  if (drawn < aLevel.minShare) {
    return { .fraction = aSettings.maxLevel, .inMinShare = true };
  }
  const auto position = (drawn - aLevel.minShare) / (1.0 - aLevel.minShare);
  return { .fraction = aLevel.fraction - position * aLevel.ramp };
}

} // namespace balsampoint::limit

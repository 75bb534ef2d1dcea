#include "balsampoint/registry/command/observe.hpp"

#include "balsampoint/registry/internal/change.hpp"

#include <algorithm>

namespace balsampoint::registry {

namespace {

/** Inverse weight of a new step time in the moving average. */
constexpr Duration::rep kInverseStepWeight = 8;

void
RecordAnswer(Health& aHealth, Duration aStepTime)
{
  aHealth.errorsInRow = 0;
  aHealth.avoidances = 0;
  aHealth.avoidUntil = {};
  if (aStepTime == Duration::zero()) {
    return;
  }
  const bool first = aHealth.stepTime == Duration::zero();
  const auto change = (aStepTime - aHealth.stepTime) / kInverseStepWeight;
  aHealth.stepTime = first ? aStepTime : aHealth.stepTime + change;
}

void
RecordError(Health& aHealth, const Settings& aSettings, Instant aNow)
{
  if (++aHealth.errorsInRow < aSettings.errorsToAvoid ||
      aHealth.avoidUntil > aNow) {
    return;
  }
  auto length = aSettings.minAvoidance;
  for (auto left = aHealth.avoidances; left > 0; --left) {
    length = std::min(length * 2, aSettings.maxAvoidance);
  }
  ++aHealth.avoidances;
  aHealth.avoidUntil = aNow + length;
}

} // namespace

void
Observe(State& aState, std::span<const Observation> aObservations, Instant aNow)
{
  for (const auto& observation : aObservations) {
    const auto found = aState.records.find(observation.server);
    if (found == aState.records.end() ||
        found->second.claim.stamp.incarnation != observation.incarnation) {
      continue;
    }
    auto& health = found->second.health;
    const auto avoidUntil = health.avoidUntil;
    if (observation.outcome == Outcome::Answered) {
      RecordAnswer(health, observation.stepTime);
    } else {
      RecordError(health, aState.settings, aNow);
    }
    const bool urgent = health.avoidUntil != avoidUntil;
    internal::ScheduleView(aState,
                           urgent ? aNow : aNow + aState.settings.loadInterval);
  }
}

} // namespace balsampoint::registry

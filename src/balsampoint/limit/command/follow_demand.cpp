#include "balsampoint/limit/command/follow_demand.hpp"

#include "balsampoint/limit/internal/demand.hpp"
#include "balsampoint/limit/internal/urgencies.hpp"
#include "balsampoint/routing/priorities.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

namespace balsampoint::limit {

namespace {

/** Part of the way from the old levels to the new ones that a time allows. */
double
SmoothingWeight(const ShortageSettings& aSettings, Duration aPassed)
{
  const std::chrono::duration<double> passed = aPassed;
  const std::chrono::duration<double> constant = aSettings.smoothing;
  return 1.0 - std::exp(-passed.count() / constant.count());
}

void
RemoveUnused(ServiceShortage& aService, const routing::Document& aDocument)
{
  std::erase_if(aService.localDemand, [&](const auto& aEntry) {
    return !aService.urgencies.contains(aEntry.first);
  });
  std::erase_if(aService.levels, [&](const auto& aEntry) {
    return !aService.urgencies.contains(aEntry.first);
  });
  std::erase_if(aService.lastUse, [&](const auto& aEntry) {
    return std::ranges::find(
             aDocument.workspaces, aEntry.first, &routing::Workspace::id) ==
           aDocument.workspaces.end();
  });
}

} // namespace

std::vector<Ticket>
FollowConfiguration(Shortage& aState, const routing::Document& aDocument)
{
  std::map<ServiceId, ServiceShortage> services;
  for (const auto& [id, service] : aDocument.services) {
    auto urgencies = internal::UrgenciesOf(aDocument, id);
    if (!routing::RequestsCompete(aDocument, id) || urgencies.size() < 2) {
      continue;
    }
    auto& kept = services[id];
    if (const auto before = aState.services.find(id);
        before != aState.services.end()) {
      kept = std::exchange(before->second, {});
    }
    kept.urgencies = std::move(urgencies);
    RemoveUnused(kept, aDocument);
  }
  std::vector<Ticket> dropped;
  for (const auto& [id, service] : aState.services) {
    for (const auto& request : service.waiting) {
      dropped.push_back(request.ticket);
    }
  }
  aState.services = std::move(services);
  return dropped;
}

void
CountDemand(Shortage& aState,
            const ServiceId& aService,
            Urgency aUrgency,
            double aTokens,
            Instant aNow)
{
  // The number is the caller's claim; a sum of such claims must not overflow.
  constexpr double kMostTokens = 1e6;
  const auto service = aState.services.find(aService);
  if (service != aState.services.end()) {
    const auto tokens = std::clamp(aTokens, 0.0, kMostTokens);
    service->second.localDemand[aUrgency].Add(
      aNow, static_cast<std::uint32_t>(std::lround(tokens)));
  }
}

void
SetRemoteDemand(Shortage& aState,
                const ServiceId& aService,
                std::vector<usage::UrgencyDemand> aDemand,
                double aCapacity,
                Instant aNow)
{
  const auto found = aState.services.find(aService);
  if (found == aState.services.end()) {
    return;
  }
  auto& service = found->second;
  const auto& settings = aState.settings;
  const bool fresh = service.remoteAt != Instant::min() &&
                     aNow - service.remoteAt <= settings.maxSumsAge;
  const auto weight =
    fresh ? SmoothingWeight(settings, aNow - service.remoteAt) : 1.0;
  service.remoteDemand = std::move(aDemand);
  service.remoteAt = aNow;
  const auto targets = internal::LevelsFor(
    settings, internal::SumOfDemand(service, aNow), aCapacity);
  for (const auto& [urgency, target] : targets) {
    const auto [level, added] = service.levels.try_emplace(urgency, target);
    auto& now = level->second;
    now.fraction += weight * (target.fraction - now.fraction);
    now.ramp += weight * (target.ramp - now.ramp);
    now.minShare += weight * (target.minShare - now.minShare);
  }
}

} // namespace balsampoint::limit

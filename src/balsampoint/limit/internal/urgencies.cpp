#include "balsampoint/limit/internal/urgencies.hpp"

#include <algorithm>

namespace balsampoint::limit::internal {

std::set<Urgency>
UrgenciesOf(const routing::Document& aDocument, const ServiceId& aService)
{
  std::set<Urgency> urgencies;
  for (const auto& route : aDocument.routes) {
    const bool reaches =
      std::ranges::any_of(route.targets, [&](const routing::Target& aTarget) {
        return aTarget.service == aService && aTarget.weight > 0;
      });
    if (!reaches) {
      continue;
    }
    if (route.isPublic) {
      urgencies.insert(route.priority);
      continue;
    }
    for (const auto& workspace : aDocument.workspaces) {
      urgencies.insert(workspace.priority.value_or(route.priority));
    }
  }
  return urgencies;
}

} // namespace balsampoint::limit::internal

#include "balsampoint/routing/priorities.hpp"

#include <algorithm>
#include <set>

namespace balsampoint::routing {

bool
RequestsCompete(const Document& aDocument, const ServiceId& aService)
{
  const auto service = aDocument.services.find(aService);
  if (service == aDocument.services.end() || !service->second.engine) {
    return false;
  }
  std::set<std::uint32_t> priorities;
  for (const auto& route : aDocument.routes) {
    const bool leads =
      std::ranges::any_of(route.targets, [&](const Target& aTarget) {
        return aTarget.service == aService && aTarget.weight > 0;
      });
    if (leads) {
      priorities.insert(route.priority);
    }
  }
  return priorities.size() > 1;
}

} // namespace balsampoint::routing

#include "balsampoint/route/route_request.hpp"

#include <algorithm>

namespace balsampoint::route {

bool
Excludes(const RouteRequest& aRequest, const Stage& aStage)
{
  return std::ranges::any_of(aRequest.excluded, [&aStage](const auto& aEntry) {
    return aEntry.server == aStage.server &&
           aStage.incarnation <= aEntry.incarnation;
  });
}

} // namespace balsampoint::route

#include "balsampoint/route/wish.hpp"

#include <algorithm>

namespace balsampoint::route {

bool
Excludes(const Wish& aWish, const Stage& aStage)
{
  return std::ranges::any_of(aWish.excluded, [&aStage](const auto& aEntry) {
    return aEntry.server == aStage.server &&
           aStage.incarnation <= aEntry.incarnation;
  });
}

} // namespace balsampoint::route

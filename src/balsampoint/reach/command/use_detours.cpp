#include "balsampoint/reach/command/use_detours.hpp"

#include <algorithm>
#include <string>

namespace balsampoint::reach {

void
SetDetours(State& aState, std::span<const Detour> aDetours, Instant aNow)
{
  aState.detours.assign(aDetours.begin(), aDetours.end());
  aState.listedAt = aNow;
  std::erase_if(aState.uses, [&](const auto& aEntry) {
    return aEntry.second.connections == 0 &&
           std::ranges::find(aDetours, aEntry.first, &Detour::address) ==
             aDetours.end();
  });
}

void
CountConnection(State& aState, std::string_view aAddress, bool aBegins)
{
  auto& use = aState.uses[std::string{ aAddress }];
  if (aBegins) {
    ++use.connections;
  } else {
    use.connections -= std::min(use.connections, 1U);
  }
}

void
RecordDetourFailure(State& aState, std::string_view aAddress, Instant aNow)
{
  aState.uses[std::string{ aAddress }].avoidUntil =
    aNow + aState.settings.detourAvoidance;
}

} // namespace balsampoint::reach

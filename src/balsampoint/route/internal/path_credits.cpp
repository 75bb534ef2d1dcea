#include "balsampoint/route/internal/path_credits.hpp"

#include <algorithm>

namespace balsampoint::route::internal {

void
PathCredits::Update(const Routes& aRoutes,
                    const ZoneId& aEntry,
                    std::uint64_t aRandom)
{
  if (mFlowNumber == aRoutes.flowNumber) {
    return;
  }
  mFlowNumber = aRoutes.flowNumber;
  mEntries.clear();
  const auto& paths = aRoutes.flow.paths;
  const bool known =
    std::ranges::find(paths, aEntry, &Path::entry) != paths.end();
  double sum{};
  for (std::size_t at = 0; at < paths.size(); ++at) {
    if (known && paths[at].entry != aEntry) {
      continue;
    }
    mEntries.push_back({ .path = at, .share = paths[at].tokensPerSecond });
    sum += paths[at].tokensPerSecond;
  }
  constexpr std::uint64_t kSteps = 1024;
  constexpr std::uint64_t kMultiplier = 0x9E3779B97F4A7C15ULL;
  for (auto& entry : mEntries) {
    entry.share /= sum;
    aRandom = aRandom * kMultiplier + 1;
    entry.credit = static_cast<double>((aRandom >> 32U) % kSteps) / kSteps;
  }
}

} // namespace balsampoint::route::internal

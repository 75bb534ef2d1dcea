#pragma once

#include "balsampoint/route/table.hpp"

#include <cstdint>
#include <vector>

namespace balsampoint::route::internal {

/**
 * @brief Picks paths so that their running shares follow the flow.
 *
 * Smooth weighted round robin: each pick credits every path with its share
 * and charges the picked path with one.
 */
class PathCredits
{
public:
  /**
   * @brief Takes the paths of one entry zone over when the flow changed.
   * @param aRoutes The flow.
   * @param aEntry The entry zone; the paths of all zones when it has none.
   * @param aRandom Random number for the first credits, so that hosts don't
   * pick in step.
   */
  void Update(const Routes& aRoutes,
              const ZoneId& aEntry,
              std::uint64_t aRandom);

  /**
   * @brief Credits all paths and picks one.
   * @tparam Usable Callable with a path.
   * @param aRoutes The flow last given to `Update`.
   * @param aUsable Whether a path may be picked.
   * @return The path picked, or null when none is usable.
   */
  template<typename Usable>
  const Path* Next(const Routes& aRoutes, Usable aUsable)
  {
    Entry* best = nullptr;
    for (auto& entry : mEntries) {
      entry.credit += entry.share;
      if ((best != nullptr && entry.credit <= best->credit) ||
          !aUsable(aRoutes.flow.paths[entry.path])) {
        continue;
      }
      best = &entry;
    }
    if (best == nullptr) {
      return nullptr;
    }
    best->credit -= 1.0;
    return &aRoutes.flow.paths[best->path];
  }

private:
  struct Entry
  {
    /** Index into the flow's paths. */
    std::size_t path{};
    double share{};
    double credit{};
  };

  std::uint64_t mFlowNumber{};
  std::vector<Entry> mEntries;
};

} // namespace balsampoint::route::internal

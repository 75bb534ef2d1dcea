#pragma once

#include "balsampoint/route/table.hpp"

#include <cstdint>
#include <vector>

namespace balsampoint::route::internal {

/**
 * @brief Picks paths in proportion to their shares of the flow.
 *
 * Smooth weighted round robin: each pick credits every path with its share
 * and charges the picked path with one.
 */
class PathCredits
{
public:
  /**
   * @brief Replaces the paths when the flow has changed.
   * @param aRoutes The flow.
   * @param aEntry Entry zone whose paths are used; if it has none, the paths of
   * all zones are.
   * @param aRandom Random number for the initial credits, so that hosts don't
   * pick the same paths at the same time.
   */
  void Update(const Routes& aRoutes,
              const ZoneId& aEntry,
              std::uint64_t aRandom);

  /**
   * @brief Credits all paths and picks one.
   * @tparam Usable Predicate over paths.
   * @param aRoutes The flow that was last passed to `Update`.
   * @param aUsable Whether a path may be picked.
   * @return The picked path; null if none is usable.
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

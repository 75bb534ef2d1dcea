#include "balsampoint/placement/query/fill.hpp"

#include "balsampoint/placement/query/plan_all.hpp"

#include <algorithm>
#include <cmath>

namespace balsampoint::placement {

namespace {

/** @brief Memory for KV that other engines have at each layer. */
struct Cover
{
  Cover(std::span<const Engine> aEngines,
        const ZoneId& aZone,
        const LayerNeed& aNeed)
    : zone(aNeed.layers)
    , all(aNeed.layers)
  {
    for (const auto& engine : aEngines) {
      if (!engine.layers) {
        continue;
      }
      const auto end = std::min(engine.layers->end, aNeed.layers);
      for (auto layer = engine.layers->begin; layer < end; ++layer) {
        ++all[layer];
        zone[layer] += engine.zone == aZone ? 1 : 0;
      }
    }
  }

  /** Engines of the zone, and of all zones, that hold each layer. */
  std::vector<std::uint32_t> zone;
  std::vector<std::uint32_t> all;
};

/** What it is worth to hold a layer once more. */
double
WorthOf(const Cover& aCover, std::uint32_t aLayer)
{
  constexpr double kGap = 100.0;
  constexpr double kNowhere = 1000.0;
  const auto all = aCover.all[aLayer];
  return (all == 0 ? kNowhere : 0.0) + (aCover.zone[aLayer] == 0 ? kGap : 0.0) +
         1.0 / (1.0 + all) + 1.0 / (1.0 + aCover.zone[aLayer]);
}

std::uint32_t
UsualLayers(const Engine& aEngine, const LayerNeed& aNeed)
{
  const auto usual = static_cast<std::uint32_t>(
    std::lround(aEngine.memoryMb / PerLayerMb(aNeed)));
  return std::min(MostLayers(aEngine, aNeed), std::max(1U, usual));
}

std::optional<LayerRange>
BestRange(const Cover& aCover, std::uint32_t aSize, std::uint32_t aLayers)
{
  if (aSize == 0) {
    return std::nullopt;
  }
  LayerRange best{ 0, aSize };
  double most = -1.0;
  for (std::uint32_t begin = 0; begin + aSize <= aLayers; ++begin) {
    double worth = 0.0;
    for (auto layer = begin; layer < begin + aSize; ++layer) {
      worth += WorthOf(aCover, layer);
    }
    if (worth > most) {
      most = worth;
      best = { begin, begin + aSize };
    }
  }
  return best;
}

bool
CanSpare(const Engine& aEngine, const Cover& aCover)
{
  if (!aEngine.layers) {
    return false;
  }
  for (auto layer = aEngine.layers->begin; layer < aEngine.layers->end;
       ++layer) {
    if (aCover.zone[layer] < 2) {
      return false;
    }
  }
  return true;
}

/** Whether a zone has memory for all layers, so that a gap can be closed. */
bool
HoldsAll(std::span<const Engine> aEngines,
         const ZoneId& aZone,
         const LayerNeed& aNeed)
{
  std::uint32_t most = 0;
  for (const auto& engine : aEngines) {
    most += engine.zone == aZone ? MostLayers(engine, aNeed) : 0;
  }
  return most >= aNeed.layers;
}

} // namespace

std::optional<LayerRange>
FillOne(const Engine& aEngine,
        std::span<const Engine> aOthers,
        const LayerNeed& aNeed)
{
  const Cover cover{ aOthers, aEngine.zone, aNeed };
  return BestRange(cover, UsualLayers(aEngine, aNeed), aNeed.layers);
}

std::optional<Move>
CloseGap(std::span<const Engine> aEngines, const LayerNeed& aNeed)
{
  std::optional<Move> best;
  std::size_t mostClosed = 0;
  for (const auto& engine : aEngines) {
    const Cover cover{ aEngines, engine.zone, aNeed };
    const auto gaps = std::ranges::count(cover.zone, 0U);
    if (gaps == 0 || !CanSpare(engine, cover) ||
        !HoldsAll(aEngines, engine.zone, aNeed)) {
      continue;
    }
    const auto size = UsualLayers(engine, aNeed);
    const auto range = BestRange(cover, size, aNeed.layers);
    if (!range) {
      continue;
    }
    const auto closed = static_cast<std::size_t>(std::count(
      cover.zone.begin() + range->begin, cover.zone.begin() + range->end, 0U));
    if (closed > mostClosed) {
      mostClosed = closed;
      best = Move{ engine.server, *range };
    }
  }
  return best;
}

} // namespace balsampoint::placement

#include "balsampoint/placement/query/fill.hpp"

#include "balsampoint/placement/query/plan_all.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace balsampoint::placement {

namespace {

/**
 * @brief Number of engines that hold each layer, in one zone and in all
 * zones.
 */
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

  /** @brief Removes an engine of the zone that holds a range. */
  void Remove(LayerRange aLayers)
  {
    for (auto layer = aLayers.begin; layer < aLayers.end; ++layer) {
      --all[layer];
      --zone[layer];
    }
  }

  /** Indexed by layer. */
  std::vector<std::uint32_t> zone;
  std::vector<std::uint32_t> all;
};

/** Benefit of one more engine of the zone that holds a layer. */
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

/** @brief Number of layers of a range that no engine of the zone holds. */
std::ptrdiff_t
GapsIn(const Cover& aCover, LayerRange aRange)
{
  return std::count(
    aCover.zone.begin() + aRange.begin, aCover.zone.begin() + aRange.end, 0U);
}

/**
 * @brief Best range of the usual size, or of a larger size if that closes
 * more gaps.
 */
std::optional<LayerRange>
BestFit(const Cover& aCover, const Engine& aEngine, const LayerNeed& aNeed)
{
  const auto most = MostLayers(aEngine, aNeed);
  auto size = UsualLayers(aEngine, aNeed);
  const auto usual = BestRange(aCover, size, aNeed.layers);
  if (!usual) {
    return std::nullopt;
  }
  auto best = *usual;
  while (++size <= most) {
    const auto wider = BestRange(aCover, size, aNeed.layers);
    if (!wider || GapsIn(aCover, *wider) <= GapsIn(aCover, best)) {
      continue;
    }
    best = *wider;
  }
  return best;
}

/**
 * @brief Whether every layer that an engine holds is held by another one
 * too.
 */
bool
HeldByOthers(LayerRange aLayers, std::span<const std::uint32_t> aHolders)
{
  const auto held = aHolders.subspan(aLayers.begin, aLayers.Size());
  return std::ranges::all_of(held,
                             [](std::uint32_t aCount) { return aCount >= 2; });
}

/** Whether the engines of a zone have memory for all layers together. */
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
  return BestFit(cover, aEngine, aNeed);
}

std::optional<Move>
CloseGap(std::span<const Engine> aEngines, const LayerNeed& aNeed)
{
  std::optional<Move> best;
  std::tuple<bool, std::ptrdiff_t, std::int64_t> most{};
  for (const auto& engine : aEngines) {
    if (!engine.layers || engine.layers->end > aNeed.layers) {
      continue;
    }
    Cover cover{ aEngines, engine.zone, aNeed };
    const auto gaps = std::ranges::count(cover.zone, 0U);
    if (gaps == 0 || !HeldByOthers(*engine.layers, cover.all) ||
        !HoldsAll(aEngines, engine.zone, aNeed)) {
      continue;
    }
    const bool spare = HeldByOthers(*engine.layers, cover.zone);
    cover.Remove(*engine.layers);
    const auto range = BestFit(cover, engine, aNeed);
    if (!range) {
      continue;
    }
    const auto left =
      std::ranges::count(cover.zone, 0U) - GapsIn(cover, *range);
    const std::tuple rank{ spare,
                           gaps - left,
                           -std::int64_t{ engine.layers->Size() } };
    if (left < gaps && (!best || rank > most)) {
      most = rank;
      best = Move{ engine.server, *range, spare };
    }
  }
  return best;
}

Plan
CloseGaps(std::span<const Engine> aEngines, const LayerNeed& aNeed)
{
  constexpr std::size_t kMostMoves = 8;
  std::vector<Engine> engines{ aEngines.begin(), aEngines.end() };
  Plan moves;
  while (moves.size() < kMostMoves) {
    const auto move = CloseGap(engines, aNeed);
    if (!move.has_value() || (!moves.empty() && !move.value().spare)) {
      break;
    }
    moves[move.value().server] = move.value().layers;
    const auto moved =
      std::ranges::find(engines, move.value().server, &Engine::server);
    moved->layers = move.value().layers;
    if (!move.value().spare) {
      break;
    }
  }
  return moves;
}

} // namespace balsampoint::placement

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
struct HolderCounts
{
  HolderCounts(std::span<const Engine> aEngines,
               const ZoneId& aZone,
               const ModelSize& aModel)
    : zone(aModel.layers)
    , all(aModel.layers)
  {
    for (const auto& engine : aEngines) {
      if (!engine.layers) {
        continue;
      }
      const auto end = std::min(engine.layers->end, aModel.layers);
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
Benefit(const HolderCounts& aCounts, std::uint32_t aLayer)
{
  constexpr double kMissingInZone = 100.0;
  constexpr double kMissingInAllZones = 1000.0;
  const auto all = aCounts.all[aLayer];
  return (all == 0 ? kMissingInAllZones : 0.0) +
         (aCounts.zone[aLayer] == 0 ? kMissingInZone : 0.0) +
         1.0 / (1.0 + all) + 1.0 / (1.0 + aCounts.zone[aLayer]);
}

std::uint32_t
TypicalLayers(const Engine& aEngine, const ModelSize& aModel)
{
  const auto usual = static_cast<std::uint32_t>(
    std::lround(aEngine.memoryMb / PerLayerMb(aModel)));
  return std::min(MaxLayers(aEngine, aModel), std::max(1U, usual));
}

std::optional<LayerRange>
BestRange(const HolderCounts& aCounts,
          std::uint32_t aSize,
          std::uint32_t aLayers)
{
  if (aSize == 0) {
    return std::nullopt;
  }
  LayerRange best{ 0, aSize };
  double most = -1.0;
  for (std::uint32_t begin = 0; begin + aSize <= aLayers; ++begin) {
    double benefit = 0.0;
    for (auto layer = begin; layer < begin + aSize; ++layer) {
      benefit += Benefit(aCounts, layer);
    }
    if (benefit > most) {
      most = benefit;
      best = { begin, begin + aSize };
    }
  }
  return best;
}

/** @brief Number of layers of a range that no engine of the zone holds. */
std::ptrdiff_t
GapsIn(const HolderCounts& aCounts, LayerRange aRange)
{
  return std::count(
    aCounts.zone.begin() + aRange.begin, aCounts.zone.begin() + aRange.end, 0U);
}

/**
 * @brief Best range of the usual size, or of a larger size if that closes
 * more gaps.
 */
std::optional<LayerRange>
BestFit(const HolderCounts& aCounts,
        const Engine& aEngine,
        const ModelSize& aModel)
{
  const auto most = MaxLayers(aEngine, aModel);
  auto size = TypicalLayers(aEngine, aModel);
  const auto usual = BestRange(aCounts, size, aModel.layers);
  if (!usual) {
    return std::nullopt;
  }
  auto best = *usual;
  while (++size <= most) {
    const auto wider = BestRange(aCounts, size, aModel.layers);
    if (!wider || GapsIn(aCounts, *wider) <= GapsIn(aCounts, best)) {
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
         const ModelSize& aModel)
{
  std::uint32_t most = 0;
  for (const auto& engine : aEngines) {
    most += engine.zone == aZone ? MaxLayers(engine, aModel) : 0;
  }
  return most >= aModel.layers;
}

} // namespace

std::optional<LayerRange>
FillOne(const Engine& aEngine,
        std::span<const Engine> aOthers,
        const ModelSize& aModel)
{
  const HolderCounts counts{ aOthers, aEngine.zone, aModel };
  return BestFit(counts, aEngine, aModel);
}

std::optional<Move>
CloseGap(std::span<const Engine> aEngines, const ModelSize& aModel)
{
  std::optional<Move> best;
  std::tuple<bool, std::ptrdiff_t, std::int64_t> most{};
  for (const auto& engine : aEngines) {
    if (!engine.layers || engine.layers->end > aModel.layers) {
      continue;
    }
    HolderCounts counts{ aEngines, engine.zone, aModel };
    const auto gaps = std::ranges::count(counts.zone, 0U);
    if (gaps == 0 || !HeldByOthers(*engine.layers, counts.all) ||
        !HoldsAll(aEngines, engine.zone, aModel)) {
      continue;
    }
    const bool redundant = HeldByOthers(*engine.layers, counts.zone);
    counts.Remove(*engine.layers);
    const auto range = BestFit(counts, engine, aModel);
    if (!range) {
      continue;
    }
    const auto left =
      std::ranges::count(counts.zone, 0U) - GapsIn(counts, *range);
    const std::tuple rank{ redundant,
                           gaps - left,
                           -std::int64_t{ engine.layers->Size() } };
    if (left < gaps && (!best || rank > most)) {
      most = rank;
      best = Move{ engine.server, *range, redundant };
    }
  }
  return best;
}

Plan
CloseGaps(std::span<const Engine> aEngines, const ModelSize& aModel)
{
  constexpr std::size_t kMaxMoves = 8;
  std::vector<Engine> engines{ aEngines.begin(), aEngines.end() };
  Plan moves;
  while (moves.size() < kMaxMoves) {
    const auto move = CloseGap(engines, aModel);
    if (!move.has_value() || (!moves.empty() && !move.value().redundant)) {
      break;
    }
    moves[move.value().server] = move.value().layers;
    const auto moved =
      std::ranges::find(engines, move.value().server, &Engine::server);
    moved->layers = move.value().layers;
    if (!move.value().redundant) {
      break;
    }
  }
  return moves;
}

} // namespace balsampoint::placement

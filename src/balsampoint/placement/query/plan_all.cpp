#include "balsampoint/placement/query/plan_all.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace balsampoint::placement {

namespace {

/** Number of typical requests whose KV must fit beside the layers of any
 * engine. */
constexpr double kMinRequests = 12.0;
/** Fraction of the memory of a copy that its engines may lack: leaving the copy
 * out would leave too little KV capacity for its layers. */
constexpr double kMaxMissingMemory = 0.15;

using Group = std::vector<const Engine*>;

double
MemoryOf(const Group& aGroup)
{
  return std::accumulate(
    aGroup.begin(), aGroup.end(), 0.0, [](double aSum, const Engine* aEngine) {
      return aSum + aEngine->memoryMb;
    });
}

/**
 * @brief Splits a number of layers over engines in proportion to their
 * memory.
 */
std::vector<std::uint32_t>
Sizes(const Group& aGroup, std::uint32_t aLayers, const ModelSize& aModel)
{
  const auto memory = MemoryOf(aGroup);
  std::vector<std::uint32_t> sizes;
  std::vector<double> wanted;
  std::uint32_t sum = 0;
  for (const auto* engine : aGroup) {
    wanted.push_back(aLayers * engine->memoryMb / memory);
    const auto size = std::min(static_cast<std::uint32_t>(wanted.back()),
                               MaxLayers(*engine, aModel));
    sizes.push_back(size);
    sum += size;
  }
  while (sum < aLayers) {
    // Give one more layer to the engine that is furthest below its share.
    std::size_t best = aGroup.size();
    double furthest = -1e9;
    for (std::size_t at = 0; at < aGroup.size(); ++at) {
      const auto lack = (wanted[at] - sizes[at]) / std::max(1.0, wanted[at]);
      if (sizes[at] < MaxLayers(*aGroup[at], aModel) && lack > furthest) {
        furthest = lack;
        best = at;
      }
    }
    if (best == aGroup.size()) {
      break;
    }
    ++sizes[best];
    ++sum;
  }
  return sizes;
}

/**
 * @brief Assigns consecutive ranges to the engines of a group, fastest
 * first.
 */
void
AssignRanges(Group aGroup,
             std::uint32_t aBegin,
             std::uint32_t aEnd,
             const ModelSize& aModel,
             Plan& aPlan)
{
  std::ranges::stable_sort(
    aGroup, {}, [](const Engine* aEngine) { return aEngine->stepFactor; });
  const auto sizes = Sizes(aGroup, aEnd - aBegin, aModel);
  auto layer = aBegin;
  for (std::size_t at = 0; at < aGroup.size(); ++at) {
    if (sizes[at] > 0) {
      aPlan[aGroup[at]->server] = { layer, layer + sizes[at] };
      layer += sizes[at];
    }
  }
}

/** @brief Whether engines together have memory for a copy of the model. */
bool
HoldsAll(const Group& aGroup, const ModelSize& aModel)
{
  std::uint32_t most = 0;
  for (const auto* engine : aGroup) {
    most += MaxLayers(*engine, aModel);
  }
  return most >= aModel.layers;
}

/**
 * @brief Assigns ranges from the first layer on, as far as the memory of the
 * engines reaches.
 */
void
AssignPartialRanges(const Group& aGroup, const ModelSize& aModel, Plan& aPlan)
{
  if (aGroup.empty()) {
    return;
  }
  const auto layers =
    static_cast<std::uint32_t>(MemoryOf(aGroup) / PerLayerMb(aModel));
  AssignRanges(aGroup, 0, std::clamp(layers, 1U, aModel.layers), aModel, aPlan);
}

/**
 * @brief Splits a zone's engines into groups that hold a copy of the model
 * each, and the rest.
 */
class ZoneSplit
{
public:
  ZoneSplit(Group aEngines, const ModelSize& aModel)
    : mModel{ aModel }
  {
    // Fast engines form the whole copies; slow ones form the rest.
    std::ranges::stable_sort(aEngines, [](const auto* aOne, const auto* aTwo) {
      return std::pair{ aOne->stepFactor, -aOne->memoryMb } <
             std::pair{ aTwo->stepFactor, -aTwo->memoryMb };
    });
    const auto memory = MemoryOf(aEngines);
    const auto usual = PerLayerMb(mModel) * mModel.layers;
    // Each copy takes one engine at least.
    const auto most = static_cast<double>(aEngines.size());
    auto copies = static_cast<std::size_t>(
      std::min(memory / usual + kMaxMissingMemory, most));
    if (copies == 0 && HoldsAll(aEngines, mModel)) {
      copies = 1;
    }
    mCopies.resize(copies);
    Distribute(aEngines, copies);
  }

  [[nodiscard]] const std::vector<Group>& Copies() const { return mCopies; }
  [[nodiscard]] const Group& Rest() const { return mRest; }

private:
  /** Adds each engine to the copy with the least memory so far. */
  void Distribute(const Group& aEngines, std::size_t aCopies)
  {
    if (aCopies == 0) {
      mRest = aEngines;
      return;
    }
    const auto enough = PerLayerMb(mModel) * mModel.layers;
    for (const auto* engine : aEngines) {
      auto least = std::ranges::min_element(
        mCopies, {}, [](const Group& aGroup) { return MemoryOf(aGroup); });
      if (MemoryOf(*least) + engine->memoryMb / 2 > enough &&
          HoldsAll(*least, mModel)) {
        mRest.push_back(engine);
        continue;
      }
      least->push_back(engine);
    }
  }

  ModelSize mModel;
  std::vector<Group> mCopies;
  Group mRest;
};

} // namespace

double
PerLayerMb(const ModelSize& aModel)
{
  return aModel.layerMb + kRequestsPerCopy * aModel.requestMb;
}

std::uint32_t
MaxLayers(const Engine& aEngine, const ModelSize& aModel)
{
  const auto perLayer = aModel.layerMb + kMinRequests * aModel.requestMb;
  const auto most = std::floor(aEngine.memoryMb / perLayer);
  return static_cast<std::uint32_t>(
    std::clamp(most, 0.0, static_cast<double>(aModel.layers)));
}

Plan
PlanAll(std::span<const Engine> aEngines, const ModelSize& aModel)
{
  std::map<ZoneId, Group> zones;
  for (const auto& engine : aEngines) {
    if (MaxLayers(engine, aModel) > 0) {
      zones[engine.zone].push_back(&engine);
    }
  }
  Plan plan;
  Group shared;
  for (const auto& [zone, engines] : zones) {
    const ZoneSplit split{ engines, aModel };
    for (const auto& copy : split.Copies()) {
      AssignRanges(copy, 0, aModel.layers, aModel, plan);
    }
    if (split.Copies().empty()) {
      shared.insert(shared.end(), split.Rest().begin(), split.Rest().end());
    } else {
      AssignPartialRanges(split.Rest(), aModel, plan);
    }
  }
  if (HoldsAll(shared, aModel)) {
    AssignRanges(shared, 0, aModel.layers, aModel, plan);
  } else {
    AssignPartialRanges(shared, aModel, plan);
  }
  return plan;
}

} // namespace balsampoint::placement

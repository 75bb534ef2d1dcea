#include "balsampoint/stream/internal/kept_inputs.hpp"

#include <limits>

namespace balsampoint::stream::internal {

namespace {

std::uint64_t
KeptBytes(const Progress& aProgress)
{
  std::uint64_t positions{};
  for (const auto& stage : aProgress.stages) {
    if (stage.stage.layers.begin == 0 || !stage.keepsInputs) {
      continue;
    }
    positions += stage.inputs.size();
  }
  return positions * aProgress.request.pipeline.activationBytes;
}

/** The stage whose loss of inputs adds the fewest layers to a replay; null if
 * no inputs can be dropped. */
StageState*
CheapestToDrop(Progress& aProgress)
{
  StageState* cheapest = nullptr;
  auto fewest = std::numeric_limits<std::uint32_t>::max();
  std::uint32_t keptBefore{};
  for (auto& stage : aProgress.stages) {
    if (stage.stage.layers.begin == 0 || !stage.keepsInputs) {
      continue;
    }
    const auto layers = stage.stage.layers.begin - keptBefore;
    keptBefore = stage.stage.layers.begin;
    if (layers < fewest) {
      fewest = layers;
      cheapest = &stage;
    }
  }
  return cheapest;
}

} // namespace

void
RecordInput(Progress& aProgress)
{
  auto& stage = aProgress.stages[aProgress.currentStage];
  if (!stage.keepsInputs) {
    return;
  }
  stage.inputs.resize(aProgress.step);
  stage.inputs.push_back(aProgress.input);
}

void
TrimInputs(Progress& aProgress)
{
  while (KeptBytes(aProgress) > aProgress.settings.keptActivationBytes) {
    auto* stage = CheapestToDrop(aProgress);
    if (stage == nullptr) {
      return;
    }
    stage->keepsInputs = false;
    stage->inputs = {};
  }
}

} // namespace balsampoint::stream::internal

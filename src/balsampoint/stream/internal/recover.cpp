#include "balsampoint/stream/internal/recover.hpp"

#include "balsampoint/stream/internal/end.hpp"
#include "balsampoint/stream/internal/estimate.hpp"
#include "balsampoint/stream/internal/kept_inputs.hpp"
#include "balsampoint/stream/internal/session.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace balsampoint::stream::internal {

namespace {

/** Losses in one zone during one position that make the zone avoided. */
constexpr std::ptrdiff_t kLossesPerZone = 2;

std::vector<ZoneId>
AvoidedZones(const Progress& aProgress)
{
  std::vector<ZoneId> avoided;
  for (const auto& zone : aProgress.lostZones) {
    if (std::ranges::count(aProgress.lostZones, zone) < kLossesPerZone ||
        std::ranges::find(avoided, zone) != avoided.end()) {
      continue;
    }
    avoided.push_back(zone);
  }
  return avoided;
}

StageState
Replacement(const Progress& aProgress,
            const PendingChoice& aPending,
            const route::Stage& aStage)
{
  StageState state{ .stage = aStage,
                    .session = NewSession(aProgress),
                    .keepsInputs = aProgress.step == 0 };
  if (!aPending.replaces) {
    return state;
  }
  state.times = InheritedTimes(aPending.lost, aStage);
  if (aStage.server == aPending.lost.stage.server) {
    state.missedDeadlines = aPending.lost.missedDeadlines;
  }
  return state;
}

std::vector<StageState>
Replacements(const Progress& aProgress,
             const PendingChoice& aPending,
             std::span<const route::Stage> aChain)
{
  const auto& lost = aPending.lost;
  const auto imports = PrefersImport(aProgress, aPending, aChain);
  std::vector<StageState> states;
  for (const auto& stage : aChain) {
    states.push_back(Replacement(aProgress, aPending, stage));
    if (imports && stage.server != lost.stage.server) {
      states.back().importSource = lost.stage.address;
      states.back().importSession = lost.session;
    }
  }
  if (aPending.replaces) {
    states.front().inputs = lost.inputs;
    states.front().keepsInputs = lost.keepsInputs;
  }
  return states;
}

void
Splice(Progress& aProgress,
       const PendingChoice& aPending,
       std::span<const route::Stage> aChain)
{
  auto states = Replacements(aProgress, aPending, aChain);
  auto& stages = aProgress.stages;
  auto at = stages.begin() + static_cast<std::ptrdiff_t>(aPending.stage);
  if (aPending.replaces) {
    at = stages.erase(at);
  }
  stages.insert(at,
                std::make_move_iterator(states.begin()),
                std::make_move_iterator(states.end()));
  if (!aPending.replaces) {
    aProgress.input = aProgress.starts.back();
    RecordInput(aProgress);
  }
}

} // namespace

void
RequestRoute(Progress& aProgress,
             PendingChoice aPending,
             Instant aNow,
             std::vector<Action>& aActions)
{
  ChooseRoute choose{ .layers = aPending.layers,
                      .excluded = aProgress.lost,
                      .avoidedZones = AvoidedZones(aProgress),
                      .until = aNow };
  if (aPending.allowsSlow || aProgress.slow.empty()) {
    choose.until = std::min(aNow + aProgress.settings.replacementWait,
                            aProgress.request.deadline);
  } else {
    choose.excluded.insert(
      choose.excluded.end(), aProgress.slow.begin(), aProgress.slow.end());
  }
  aProgress.pendingChoice = std::move(aPending);
  aProgress.phase = Phase::Choosing;
  aActions.emplace_back(std::move(choose));
}

void
HandleStageLoss(Progress& aProgress,
                FailureKind aKind,
                Instant aNow,
                std::vector<Action>& aActions)
{
  aProgress.pending.reset();
  aProgress.attempt = aProgress.attempt.Next();
  ++aProgress.counters.losses;
  if (aProgress.counters.losses > aProgress.settings.maxLosses) {
    GiveUp(aProgress,
           MakeError(ErrorKind::StreamBroken,
                     "the answer lost more servers than allowed"),
           aNow,
           aActions);
    return;
  }
  auto& stage = aProgress.stages[aProgress.currentStage];
  auto& list =
    aKind == FailureKind::ConnectionLost ? aProgress.lost : aProgress.slow;
  list.push_back(
    { .server = stage.stage.server, .incarnation = stage.stage.incarnation });
  aProgress.lostZones.push_back(stage.stage.zone);
  if (aKind == FailureKind::DeadlinePassed) {
    ++stage.missedDeadlines;
  }
  const auto holdsKv = stage.kvPositions == aProgress.step;
  RequestRoute(aProgress,
               { .stage = aProgress.currentStage,
                 .layers = stage.stage.layers,
                 .replaces = true,
                 .lost = std::move(stage),
                 .canImport = aKind == FailureKind::DeadlinePassed && holdsKv },
               aNow,
               aActions);
}

bool
InstallRoute(Progress& aProgress,
             const RouteChosen& aChosen,
             Instant aNow,
             std::vector<Action>& aActions)
{
  if (!aProgress.pendingChoice ||
      aProgress.pendingChoice->layers != aChosen.layers) {
    ++aProgress.counters.droppedReplies;
    return false;
  }
  auto pendingChoice = std::move(*aProgress.pendingChoice);
  aProgress.pendingChoice.reset();
  if (aChosen.route && route::Covers(*aChosen.route, pendingChoice.layers)) {
    Splice(aProgress, pendingChoice, *aChosen.route);
    return true;
  }
  if (!aChosen.route && !pendingChoice.allowsSlow && !aProgress.slow.empty()) {
    pendingChoice.allowsSlow = true;
    RequestRoute(aProgress, std::move(pendingChoice), aNow, aActions);
    return false;
  }
  GiveUp(aProgress,
         aChosen.route
           ? MakeError(ErrorKind::Internal,
                       "the chosen servers do not cover the layer range")
           : aChosen.route.error(),
         aNow,
         aActions);
  return false;
}

} // namespace balsampoint::stream::internal

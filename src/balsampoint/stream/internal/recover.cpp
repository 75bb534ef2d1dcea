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
            const Vacancy& aVacancy,
            const route::Stage& aStage)
{
  StageState state{ .stage = aStage,
                    .session = NewSession(aProgress),
                    .keepsInputs = aProgress.step == 0 };
  if (!aVacancy.replaces) {
    return state;
  }
  state.times = InheritedTimes(aVacancy.lost, aStage);
  if (aStage.server == aVacancy.lost.stage.server) {
    state.missedDeadlines = aVacancy.lost.missedDeadlines;
  }
  return state;
}

std::vector<StageState>
Replacements(const Progress& aProgress,
             const Vacancy& aVacancy,
             std::span<const route::Stage> aChain)
{
  const auto& lost = aVacancy.lost;
  const auto imports = PrefersImport(aProgress, aVacancy, aChain);
  std::vector<StageState> states;
  for (const auto& stage : aChain) {
    states.push_back(Replacement(aProgress, aVacancy, stage));
    if (imports && stage.server != lost.stage.server) {
      states.back().importSource = lost.stage.address;
      states.back().importSession = lost.session;
    }
  }
  if (aVacancy.replaces) {
    states.front().inputs = lost.inputs;
    states.front().keepsInputs = lost.keepsInputs;
  }
  return states;
}

void
Splice(Progress& aProgress,
       const Vacancy& aVacancy,
       std::span<const route::Stage> aChain)
{
  auto states = Replacements(aProgress, aVacancy, aChain);
  auto& stages = aProgress.stages;
  auto at = stages.begin() + static_cast<std::ptrdiff_t>(aVacancy.stage);
  if (aVacancy.replaces) {
    at = stages.erase(at);
  }
  stages.insert(at,
                std::make_move_iterator(states.begin()),
                std::make_move_iterator(states.end()));
  if (!aVacancy.replaces) {
    aProgress.input = aProgress.starts.back();
    RecordInput(aProgress);
  }
}

} // namespace

void
AskForRoute(Progress& aProgress,
            Vacancy aVacancy,
            Instant aNow,
            std::vector<Action>& aActions)
{
  ChooseRoute wish{ .layers = aVacancy.layers,
                    .excluded = aProgress.lost,
                    .avoidedZones = AvoidedZones(aProgress),
                    .until = aNow };
  if (aVacancy.lastResort || aProgress.slow.empty()) {
    wish.until = std::min(aNow + aProgress.settings.replacementWait,
                          aProgress.request.deadline);
  } else {
    wish.excluded.insert(
      wish.excluded.end(), aProgress.slow.begin(), aProgress.slow.end());
  }
  aProgress.vacancy = std::move(aVacancy);
  aProgress.phase = Phase::Choosing;
  aActions.emplace_back(std::move(wish));
}

void
LoseStage(Progress& aProgress,
          Loss aLoss,
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
  auto& stage = aProgress.stages[aProgress.at];
  auto& list = aLoss == Loss::ConnectionLost ? aProgress.lost : aProgress.slow;
  list.push_back(
    { .server = stage.stage.server, .incarnation = stage.stage.incarnation });
  aProgress.lostZones.push_back(stage.stage.zone);
  if (aLoss == Loss::DeadlinePassed) {
    ++stage.missedDeadlines;
  }
  const auto holdsKv = stage.kvPositions == aProgress.step;
  AskForRoute(aProgress,
              { .stage = aProgress.at,
                .layers = stage.stage.layers,
                .replaces = true,
                .lost = std::move(stage),
                .mayImport = aLoss == Loss::DeadlinePassed && holdsKv },
              aNow,
              aActions);
}

bool
InstallRoute(Progress& aProgress,
             const RouteChosen& aChosen,
             Instant aNow,
             std::vector<Action>& aActions)
{
  if (!aProgress.vacancy || aProgress.vacancy->layers != aChosen.layers) {
    ++aProgress.counters.droppedReplies;
    return false;
  }
  auto vacancy = std::move(*aProgress.vacancy);
  aProgress.vacancy.reset();
  if (aChosen.route && route::Covers(*aChosen.route, vacancy.layers)) {
    Splice(aProgress, vacancy, *aChosen.route);
    return true;
  }
  if (!aChosen.route && !vacancy.lastResort && !aProgress.slow.empty()) {
    vacancy.lastResort = true;
    AskForRoute(aProgress, std::move(vacancy), aNow, aActions);
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

#include "balsampoint/stream/internal/advance.hpp"

#include "balsampoint/stream/internal/estimate.hpp"
#include "balsampoint/stream/internal/kept_inputs.hpp"
#include "balsampoint/stream/internal/recover.hpp"
#include "balsampoint/stream/internal/session.hpp"

#include <algorithm>

namespace balsampoint::stream::internal {

namespace {

CallId
BeginCall(Progress& aProgress, CallKind aKind, Instant aNow)
{
  const auto& stage = aProgress.stages[aProgress.currentStage];
  aProgress.phase = Phase::Calling;
  CallId id{ .request = stage.session,
             .attempt = aProgress.attempt,
             .step = StepNumber{ aProgress.step },
             .layers = stage.stage.layers };
  aProgress.pending = PendingCall{ .id = id, .kind = aKind, .sentAt = aNow };
  return id;
}

Target
TargetOf(Progress& aProgress, Instant aDeadline)
{
  const auto& state = aProgress.stages[aProgress.currentStage];
  const auto& stage = state.stage;
  Target target{ .server = stage.server,
                 .incarnation = stage.incarnation,
                 .address = stage.address,
                 .deadline = aDeadline };
  const auto known =
    std::ranges::any_of(aProgress.sessions, [&](const ServerSession& aKnown) {
      return aKnown.target.server == target.server &&
             aKnown.target.address == target.address &&
             aKnown.request == state.session;
    });
  if (!known) {
    aProgress.sessions.push_back(
      { .target = target, .request = state.session });
  }
  return target;
}

void
SendStep(Progress& aProgress, Instant aNow, std::vector<Action>& aActions)
{
  const auto& pipeline = aProgress.request.pipeline;
  const auto& stage = aProgress.stages[aProgress.currentStage];
  const auto target = TargetOf(aProgress, StepDeadline(aProgress, stage, aNow));
  aActions.emplace_back(
    CallStep{ .target = target,
              .call = { .id = BeginCall(aProgress, CallKind::Step, aNow),
                        .model = pipeline.model,
                        .version = pipeline.version,
                        .adapter = pipeline.adapter,
                        .start = aProgress.starts.back(),
                        .input = aProgress.input,
                        .kvDigest = aProgress.kvDigest,
                        .priority = aProgress.request.priority } });
}

void
SendImport(Progress& aProgress, Instant aNow, std::vector<Action>& aActions)
{
  const auto& pipeline = aProgress.request.pipeline;
  auto& stage = aProgress.stages[aProgress.currentStage];
  stage.session = NewSession(aProgress);
  const auto expected = ImportTime(aProgress, stage.stage.layers);
  const auto target =
    TargetOf(aProgress, RebuildDeadline(aProgress, stage, expected, aNow));
  ++aProgress.counters.imports;
  aActions.emplace_back(
    CallImport{ .target = target,
                .call = { .id = BeginCall(aProgress, CallKind::Import, aNow),
                          .model = pipeline.model,
                          .version = pipeline.version,
                          .source = stage.importSource,
                          .sourceRequest = stage.importSession,
                          .kvDigest = aProgress.kvDigest } });
}

std::vector<Position>
PastPositions(const Progress& aProgress, const StageState& aStage)
{
  std::vector<Position> positions(aProgress.step);
  for (std::size_t at = 0; at < positions.size(); ++at) {
    positions[at] = { .start = aProgress.starts[at],
                      .input = aStage.inputs[at] };
  }
  return positions;
}

void
SendReplay(Progress& aProgress, Instant aNow, std::vector<Action>& aActions)
{
  const auto& pipeline = aProgress.request.pipeline;
  auto& stage = aProgress.stages[aProgress.currentStage];
  stage.session = NewSession(aProgress);
  const auto expected = ReplayTime(aProgress, stage.stage);
  const auto target =
    TargetOf(aProgress, RebuildDeadline(aProgress, stage, expected, aNow));
  ++aProgress.counters.replays;
  aProgress.counters.replayedPositions += aProgress.step;
  aActions.emplace_back(
    CallReplay{ .target = target,
                .call = { .id = BeginCall(aProgress, CallKind::Replay, aNow),
                          .model = pipeline.model,
                          .version = pipeline.version,
                          .adapter = pipeline.adapter,
                          .positions = PastPositions(aProgress, stage) } });
}

/**
 * Moves back to the nearest earlier stage whose past inputs are kept. The KV of
 * the stages from there on is rebuilt by replays.
 */
void
RewindToKeptInputs(Progress& aProgress)
{
  auto at = aProgress.currentStage;
  aProgress.stages[at].kvPositions = 0;
  while (!aProgress.stages[at].keepsInputs) {
    --at;
    aProgress.stages[at].kvPositions = 0;
    aProgress.stages[at].importSource.clear();
  }
  aProgress.currentStage = at;
  aProgress.input = aProgress.stages[at].inputs[aProgress.step];
}

/** Whether outputs equal those of the first run, where these are still kept. */
bool
MatchesFirstRun(const Progress& aProgress,
                std::span<const std::uint64_t> aOutputs)
{
  if (aOutputs.size() != aProgress.step) {
    return false;
  }
  const auto next = aProgress.currentStage + 1;
  if (next == aProgress.stages.size()) {
    return std::ranges::equal(aOutputs, aProgress.outputs);
  }
  const auto& stage = aProgress.stages[next];
  return !stage.keepsInputs ||
         std::ranges::equal(aOutputs,
                            std::span{ stage.inputs }.first(aProgress.step));
}

} // namespace

void
Advance(Progress& aProgress, Instant aNow, std::vector<Action>& aActions)
{
  auto* stage = &aProgress.stages[aProgress.currentStage];
  if (stage->gone) {
    HandleStageLoss(aProgress, FailureKind::ConnectionLost, aNow, aActions);
    return;
  }
  if (stage->kvPositions == aProgress.step) {
    SendStep(aProgress, aNow, aActions);
    return;
  }
  if (!stage->importSource.empty()) {
    SendImport(aProgress, aNow, aActions);
    return;
  }
  if (!stage->keepsInputs) {
    RewindToKeptInputs(aProgress);
    stage = &aProgress.stages[aProgress.currentStage];
  }
  if (stage->gone) {
    HandleStageLoss(aProgress, FailureKind::ConnectionLost, aNow, aActions);
    return;
  }
  SendReplay(aProgress, aNow, aActions);
}

void
BeginPosition(Progress& aProgress, std::uint64_t aStart)
{
  TrimInputs(aProgress);
  aProgress.lostZones.clear();
  aProgress.starts.push_back(aStart);
  aProgress.currentStage = 0;
  aProgress.input = aStart;
  RecordInput(aProgress);
}

std::optional<Instant>
AcceptReply(Progress& aProgress, const CallId& aId, CallKind aKind)
{
  const auto& pending = aProgress.pending;
  if (!pending || pending->kind != aKind || pending->id != aId) {
    ++aProgress.counters.droppedReplies;
    return std::nullopt;
  }
  const auto sentAt = pending->sentAt;
  aProgress.pending.reset();
  return sentAt;
}

std::optional<std::uint64_t>
ApplyStep(Progress& aProgress,
          std::uint64_t aOutput,
          Duration aTime,
          Instant aNow,
          std::vector<Action>& aActions)
{
  auto& stage = aProgress.stages[aProgress.currentStage];
  stage.times.Observe(aTime);
  stage.missedDeadlines = 0;
  stage.kvPositions = aProgress.step + 1;
  if (aProgress.currentStage + 1 == aProgress.stages.size()) {
    aProgress.kvDigest =
      ExtendKvDigest(aProgress.kvDigest, aProgress.starts.back());
    aProgress.outputs.push_back(aOutput);
    ++aProgress.step;
    return aOutput;
  }
  ++aProgress.currentStage;
  aProgress.input = aOutput;
  RecordInput(aProgress);
  Advance(aProgress, aNow, aActions);
  return std::nullopt;
}

void
ApplyReplay(Progress& aProgress,
            const ReplayReply& aReply,
            Instant aNow,
            std::vector<Action>& aActions)
{
  if (!MatchesFirstRun(aProgress, aReply.outputs)) {
    HandleStageLoss(aProgress, FailureKind::Refused, aNow, aActions);
    return;
  }
  aProgress.stages[aProgress.currentStage].kvPositions = aProgress.step;
  const auto next = aProgress.currentStage + 1;
  if (next < aProgress.stages.size() && !aProgress.stages[next].keepsInputs) {
    aProgress.stages[next].inputs = aReply.outputs;
    aProgress.stages[next].keepsInputs = true;
  }
  Advance(aProgress, aNow, aActions);
}

void
ApplyImport(Progress& aProgress, Instant aNow, std::vector<Action>& aActions)
{
  auto& stage = aProgress.stages[aProgress.currentStage];
  stage.kvPositions = aProgress.step;
  stage.importSource.clear();
  Advance(aProgress, aNow, aActions);
}

} // namespace balsampoint::stream::internal

#include "balsampoint/fanout/command/distribute.hpp"

#include "balsampoint/change/delta.hpp"
#include "balsampoint/fanout/internal/root.hpp"

#include <algorithm>

namespace balsampoint::fanout {

namespace {

void
Advance(State& aState, Content aNext, Step aStep)
{
  aState.content = std::move(aNext);
  aState.newestKnown = std::max(aState.newestKnown, aState.content.number);
  aState.steps.push_back(std::move(aStep));
  while (aState.steps.size() > aState.settings.maxSteps) {
    aState.steps.pop_front();
  }
}

void
SendToChildren(State& aState, Instant aNow, Actions& aActions)
{
  for (auto& [host, child] : aState.children) {
    const auto have = std::max(child.report.number, child.sent);
    if (!child.via.Empty() || have >= aState.content.number) {
      continue;
    }
    SendMissing(aState, host, have, aNow, aActions);
    child.sent = aState.content.number;
    child.sentAt = aNow;
  }
}

/** @brief Publishes the new configuration and sends it to the children. */
void
AfterAdvance(State& aState, Instant aNow, Actions& aActions)
{
  PublishWhenReady(aState, aNow, aActions);
  SendToChildren(aState, aNow, aActions);
}

} // namespace

void
SendMissing(const State& aState,
            const HostId& aTo,
            ChangeNumber aHave,
            Instant aNow,
            Actions& aActions)
{
  auto step = std::ranges::find(aState.steps, aHave, &Step::base);
  if (step == aState.steps.end()) {
    Update update{ .number = aState.content.number,
                   .whole = true,
                   .delta = { *aState.content.sections, {} },
                   .leader = aState.leader,
                   .rootAge = internal::RootAge(aState, aNow) };
    aActions.emplace_back(Send{ aTo, std::move(update) });
    return;
  }
  for (; step != aState.steps.end(); ++step) {
    aActions.emplace_back(Send{ aTo,
                                Update{ step->base,
                                        step->number,
                                        false,
                                        step->delta,
                                        aState.leader,
                                        internal::RootAge(aState, aNow) } });
  }
}

void
PublishWhenReady(State& aState, Instant aNow, Actions& aActions)
{
  if (!aState.ready) {
    const bool allAnswered =
      aState.answeredSeeds.size() >= aState.settings.seeds.size();
    const bool waited = allAnswered || aNow >= aState.startDeadline;
    const bool current = aState.content.number >= aState.newestKnown &&
                         aState.content.number != ChangeNumber{};
    if (!waited || !current) {
      return;
    }
    aState.ready = true;
    aState.startDeadline = kNever;
  }
  aActions.emplace_back(
    Publish{ aState.content.number, aState.content.sections });
}

void
HandleAccepted(State& aState,
               const Accepted& aEvent,
               Instant aNow,
               Actions& aActions)
{
  if (aEvent.number <= aState.content.number) {
    return;
  }
  Step step{ aState.content.number,
             aEvent.number,
             change::Difference(*aState.content.sections, *aEvent.sections) };
  Advance(aState, { aEvent.number, aEvent.sections }, std::move(step));
  AfterAdvance(aState, aNow, aActions);
}

void
HandleUpdate(State& aState,
             const HostId& aFrom,
             const Update& aUpdate,
             Instant aNow,
             Actions& aActions)
{
  if (aFrom == aState.parent) {
    aState.lastParentContactAt = aNow;
    aState.lastRootContactAt =
      std::max(aState.lastRootContactAt, aNow - aUpdate.rootAge);
    if (aState.leadingSince == kNever && aUpdate.leader != aState.leader) {
      aState.leader = aUpdate.leader;
      aActions.emplace_back(LeaderAdvertised{ aState.leader });
    }
  }
  aState.newestKnown = std::max(aState.newestKnown, aUpdate.number);
  if (aUpdate.number <= aState.content.number) {
    return;
  }
  if (!aUpdate.whole && aUpdate.base != aState.content.number) {
    aActions.emplace_back(Send{ aFrom, Fetch{ aState.content.number } });
    return;
  }
  if (!aUpdate.whole && aUpdate.base == aUpdate.number) {
    return;
  }
  const auto& base =
    aUpdate.whole ? change::Sections{} : *aState.content.sections;
  Content next{ aUpdate.number, change::ApplyDelta(base, aUpdate.delta) };
  Step step{ aState.content.number, aUpdate.number, aUpdate.delta };
  if (aUpdate.whole) {
    step.delta = change::Difference(*aState.content.sections, *next.sections);
  }
  Advance(aState, std::move(next), std::move(step));
  AfterAdvance(aState, aNow, aActions);
}

} // namespace balsampoint::fanout

#include "balsampoint/change/module.hpp"

#include "balsampoint/change/command/lead.hpp"
#include "balsampoint/change/command/submit.hpp"
#include "balsampoint/change/query/next_deadline.hpp"
#include "balsampoint/core/concepts.hpp"

namespace balsampoint::change {

static_assert(ControlModule<Module>);

namespace {

/** @brief Dispatches each kind of event and message to its command. */
struct Dispatch
{
  State& state;
  Instant now;
  Actions& actions;

  void operator()(const Submit& aEvent) const
  {
    HandleSubmit(state, aEvent, now, actions);
  }
  void operator()(const Received& aEvent) const
  {
    if (const auto* submission = std::get_if<Submission>(&aEvent.message)) {
      HandleSubmission(state, aEvent.from, *submission, actions);
      return;
    }
    HandleReply(state, std::get<SubmissionReply>(aEvent.message), now, actions);
  }
  void operator()(const LeaderKnown& aEvent) const
  {
    HandleLeaderKnown(state, aEvent, now, actions);
  }
  void operator()(const Committed& aEvent) const
  {
    HandleCommitted(state, aEvent, actions);
  }
  void operator()(const ProposalRefused& aEvent) const
  {
    HandleProposalRefused(state, aEvent, actions);
  }
  void operator()(const Restored& aEvent) const
  {
    HandleRestored(state, aEvent, actions);
  }
  void operator()(const LeadershipEstablished& aEvent) const
  {
    // Passed on so that it follows the actions of the changes committed before.
    actions.emplace_back(aEvent);
  }
  void operator()(const SnapshotRequested& aEvent) const
  {
    actions.emplace_back(SnapshotReady{ aEvent.index, state.table });
  }
  void operator()(const ReadRequested& aEvent) const
  {
    actions.emplace_back(
      ReadReady{ aEvent.ticket, state.table.number, state.table.sections });
  }
};

} // namespace

void
Module::Handle(State& aState,
               const Event& aEvent,
               Instant aNow,
               Actions& aActions)
{
  std::visit(Dispatch{ aState, aNow, aActions }, aEvent);
}

void
Module::Tick(State& aState, Instant aNow, Actions& aActions)
{
  RetryPending(aState, aNow, aActions);
}

Instant
Module::NextDeadline(const State& aState)
{
  return change::NextDeadline(aState);
}

} // namespace balsampoint::change

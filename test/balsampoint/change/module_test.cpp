#include "balsampoint/change/module.hpp"

#include <criterion/criterion.h>

using namespace balsampoint;
using namespace balsampoint::change;
using std::chrono::seconds;

namespace {

const HostId kSelf{ "entry" };
const HostId kLeader{ "leader" };
const Change kChange{ .number = ChangeNumber{ 1 },
                      .id = ChangeId{ "id" },
                      .digest = "digest" };

State
MakeState(const HostId& aSelf)
{
  return { .settings = { .self = aSelf,
                         .seeds = { kLeader, HostId{ "other" } } } };
}

/** @brief The single action of a type, or null; fails if there are several. */
template<typename Kind>
const Kind*
Only(const Actions& aActions)
{
  const Kind* found = nullptr;
  for (const auto& action : aActions) {
    if (const auto* kind = std::get_if<Kind>(&action)) {
      cr_assert_null(found);
      found = kind;
    }
  }
  return found;
}

Actions
Run(State& aState, const Event& aEvent, Instant aNow = {})
{
  Actions actions;
  Module::Handle(aState, aEvent, aNow, actions);
  return actions;
}

} // namespace

Test(change, a_change_goes_to_the_leader_and_its_answer_comes_back)
{
  auto entry = MakeState(kSelf);
  auto leader = MakeState(kLeader);
  Run(leader, LeaderKnown{ kLeader });
  auto actions = Run(entry, Submit{ Ticket{ 7 }, kChange });
  const auto sent = *Only<Send>(actions);
  cr_assert_eq(sent.to, kLeader);
  actions = Run(leader, Received{ kSelf, sent.message });
  const auto proposed = *Only<Propose>(actions);
  cr_assert(Run(leader, Received{ kSelf, sent.message }).empty());
  actions = Run(leader, Committed{ proposed.ticket, proposed.change });
  cr_assert_not_null(Only<Accepted>(actions));
  actions = Run(entry, Received{ kLeader, Only<Send>(actions)->message });
  const auto* answered = Only<Answered>(actions);
  cr_assert_eq(answered->ticket, Ticket{ 7 });
  cr_assert(answered->result->outcome == Outcome::Accepted);
}

Test(change, a_lost_answer_is_unknown_and_a_resend_gets_it)
{
  auto entry = MakeState(kSelf);
  auto leader = MakeState(kLeader);
  Run(leader, LeaderKnown{ kLeader });
  auto actions = Run(entry, Submit{ Ticket{ 1 }, kChange });
  actions = Run(leader, Received{ kSelf, Only<Send>(actions)->message });
  Run(leader, Committed{ Only<Propose>(actions)->ticket, kChange });
  Actions late;
  Module::Tick(entry, Instant{} + seconds{ 10 }, late);
  const auto* unknown = Only<Answered>(late);
  cr_assert(unknown->result.error().kind == ErrorKind::OutcomeUnknown);
  cr_assert(unknown->result.error().executed == Executed::Unknown);
  actions = Run(entry, Submit{ Ticket{ 2 }, kChange });
  actions = Run(leader, Received{ kSelf, Only<Send>(actions)->message });
  actions = Run(entry, Received{ kLeader, Only<Send>(actions)->message });
  cr_assert(Only<Answered>(actions)->result->outcome == Outcome::Accepted);
}

Test(change, a_change_refused_by_every_host_is_not_executed)
{
  auto entry = MakeState(kSelf);
  auto follower = MakeState(kLeader);
  auto actions = Run(entry, Submit{ Ticket{ 1 }, kChange });
  actions = Run(follower, Received{ kSelf, Only<Send>(actions)->message });
  Run(entry, Received{ kLeader, Only<Send>(actions)->message });
  Actions late;
  Module::Tick(entry, Instant{} + seconds{ 10 }, late);
  const auto& error = Only<Answered>(late)->result.error();
  cr_assert(error.kind == ErrorKind::ControlUnavailable);
  cr_assert(error.executed == Executed::No);
}

Test(change, a_reply_for_another_change_under_a_reused_ticket_is_ignored)
{
  auto entry = MakeState(kSelf);
  Run(entry, Submit{ Ticket{ 1 }, kChange });
  const SubmissionReply reply{
    Ticket{ 1 }, AttemptNumber{ 1 }, ChangeId{ "older" }, Answer{}, {}
  };
  cr_assert(Run(entry, Received{ kLeader, reply }).empty());
}

Test(change, a_refused_proposal_is_not_executed_unless_its_outcome_is_unknown)
{
  for (const auto executed : { Executed::No, Executed::Unknown }) {
    auto leader = MakeState(kLeader);
    Run(leader, LeaderKnown{ kLeader });
    auto actions = Run(leader, Submit{ Ticket{ 1 }, kChange });
    Run(leader, ProposalRefused{ Only<Propose>(actions)->ticket, executed });
    Run(leader, LeaderKnown{});
    Actions late;
    Module::Tick(leader, Instant{} + seconds{ 10 }, late);
    cr_assert(Only<Answered>(late)->result.error().executed == executed);
  }
}

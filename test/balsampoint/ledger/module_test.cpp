#include "balsampoint/ledger/module.hpp"

#include <criterion/criterion.h>

using namespace balsampoint;
using namespace balsampoint::ledger;

namespace {

using namespace std::chrono_literals;

constexpr Instant kStart{ 1h };
const HostId kEntry{ "entry" };
const HostId kFirst{ "first" };
const HostId kSecond{ "second" };

struct Host
{
  State state;
  std::vector<Action> actions;

  explicit Host(const HostId& aSelf)
    : state{ *Module::Start({ .self = aSelf,
                              .incarnation = Incarnation{ 7 },
                              .members = { kFirst, kSecond } },
                            Bounds{},
                            kStart) }
  {
  }

  void On(const Event& aEvent, Instant aNow = kStart)
  {
    actions.clear();
    Module::Handle(state, aEvent, aNow, actions);
  }

  template<typename T>
  const T* Last() const
  {
    return actions.empty() ? nullptr : std::get_if<T>(&actions.back());
  }
};

Claim
ClaimBy(const HostId& aHost)
{
  return { .key = { .value = "k" },
           .digest = {},
           .id = { aHost, Incarnation{ 7 }, 1 } };
}

CommandRequested
Request(const HostId& aHost)
{
  return { .ticket = Ticket{ 5 },
           .command = ClaimBy(aHost),
           .until = kStart + 2s };
}

} // namespace

Test(module, entry_host_finds_the_leader_and_reports_its_decision)
{
  Host entry{ kEntry };
  Host leader{ kSecond };
  leader.On(LeaderChanged{ kSecond });
  entry.On(Request(kEntry));
  const auto request = *entry.Last<Send>();
  cr_assert(request.to == kFirst);
  const auto id = std::get<ForwardRequest>(request.message).id;
  entry.On(Received{ kFirst, NotLeader{ .id = id, .leader = kSecond } });
  const auto second = *entry.Last<Send>();
  cr_assert(second.to == kSecond);
  leader.On(Received{ kEntry, second.message });
  const auto replicate = *leader.Last<Replicate>();
  leader.On(Applied{ replicate.command, replicate.ticket });
  const auto reply = *leader.Last<Send>();
  entry.On(Received{ kSecond, reply.message });
  const auto* decided = entry.Last<Decided>();
  cr_assert_eq(decided->ticket, Ticket{ 5 });
  cr_assert(std::holds_alternative<Granted>(decided->outcome));
  entry.On(Received{ kSecond, reply.message });
  cr_assert(entry.actions.empty(), "a duplicate reply has no effect");
}

Test(module, unresponsive_member_is_skipped_until_the_deadline)
{
  Host entry{ kEntry };
  entry.On(Request(kEntry));
  cr_assert(entry.Last<Send>()->to == kFirst);
  auto now = Module::NextDeadline(entry.state);
  entry.actions.clear();
  Module::Tick(entry.state, now, entry.actions);
  cr_assert(entry.Last<Send>()->to == kSecond);
  while (entry.Last<CommandFailed>() == nullptr) {
    now = Module::NextDeadline(entry.state);
    Module::Tick(entry.state, now, entry.actions);
  }
  cr_assert(now == kStart + 2s);
  cr_assert(entry.Last<CommandFailed>()->mayApply);
  cr_assert_eq(entry.Last<CommandFailed>()->error.executed, Executed::No);
  cr_assert_eq(Module::NextDeadline(entry.state), kNever);
}

Test(module, answer_to_an_earlier_incarnation_decides_nothing)
{
  Host entry{ kEntry };
  entry.On(Request(kEntry));
  auto id = std::get<ForwardRequest>(entry.Last<Send>()->message).id;
  id.incarnation = Incarnation{ 6 };
  entry.On(Received{ kFirst, ForwardReply{ .id = id, .outcome = Granted{} } });
  cr_assert(entry.actions.empty());
}

Test(module, command_for_the_claim_of_another_host_is_ignored)
{
  Host leader{ kFirst };
  leader.On(LeaderChanged{ kFirst });
  leader.On(Received{ kSecond,
                      ForwardRequest{ .id = {}, .command = ClaimBy(kEntry) } });
  cr_assert(leader.actions.empty());
}

Test(module, pending_commands_are_resent_to_a_new_leader)
{
  Host member{ kFirst };
  member.On(LeaderChanged{ kSecond });
  member.On(Request(kFirst));
  cr_assert(member.Last<Send>()->to == kSecond);
  member.On(LeaderChanged{ kFirst });
  cr_assert_not_null(member.Last<Replicate>());
}

Test(module, leader_proposes_the_time_elapsed_since_the_last_step)
{
  Host leader{ kFirst };
  leader.On(LeaderChanged{ kFirst });
  leader.On(Restored{ Table{} }, kStart + 5s);
  const auto now = Module::NextDeadline(leader.state);
  cr_assert(now == kStart + 35s);
  Module::Tick(leader.state, now, leader.actions);
  const auto step = std::get<TimeStep>(leader.Last<Replicate>()->command);
  cr_assert(step.from == 0s && step.by == 30s);
}

Test(module, host_without_an_id_is_refused)
{
  cr_assert_not(Module::Start({}, Bounds{}, kStart).has_value());
}

Test(module, snapshot_has_the_table_at_its_index)
{
  Host member{ kFirst };
  member.On(Applied{ ClaimBy(kEntry), {} });
  member.On(SnapshotWanted{ 7 });
  const auto ready = *member.Last<SnapshotReady>();
  auto other = ClaimBy(kEntry);
  other.key.value = "later";
  member.On(Applied{ other, {} });
  cr_assert_eq(ready.index, 7);
  cr_assert_eq(ready.table->entries.size(), 1);
}

Test(module, full_host_refuses_without_sending)
{
  Host entry{ kEntry };
  entry.state.settings.maxPending = 0;
  entry.On(Request(kEntry));
  cr_assert_eq(entry.Last<CommandFailed>()->error.kind, ErrorKind::Overloaded);
  cr_assert_not(entry.Last<CommandFailed>()->mayApply);
}

Test(module, host_without_a_control_group_refuses_at_once)
{
  Host entry{ kEntry };
  entry.state.settings.members.clear();
  entry.On(Request(kEntry));
  cr_assert_eq(entry.Last<CommandFailed>()->error.kind,
               ErrorKind::ControlUnavailable);
  cr_assert_eq(entry.Last<CommandFailed>()->error.executed, Executed::No);
}

Test(module, detached_command_is_sent_without_a_reply_to_a_caller)
{
  Host entry{ kEntry };
  const auto claim = ClaimBy(kEntry);
  entry.On(CommandPosted{ Release{ .key = claim.key, .id = claim.id } });
  const auto id = std::get<ForwardRequest>(entry.Last<Send>()->message).id;
  entry.On(Received{ kFirst, ForwardReply{ .id = id, .outcome = Done{} } });
  cr_assert(entry.actions.empty());
  cr_assert(entry.state.commands.empty());
}

#include "balsampoint/consensus/group.hpp"

#include "balsampoint/consensus/query/status.hpp"

#include <criterion/criterion.h>

using namespace balsampoint;
using namespace balsampoint::consensus;
using namespace balsampoint::consensus::test;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

const HostId kStandby{ "d" };

std::vector<HostId>
Voters(const Group& aGroup, const HostId& aHost)
{
  std::vector<HostId> voters;
  for (const auto& member : aGroup.hosts.at(aHost).state.members.members) {
    if (member.role == MemberRole::Voter) {
      voters.push_back(member.host);
    }
  }
  return voters;
}

bool
Holds(const std::vector<HostId>& aHosts, const HostId& aHost)
{
  return std::ranges::find(aHosts, aHost) != aHosts.end();
}

Ticket
Add(Group& aGroup, const HostId& aLeader, const HostId& aHost)
{
  return aGroup.Post(aLeader, [&](Ticket aTicket) -> Event {
    return AddMember{ aTicket, aHost, ZoneId{ "zone-0" } };
  });
}

Ticket
Remove(Group& aGroup, const HostId& aLeader, const HostId& aHost)
{
  return aGroup.Post(aLeader, [&](Ticket aTicket) -> Event {
    return RemoveMember{ aTicket, aHost };
  });
}

HostId
AFollower(const Group& aGroup, const HostId& aLeader)
{
  for (const auto& host : Voters(aGroup, aLeader)) {
    if (host != aLeader && aGroup.hosts.at(host).up) {
      return host;
    }
  }
  return {};
}

} // namespace

Test(members, a_learner_is_promoted_only_when_synced_up_to_the_commit)
{
  Group group{ 3, 1, 21 };
  const auto leader = group.Elect();
  group.Commit(leader, "before");
  group.CutOff(kStandby, true);
  const auto ticket = Add(group, leader, kStandby);
  group.Run(seconds{ 3 });
  cr_assert(group.answers[ticket].done);
  cr_assert_not(Holds(Voters(group, leader), kStandby));
  group.CutOff(kStandby, false);
  group.Run(seconds{ 3 });
  cr_assert(Holds(Voters(group, leader), kStandby));
  cr_assert_eq(group.hosts.at(kStandby).table, "before\n");
}

Test(members, changes_go_one_at_a_time)
{
  Group group{ 3, 2, 22 };
  const auto leader = group.Elect();
  Add(group, leader, kStandby);
  const auto second = Add(group, leader, HostId{ "e" });
  cr_assert(group.answers[second].error->kind == ErrorKind::Conflict);
}

Test(members, a_removed_host_cannot_vote_or_disturb)
{
  Group group{ 4, 0, 23 };
  const auto leader = group.Elect();
  const auto removed = AFollower(group, leader);
  group.CutOff(removed, true);
  group.Run(seconds{ 1 });
  const auto ticket = Remove(group, leader, removed);
  group.Run(seconds{ 1 });
  cr_assert(group.answers[ticket].done);
  group.CutOff(removed, false);
  const auto term = group.hosts.at(leader).state.hard.term;
  group.Run(seconds{ 10 });
  cr_assert_eq(group.hosts.at(leader).state.hard.term, term);
  const auto other = AFollower(group, leader);
  group.Kill(leader);
  group.Kill(other);
  group.Run(seconds{ 10 });
  cr_assert(group.Leader().Empty());
}

Test(members, a_removed_leader_steps_down)
{
  Group group{ 3, 0, 24 };
  const auto old = group.Elect();
  const auto ticket = Remove(group, old, old);
  group.Run(seconds{ 3 });
  cr_assert(group.answers[ticket].done);
  const auto leader = group.Elect();
  cr_assert_neq(leader, old);
  cr_assert(group.Commit(leader, "after").done);
}

Test(members, refuses_a_removal_that_leaves_no_live_quorum)
{
  Group group{ 3, 0, 25 };
  const auto leader = group.Elect();
  const auto lost = AFollower(group, leader);
  group.Kill(lost);
  group.Run(seconds{ 1 });
  const auto ticket = Remove(group, leader, AFollower(group, leader));
  group.Run(seconds{ 1 });
  cr_assert(group.answers[ticket].error->kind == ErrorKind::Conflict);
}

Test(members, survives_a_second_loss_right_after_a_repair)
{
  Group group{ 3, 2, 26 };
  auto leader = group.Elect();
  for (const auto& [id, host] : group.hosts) {
    group.Handle(
      id,
      StandbyHostsUpdated{ { { kStandby, ZoneId{ "zone-0" } },
                             { HostId{ "e" }, ZoneId{ "zone-1" } } } });
  }
  group.Commit(leader, "before");
  const auto first = AFollower(group, leader);
  group.Kill(first);
  const auto repaired = [&] {
    const auto now = group.Leader();
    return !now.Empty() && !Holds(Voters(group, now), first) &&
           Voters(group, now).size() == 3 &&
           group.hosts.at(now).state.membersIndex <=
             group.hosts.at(now).state.committed;
  };
  cr_assert(group.RunUntil(repaired, minutes{ 4 }));
  leader = group.Leader();
  group.Kill(leader);
  const auto next = group.Elect();
  cr_assert_not(next.Empty());
  cr_assert(group.Commit(next, "after").done);
  cr_assert_eq(group.hosts.at(next).table, "before\nafter\n");
  cr_assert(group.violations.empty());
}

// Guards against a host that returns after its replacement and is removed again
// as soon as it takes the place of another lost voter.
Test(members, a_replaced_host_can_take_the_place_of_another_voter)
{
  Group group{ 3, 1, 29 };
  const auto leader = group.Elect();
  const auto first = AFollower(group, leader);
  const auto report = [&](const HostId& aStandby) {
    group.Handle(leader,
                 StandbyHostsUpdated{ { { aStandby, ZoneId{ "zone-0" } } } });
  };
  report(kStandby);
  group.Kill(first);
  group.Run(minutes{ 3 });
  cr_assert(Holds(Voters(group, leader), kStandby));
  group.Start(first);
  const auto second = AFollower(group, leader);
  report(first);
  group.Kill(second);
  group.Run(minutes{ 3 });
  cr_assert(Holds(Voters(group, leader), first));
  cr_assert_not(Holds(Voters(group, leader), second));
}

Test(members, a_spare_comes_from_the_zone_with_the_fewest_voters)
{
  Group group{ 3, 2, 27 };
  const auto leader = group.Elect();
  const auto lost = AFollower(group, leader);
  const auto zone =
    Group::Zone(static_cast<std::size_t>(lost.Value()[0] - 'a'));
  const auto crowded =
    Group::Zone(static_cast<std::size_t>(leader.Value()[0] - 'a'));
  group.Handle(
    leader,
    StandbyHostsUpdated{ { { kStandby, crowded }, { HostId{ "e" }, zone } } });
  group.Kill(lost);
  group.Run(minutes{ 3 });
  cr_assert(Holds(Voters(group, group.Leader()), HostId{ "e" }));
  cr_assert_not(Holds(Voters(group, group.Leader()), kStandby));
}

Test(members, an_operator_replaces_a_live_member)
{
  Group group{ 3, 1, 28 };
  const auto leader = group.Elect();
  const auto old = AFollower(group, leader);
  const auto ticket = group.Post(leader, [&](Ticket aTicket) -> Event {
    return ReplaceMember{ aTicket, old, kStandby, ZoneId{ "zone-1" } };
  });
  group.Run(seconds{ 5 });
  cr_assert(group.answers[ticket].done);
  const auto status = Describe(group.hosts.at(leader).state, group.clock.Now());
  cr_assert_eq(status.members.size(), 3);
  cr_assert(Holds(Voters(group, leader), kStandby));
  cr_assert_not(Holds(Voters(group, leader), old));
}

Test(members, a_restarted_host_knows_the_group_without_its_settings)
{
  Group group{ 3, 0, 31 };
  const auto leader = group.Elect();
  cr_assert(group.Commit(leader, "one").done);
  group.Run(seconds{ 1 });
  for (const auto& [id, host] : group.hosts) {
    Actions actions;
    auto started =
      Module::Start({ .self = id }, *host.store.Load(), 1, Instant{}, actions);
    cr_assert(started.has_value());
    cr_assert_eq(started->members.members.size(), 3U);
  }
}

Test(members, the_group_grows_to_the_voters_that_it_needs)
{
  Group group{ 3, 2, 32 };
  for (auto& [id, host] : group.hosts) {
    host.state.settings.targetMembers = 5;
  }
  const auto leader = group.Elect();
  group.Handle(
    leader,
    StandbyHostsUpdated{ { { kStandby, ZoneId{ "zone-0" } },
                           { HostId{ "e" }, ZoneId{ "zone-1" } } } });
  group.Run(seconds{ 10 });
  cr_assert_eq(Voters(group, group.Leader()).size(), 5U);
}

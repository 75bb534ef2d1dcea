#include "balsampoint/consensus/group.hpp"

#include <criterion/criterion.h>

using namespace balsampoint;
using namespace balsampoint::consensus;
using namespace balsampoint::consensus::test;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

std::size_t
CountOf(std::string_view aTable, std::string_view aLine)
{
  std::size_t count = 0;
  for (auto at = aTable.find(aLine); at != std::string_view::npos;
       at = aTable.find(aLine, at + 1)) {
    ++count;
  }
  return count;
}

HostId
Another(const Group& aGroup, const HostId& aHost)
{
  for (const auto& [id, host] : aGroup.hosts) {
    if (id != aHost && host.up) {
      return id;
    }
  }
  return {};
}

} // namespace

Test(consensus, commits_on_every_member)
{
  Group group{ 3, 0, 1 };
  const auto leader = group.Elect();
  cr_assert_not(leader.Empty());
  cr_assert(group.Commit(leader, "one").done);
  cr_assert(group.Commit(leader, "two").done);
  group.Run(seconds{ 1 });
  cr_assert(group.Agree());
  cr_assert_eq(group.hosts.at(leader).table, "one\ntwo\n");
  cr_assert(group.violations.empty());
}

Test(consensus, a_single_voter_leads_itself)
{
  Group group{ 1, 0, 2 };
  const auto leader = group.Elect();
  cr_assert(group.Commit(leader, "one").done);
}

Test(consensus, a_follower_refuses_a_proposal_as_not_executed)
{
  Group group{ 3, 0, 3 };
  const auto follower = Another(group, group.Elect());
  const auto answer = group.Commit(follower, "x");
  cr_assert(answer.error.has_value());
  cr_assert(answer.error->executed == Executed::No);
}

Test(consensus, loses_its_leader_at_each_step_of_a_commit)
{
  for (std::size_t steps = 0; steps < 40; ++steps) {
    Group group{ 3, 0, 4 };
    const auto old = group.Elect();
    group.Commit(old, "before");
    const auto ticket = group.ProposeAt(old, "change");
    for (std::size_t i = 0; i < steps; ++i) {
      group.Step(kNever);
    }
    const bool acknowledged = group.answers[ticket].done;
    group.Kill(old);
    const auto next = group.Elect();
    cr_assert_not(next.Empty());
    cr_assert(group.Commit(next, "after").done);
    const auto kept = CountOf(group.hosts.at(next).table, "change\n");
    cr_assert_leq(kept, 1);
    cr_assert(!acknowledged || kept == 1);
    group.Start(old);
    group.Run(seconds{ 3 });
    cr_assert(group.Agree());
    cr_assert(group.violations.empty());
  }
}

Test(consensus, elects_soon_after_all_hosts_have_lost_power)
{
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Group group{ 3, 0, seed };
    group.Elect();
    std::vector<HostId> names;
    for (const auto& [name, host] : group.hosts) {
      names.push_back(name);
    }
    for (const auto& name : names) {
      group.Kill(name);
    }
    // Messages in flight are lost with the power.
    group.Run(milliseconds{ 10 });
    for (const auto& name : names) {
      group.Start(name);
    }
    const auto before = group.established;
    cr_assert_not(group.Elect(milliseconds{ 700 }).Empty(), "seed %zu", seed);
    group.Run(seconds{ 1 });
    cr_assert_gt(group.established, before, "seed %zu", seed);
    cr_assert(group.violations.empty());
  }
}

Test(consensus, recovers_from_leader_loss_within_two_seconds)
{
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Group group{ 5, 0, seed };
    const auto old = group.Elect();
    group.Kill(old);
    cr_assert_not(group.Elect(seconds{ 2 }).Empty());
  }
}

Test(consensus, an_isolated_leader_steps_down_and_starts_no_election)
{
  Group group{ 3, 0, 5 };
  const auto old = group.Elect();
  group.CutOff(old, true);
  const auto read = group.Post(
    old, [](Ticket aTicket) -> Event { return ConfirmLeader{ aTicket }; });
  group.Run(minutes{ 10 });
  cr_assert(group.answers[read].error.has_value());
  cr_assert(group.hosts.at(old).state.role != Role::Leader);
  const auto leader = group.Leader();
  cr_assert_neq(leader, old);
  const auto term = group.hosts.at(leader).state.hard.term;
  cr_assert(group.Commit(leader, "meanwhile").done);
  group.CutOff(old, false);
  group.Run(seconds{ 5 });
  cr_assert_eq(group.Leader(), leader);
  cr_assert_eq(group.hosts.at(leader).state.hard.term, term);
  cr_assert(group.Agree());
}

Test(consensus, a_superseded_proposal_is_answered_as_not_executed)
{
  Group group{ 3, 0, 6 };
  const auto old = group.Elect();
  group.CutOff(old, true);
  const auto ticket = group.ProposeAt(old, "lost");
  group.Run(seconds{ 5 });
  cr_assert(group.Commit(group.Leader(), "won").done);
  group.CutOff(old, false);
  group.Run(seconds{ 5 });
  cr_assert(group.answers[ticket].error.has_value());
  cr_assert(group.answers[ticket].error->executed == Executed::No);
  cr_assert_eq(group.hosts.at(old).table, "won\n");
}

Test(consensus, confirms_a_leader_for_reads)
{
  Group group{ 3, 0, 7 };
  const auto leader = group.Elect();
  const auto read = group.Post(
    leader, [](Ticket aTicket) -> Event { return ConfirmLeader{ aTicket }; });
  group.Run(milliseconds{ 100 });
  cr_assert(group.answers[read].done);
}

Test(consensus, restarts_after_hundreds_of_changes)
{
  Group group{ 3, 0, 8 };
  group.settings.snapshotAfterEntries = 100;
  group.settings.retainedEntries = 20;
  for (const auto& name : { "a", "b", "c" }) {
    group.Kill(HostId{ name });
    group.Start(HostId{ name });
  }
  auto leader = group.Elect();
  for (int i = 0; i < 450; ++i) {
    cr_assert(group.Commit(leader, "change " + std::to_string(i)).done);
  }
  const auto table = group.hosts.at(leader).table;
  for (const auto& name : { "a", "b", "c" }) {
    group.Kill(HostId{ name });
  }
  for (const auto& name : { "a", "b", "c" }) {
    group.Start(HostId{ name });
  }
  leader = group.Elect();
  group.Run(seconds{ 1 });
  cr_assert_eq(group.hosts.at(leader).table, table);
  cr_assert(group.Agree());
  cr_assert_lt(group.hosts.at(leader).state.log.entries.size(), 250);
}

Test(consensus, a_member_far_behind_gets_the_snapshot_in_parts)
{
  Group group{ 3, 0, 9 };
  group.settings.snapshotAfterEntries = 50;
  group.settings.retainedEntries = 5;
  group.settings.snapshotPartBytes = 100;
  for (const auto& name : { "a", "b", "c" }) {
    group.Kill(HostId{ name });
    group.Start(HostId{ name });
  }
  auto leader = group.Elect();
  const auto late = Another(group, leader);
  group.Kill(late);
  leader = group.Elect();
  for (int i = 0; i < 200; ++i) {
    cr_assert(group.Commit(leader, "change " + std::to_string(i)).done);
  }
  group.Start(late);
  group.Run(seconds{ 5 });
  cr_assert(group.Agree());
}

Test(consensus, a_full_disk_stops_acknowledgements_until_it_has_space)
{
  Group group{ 3, 0, 10 };
  const auto old = group.Elect();
  group.hosts.at(old).store.Fill(true);
  const auto ticket = group.ProposeAt(old, "change");
  group.Run(seconds{ 4 });
  cr_assert(group.hosts.at(old).state.storageFailed);
  cr_assert_neq(group.Leader(), old);
  const auto refused = group.Commit(old, "refused");
  cr_assert(refused.error->kind == ErrorKind::StorageFailed);
  cr_assert_not(group.answers[ticket].done && group.answers[ticket].error);
  cr_assert(group.Commit(group.Leader(), "meanwhile").done);
  group.hosts.at(old).store.Fill(false);
  group.Run(seconds{ 5 });
  cr_assert_not(group.hosts.at(old).state.storageFailed);
  cr_assert(group.Agree());
  group.Kill(old);
  group.Start(old);
  group.Run(seconds{ 5 });
  cr_assert(group.Agree());
  cr_assert(group.violations.empty());
}

Test(consensus, all_disks_full_means_no_answer_and_no_loss)
{
  Group group{ 3, 0, 11 };
  const auto leader = group.Elect();
  for (auto& [id, host] : group.hosts) {
    host.store.Fill(true);
  }
  const auto ticket = group.ProposeAt(leader, "change");
  group.Run(seconds{ 5 });
  cr_assert_not(group.answers[ticket].done);
  for (auto& [id, host] : group.hosts) {
    host.store.Fill(false);
  }
  cr_assert(group.Commit(group.Elect(), "after").done);
}

Test(consensus, a_planned_stop_hands_over_without_an_election_timeout)
{
  Group group{ 3, 0, 12 };
  const auto old = group.Elect();
  group.Handle(old, HandOver{});
  cr_assert(group.RunUntil(
    [&] { return !group.Leader().Empty() && group.Leader() != old; },
    milliseconds{ 100 }));
  cr_assert(group.hosts.at(old).handOverDone);
}

Test(consensus, a_rolling_restart_under_changes_loses_nothing)
{
  Group group{ 5, 0, 13 };
  group.Elect();
  std::string expected;
  for (std::size_t i = 0; i < 15; ++i) {
    const auto id = Group::Name(i % 5);
    group.Handle(id, HandOver{});
    group.Run(milliseconds{ 300 });
    group.Kill(id);
    const auto leader = group.Elect();
    const auto text = "change " + std::to_string(i);
    cr_assert(group.Commit(leader, text).done);
    expected += text + "\n";
    group.Start(id);
    group.Run(seconds{ 1 });
  }
  group.Run(seconds{ 2 });
  cr_assert(group.Agree());
  cr_assert_eq(group.hosts.at(group.Leader()).table, expected);
}

Test(consensus, a_wiped_voter_gives_no_vote_before_it_is_caught_up)
{
  Group group{ 3, 0, 14 };
  const auto leader = group.Elect();
  const auto late = Another(group, leader);
  group.CutOff(late, true);
  cr_assert(group.Commit(leader, "kept by two").done);
  HostId wiped;
  for (const auto& [id, host] : group.hosts) {
    if (id != leader && id != late) {
      wiped = id;
    }
  }
  group.Kill(leader);
  group.Kill(wiped);
  group.hosts.at(wiped).store.Wipe();
  group.CutOff(late, false);
  group.Start(wiped);
  group.Run(seconds{ 20 });
  cr_assert(group.Leader().Empty());
  group.Start(leader);
  const auto next = group.Elect();
  group.Run(seconds{ 2 });
  cr_assert_eq(group.hosts.at(next).table, "kept by two\n");
  cr_assert_not(group.hosts.at(wiped).state.hard.recovering);
  cr_assert(group.Agree());
}

Test(consensus, random_faults_never_break_agreement)
{
  for (std::uint64_t seed = 100; seed < 130; ++seed) {
    Group group{ 5, 0, seed };
    group.network.Faults().lostPerMille = 50;
    group.network.Faults().repeatedPerMille = 50;
    fake::Random random{ seed };
    std::vector<std::pair<Ticket, std::string>> sent;
    for (int i = 0; i < 60; ++i) {
      const auto id = Group::Name(random.Next() % 5);
      if (random.Next() % 4 == 0) {
        group.CutOff(id, true);
      }
      if (random.Next() % 5 == 0 && group.hosts.at(id).up) {
        group.Kill(id);
      }
      const auto leader = group.Leader();
      if (!leader.Empty()) {
        const auto text = "change-" + std::to_string(i) + ";";
        sent.emplace_back(group.ProposeAt(leader, text), text);
      }
      group.Run(milliseconds{ static_cast<long>(random.Next() % 800) });
      for (std::size_t host = 0; host < 5; ++host) {
        group.CutOff(Group::Name(host), random.Next() % 6 == 0);
        if (!group.hosts.at(Group::Name(host)).up && random.Next() % 2 == 0) {
          group.Start(Group::Name(host));
        }
      }
    }
    for (std::size_t host = 0; host < 5; ++host) {
      group.CutOff(Group::Name(host), false);
      if (!group.hosts.at(Group::Name(host)).up) {
        group.Start(Group::Name(host));
      }
    }
    group.network.Faults() = {};
    const auto leader = group.Elect(seconds{ 20 });
    cr_assert_not(leader.Empty());
    cr_assert(group.Commit(leader, "end").done);
    group.Run(seconds{ 3 });
    cr_assert(group.violations.empty());
    cr_assert(group.Agree());
    for (const auto& [ticket, text] : sent) {
      const auto kept = CountOf(group.hosts.at(leader).table, text);
      cr_assert_leq(kept, 1);
      const auto& answer = group.answers[ticket];
      cr_assert(!answer.done || kept == 1);
      const bool refused =
        answer.error && answer.error->executed == Executed::No;
      cr_assert(!refused || kept == 0);
    }
  }
}

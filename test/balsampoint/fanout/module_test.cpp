#include "balsampoint/fanout/tree.hpp"

#include <criterion/criterion.h>

using namespace balsampoint;
using namespace balsampoint::fanout;
using namespace balsampoint::fanout::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

change::Sections
SectionsOf(std::uint64_t aNumber)
{
  return { { "workspace/a", "weight " + std::to_string(aNumber) },
           { "workspace/b", "weight 1" } };
}

void
Settle(Tree& aTree)
{
  aTree.Accept(1, SectionsOf(1));
  aTree.Run(seconds{ 8 });
}

} // namespace

Test(fanout, an_accepted_configuration_is_in_force_everywhere)
{
  Tree tree{ 9, 3, 3, 1 };
  Settle(tree);
  cr_assert(tree.Everywhere(1));
  tree.Accept(2, SectionsOf(2));
  cr_assert_leq(
    tree.TimeUntil([&] { return tree.Everywhere(2); }, seconds{ 6 }),
    seconds{ 1 });
  const auto known = [&] {
    return tree.Describe(Tree::Name(0)).Everywhere(ChangeNumber{ 2 });
  };
  cr_assert_leq(tree.TimeUntil(known, seconds{ 6 }), seconds{ 1 });
  cr_assert_eq(tree.Describe(Tree::Name(0)).hosts.size(), 9);
  cr_assert(*tree.hosts.at(Tree::Name(8)).state.content.sections ==
            SectionsOf(2));
}

Test(fanout, a_partitioned_zone_is_reported_unreachable_and_not_waited_for)
{
  Tree tree{ 9, 3, 3, 2 };
  Settle(tree);
  const ZoneId cut{ "zone-2" };
  tree.CutZone(cut, true);
  tree.Run(seconds{ 8 });
  tree.Accept(2, SectionsOf(2));
  tree.Run(seconds{ 2 });
  const auto inForce = tree.Describe(Tree::Name(0));
  cr_assert(inForce.Everywhere(ChangeNumber{ 2 }));
  for (const auto& host : inForce.hosts) {
    cr_assert_eq(host.reachable, host.report.zone != cut);
  }
  tree.CutZone(cut, false);
  tree.Run(seconds{ 10 });
  cr_assert(tree.Everywhere(2));
  cr_assert(tree.Describe(Tree::Name(0)).Everywhere(ChangeNumber{ 2 }));
}

Test(fanout,
     a_host_restarted_in_a_partitioned_zone_publishes_what_its_control_host_has)
{
  Tree tree{ 9, 3, 3, 3 };
  Settle(tree);
  const ZoneId cut{ "zone-2" };
  tree.CutZone(cut, true);
  tree.Run(seconds{ 2 });
  const auto restarted = Tree::Name(5);
  tree.Kill(restarted);
  tree.Start(restarted);
  tree.Run(seconds{ 1 });
  cr_assert_eq(tree.hosts.at(restarted).published, ChangeNumber{});
  tree.Run(seconds{ 5 });
  cr_assert_eq(tree.hosts.at(restarted).published, ChangeNumber{ 1 });
}

Test(fanout,
     a_restarted_host_waits_for_the_newest_configuration_of_the_control_hosts)
{
  Tree tree{ 9, 3, 3, 4 };
  Settle(tree);
  const auto restarted = Tree::Name(7);
  tree.Kill(restarted);
  tree.Accept(2, SectionsOf(2));
  tree.Run(seconds{ 1 });
  tree.Start(restarted);
  tree.TimeUntil(
    [&] { return tree.hosts.at(restarted).published != ChangeNumber{}; },
    seconds{ 5 });
  cr_assert_eq(tree.hosts.at(restarted).published, ChangeNumber{ 2 });
}

Test(fanout, a_host_without_any_configuration_is_not_ready)
{
  Tree tree{ 3, 3, 3, 5 };
  tree.Run(seconds{ 10 });
  for (const auto& [id, host] : tree.hosts) {
    cr_assert_not(host.state.ready);
  }
}

Test(fanout, a_lost_relay_is_replaced)
{
  Tree tree{ 30, 3, 3, 6 };
  Settle(tree);
  std::set<HostId> relays;
  for (const auto& [id, host] : tree.hosts) {
    if (host.state.parent == Tree::Name(0)) {
      relays.insert(id);
    }
  }
  cr_assert_leq(relays.size(), 6);
  const auto lost = *relays.rbegin();
  tree.Kill(lost);
  tree.Run(seconds{ 1 });
  tree.Accept(2, SectionsOf(2));
  cr_assert_leq(
    tree.TimeUntil([&] { return tree.Everywhere(2); }, seconds{ 12 }),
    seconds{ 6 });
}

Test(fanout, a_new_leader_takes_over_the_tree)
{
  Tree tree{ 30, 3, 3, 7 };
  Settle(tree);
  tree.Kill(Tree::Name(0));
  tree.Run(seconds{ 1 });
  tree.Lead(Tree::Name(1));
  tree.Accept(2, SectionsOf(2));
  cr_assert_leq(
    tree.TimeUntil([&] { return tree.Everywhere(2); }, seconds{ 12 }),
    seconds{ 6 });
  tree.Run(seconds{ 8 });
  const auto inForce = tree.Describe(Tree::Name(1));
  cr_assert(inForce.Everywhere(ChangeNumber{ 2 }));
  cr_assert_geq(inForce.hosts.size(), 29);
}

Test(fanout, loss_and_reordering_never_revert_a_host)
{
  for (std::uint64_t seed = 10; seed < 20; ++seed) {
    Tree tree{ 18, 3, 3, seed };
    tree.network.Faults().lostPerMille = 100;
    tree.network.Faults().repeatedPerMille = 100;
    tree.network.Faults().maxDelay = std::chrono::milliseconds{ 300 };
    fake::Random random{ seed };
    for (std::uint64_t i = 1; i <= 40; ++i) {
      tree.Accept(i, SectionsOf(i));
      tree.Run(
        std::chrono::milliseconds{ static_cast<long>(random.Next() % 500) });
      const auto id = Tree::Name(3 + random.Next() % 15);
      if (random.Next() % 4 == 0) {
        tree.Kill(id);
        tree.Start(id);
      }
      tree.CutZone(ZoneId{ "zone-2" }, random.Next() % 5 == 0);
    }
    tree.CutZone(ZoneId{ "zone-2" }, false);
    tree.network.Faults() = {};
    tree.Run(seconds{ 20 });
    cr_assert_not(tree.reverted);
    cr_assert(tree.Everywhere(40));
    cr_assert(tree.Describe(Tree::Name(0)).Everywhere(ChangeNumber{ 40 }));
  }
}

Test(fanout, a_newer_configuration_is_fetched_from_the_host_that_advertised_it)
{
  using namespace std::chrono_literals;
  constexpr Instant kNow{ 1h };
  State state = Module::Start(
    { .self = { .host = HostId{ "entry" } }, .seeds = { HostId{ "c1" } } },
    kNow);
  const auto count = [](const Actions& aActions, std::string_view aHost) {
    return std::ranges::count_if(aActions, [&](const Action& aAction) {
      const auto* send = std::get_if<Send>(&aAction);
      return send != nullptr && send->to.Value() == aHost &&
             std::holds_alternative<Fetch>(send->message);
    });
  };
  Actions actions;
  const NumberAdvertised advertised{ HostId{ "c2" }, ChangeNumber{ 28 } };
  Module::Handle(state, advertised, kNow, actions);
  Module::Tick(state, kNow + 100ms, actions);
  cr_assert_eq(count(actions, "c2"), 0);
  Module::Tick(state, kNow + 301ms, actions);
  cr_assert_eq(count(actions, "c2"), 1);
  actions.clear();
  Module::Handle(
    state,
    Received{ HostId{ "c2" },
              Update{ .number = ChangeNumber{ 28 }, .whole = true } },
    kNow + 310ms,
    actions);
  Module::Handle(state, advertised, kNow + 320ms, actions);
  Module::Tick(state, kNow + 1s, actions);
  cr_assert_eq(count(actions, "c2"), 0);
}

Test(fanout, a_restart_of_all_hosts_waits_for_a_caught_up_leader)
{
  Tree tree{ 9, 3, 3, 12 };
  tree.Lead({});
  tree.Accept(1, SectionsOf(1));
  tree.Run(milliseconds{ 1500 });
  const auto entry = Tree::Name(7);
  cr_assert_eq(tree.hosts.at(entry).published, ChangeNumber{});
  tree.Accept(2, SectionsOf(2));
  tree.Lead(Tree::Name(0));
  const auto took = tree.TimeUntil(
    [&] { return tree.hosts.at(entry).published != ChangeNumber{}; },
    seconds{ 5 });
  cr_assert_eq(tree.hosts.at(entry).published, ChangeNumber{ 2 });
  cr_assert_lt(took, milliseconds{ 400 });
}

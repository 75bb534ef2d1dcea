#include "balsampoint/member/module.hpp"

#include "fake/hosts.hpp"

#include <criterion/criterion.h>

using namespace balsampoint;
using namespace balsampoint::member;
using namespace std::chrono_literals;

namespace {

const ZoneId kColombo{ "colombo-a" };
const ZoneId kNegombo{ "negombo-c" };

HostId
Name(int aNumber)
{
  return HostId{ "h" + std::to_string(aNumber) };
}

fake::Hosts
Joined(int aNear, int aFar, std::uint64_t aSeed)
{
  fake::Hosts hosts{ aSeed };
  const std::vector seeds{ Name(0) };
  for (int at = 0; at < aNear + aFar; ++at) {
    hosts.Start(Name(at), at < aNear ? kColombo : kNegombo, seeds);
  }
  hosts.RunTo(hosts.now + 5s);
  return hosts;
}

HostState
StateOf(const fake::Hosts& aHosts, const HostId& aAt, const HostId& aOf)
{
  return aHosts.hosts.at(aAt).member.peers.at(aOf).host.state;
}

int
CountOf(const fake::Hosts& aHosts, const HostId& aAt, HostState aState)
{
  int count = 0;
  for (const auto& [id, peer] : aHosts.hosts.at(aAt).member.peers) {
    count += peer.host.state == aState ? 1 : 0;
  }
  return count;
}

} // namespace

Test(member, all_hosts_learn_of_each_other_through_one_seed)
{
  const auto hosts = Joined(6, 6, 1);
  for (const auto& [id, host] : hosts.hosts) {
    cr_assert_eq(CountOf(hosts, id, HostState::Alive), 11);
  }
}

Test(member, a_lost_host_is_dead_for_its_zone_within_seconds)
{
  auto hosts = Joined(6, 0, 2);
  hosts.Kill(Name(3));
  hosts.RunTo(hosts.now + 5s);
  for (const auto& [id, host] : hosts.hosts) {
    if (host.running) {
      cr_assert_eq(StateOf(hosts, id, Name(3)), HostState::Dead);
      cr_assert_eq(CountOf(hosts, id, HostState::Alive), 4);
    }
  }
}

Test(member, a_one_way_partition_marks_no_host_dead)
{
  auto hosts = Joined(6, 0, 3);
  hosts.network.Cut(Name(1), Name(2), true);
  for (int second = 0; second < 30; ++second) {
    hosts.RunTo(hosts.now + 1s);
    for (const auto& [id, host] : hosts.hosts) {
      cr_assert_eq(CountOf(hosts, id, HostState::Dead), 0);
    }
  }
}

Test(member, a_live_host_refutes_a_suspicion)
{
  auto hosts = Joined(4, 0, 4);
  auto suspected = hosts.hosts.at(Name(0)).member.peers.at(Name(1)).host;
  suspected.state = HostState::Dead;
  hosts.Tell(Name(0),
             Event{ Received{ Name(2), Updates{ .updates = { suspected } } } });
  cr_assert_eq(StateOf(hosts, Name(0), Name(1)), HostState::Suspect);
  hosts.RunTo(hosts.now + 3s);
  cr_assert_eq(StateOf(hosts, Name(0), Name(1)), HostState::Alive);
  cr_assert_eq(hosts.hosts.at(Name(1)).member.self.revision, 1);
}

Test(member, a_split_zone_heals)
{
  auto hosts = Joined(6, 0, 5);
  const std::vector left{ Name(0), Name(1), Name(2) };
  const std::vector right{ Name(3), Name(4), Name(5) };
  hosts.CutBetween(left, right, true);
  hosts.RunTo(hosts.now + 10s);
  cr_assert_eq(CountOf(hosts, Name(0), HostState::Alive), 2);
  cr_assert_eq(CountOf(hosts, Name(5), HostState::Alive), 2);
  hosts.CutBetween(left, right, false);
  hosts.RunTo(hosts.now + 5s);
  for (const auto& [id, host] : hosts.hosts) {
    cr_assert_eq(CountOf(hosts, id, HostState::Alive), 5);
  }
}

Test(member, a_planned_stop_is_broadcast_at_once)
{
  auto hosts = Joined(4, 0, 6);
  hosts.Tell(Name(1), Event{ Leave{} });
  hosts.RunTo(hosts.now + 100ms);
  cr_assert_eq(StateOf(hosts, Name(0), Name(1)), HostState::Left);
  cr_assert_eq(StateOf(hosts, Name(3), Name(1)), HostState::Left);
}

Test(member, a_restarted_host_is_alive_again)
{
  auto hosts = Joined(4, 0, 7);
  hosts.Kill(Name(2));
  hosts.RunTo(hosts.now + 5s);
  hosts.Start(Name(2), kColombo, std::vector{ Name(0) });
  hosts.RunTo(hosts.now + 3s);
  for (const auto& [id, host] : hosts.hosts) {
    cr_assert_eq(CountOf(hosts, id, HostState::Alive), 3);
  }
}

Test(member, lost_and_repeated_messages_mark_no_host_dead)
{
  auto hosts = Joined(8, 0, 8);
  hosts.network.Faults().lostPerMille = 50;
  hosts.network.Faults().repeatedPerMille = 50;
  hosts.RunTo(hosts.now + 60s);
  for (const auto& [id, host] : hosts.hosts) {
    cr_assert_eq(CountOf(hosts, id, HostState::Dead), 0);
  }
}

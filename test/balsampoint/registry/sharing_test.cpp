#include "announcements.hpp"
#include "fake/hosts.hpp"

#include <criterion/criterion.h>

using namespace balsampoint;
using namespace balsampoint::registry;
using namespace std::chrono_literals;

namespace {

const ZoneId kColombo{ "colombo-a" };
const ZoneId kNegombo{ "negombo-c" };
const ServerId kServer{ "s1" };

HostId
MakeHostId(int aNumber)
{
  return HostId{ "h" + std::to_string(aNumber) };
}

fake::Hosts
JoinedHosts(int aNear, int aFar, std::uint64_t aSeed)
{
  fake::Hosts hosts{ aSeed };
  for (int at = 0; at < aNear + aFar; ++at) {
    hosts.Start(MakeHostId(at),
                at < aNear ? kColombo : kNegombo,
                std::vector{ MakeHostId(0) });
  }
  hosts.RunTo(hosts.now + 5s);
  return hosts;
}

/** Renews the lease of the server every half second, each time at the next
 * host. */
void
Renew(fake::Hosts& aHosts,
      const Announcement& aAnnouncement,
      std::span<const HostId> aAt,
      int aTimes)
{
  for (int time = 0; time < aTimes; ++time) {
    const auto& host = aAt[static_cast<std::size_t>(time) % aAt.size()];
    aHosts.Tell(host, Event{ Announced{ .announcement = aAnnouncement } });
    aHosts.RunTo(aHosts.now + 500ms);
  }
}

int
CountHostsShowing(const fake::Hosts& aHosts)
{
  int count = 0;
  for (const auto& [id, host] : aHosts.hosts) {
    count += host.running && aHosts.Shows(id, kServer) ? 1 : 0;
  }
  return count;
}

} // namespace

Test(sharing, a_server_is_known_to_all_hosts_of_its_zone_only)
{
  auto hosts = JoinedHosts(4, 2, 1);
  Renew(hosts, Engine("s1"), std::vector{ MakeHostId(1) }, 1);
  cr_assert_eq(CountHostsShowing(hosts), 4);
  Renew(hosts, Engine("s1"), std::vector{ MakeHostId(1) }, 4);
  const auto& zones = hosts.hosts.at(MakeHostId(5)).view->zones;
  cr_assert_eq(zones.size(), 1);
  cr_assert_eq(zones.front().stages.at(0).servers, 1);
}

Test(sharing, leaving_and_loss_reach_all_hosts_of_the_zone)
{
  auto hosts = JoinedHosts(4, 0, 2);
  Renew(hosts, Engine("s1"), std::vector{ MakeHostId(1) }, 2);
  auto leaving = Engine("s1");
  leaving.state = ServerState::Leaving;
  Renew(hosts, leaving, std::vector{ MakeHostId(1) }, 1);
  for (const auto& [id, host] : hosts.hosts) {
    cr_assert_eq(host.view->servers.at(0).announcement.state,
                 ServerState::Leaving);
  }
  const auto lease = hosts.hosts.at(MakeHostId(1)).registry.settings.lease;
  hosts.RunTo(hosts.now + lease - 300ms);
  cr_assert_eq(CountHostsShowing(hosts), 0);
}

Test(sharing, renewals_at_changing_hosts_keep_one_lease)
{
  auto hosts = JoinedHosts(4, 0, 3);
  const std::vector all{
    MakeHostId(0), MakeHostId(1), MakeHostId(2), MakeHostId(3)
  };
  Renew(hosts, Engine("s1"), all, 20);
  cr_assert_eq(CountHostsShowing(hosts), 4);
  const auto& claim =
    hosts.hosts.at(MakeHostId(0)).registry.records.at(kServer).claim;
  cr_assert_eq(claim.stamp.version, 1);
}

Test(sharing, balanced_announcements_balance_the_leases)
{
  auto hosts = JoinedHosts(3, 0, 12);
  const auto announceAll = [&](int aHost) {
    for (const auto* id : { "a", "b", "c", "d", "e", "f" }) {
      hosts.Tell(MakeHostId(aHost),
                 Event{ Announced{ .announcement = Engine(id) } });
    }
    hosts.RunTo(hosts.now + 500ms);
  };
  announceAll(0);
  for (int round = 0; round < 10; ++round) {
    announceAll(round % 3);
  }
  std::map<HostId, int> owned;
  for (const auto& [id, record] :
       hosts.hosts.at(MakeHostId(0)).registry.records) {
    owned[record.claim.owner] += record.claim.live ? 1 : 0;
  }
  cr_assert_eq(
    owned[MakeHostId(0)] + owned[MakeHostId(1)] + owned[MakeHostId(2)], 6);
  cr_assert_leq(owned[MakeHostId(0)], 3);
  cr_assert_geq(owned[MakeHostId(2)], 1);
}

Test(sharing, a_loss_is_refuted_by_the_host_that_receives_the_announcements)
{
  auto hosts = JoinedHosts(4, 0, 4);
  Renew(hosts, Engine("s1"), std::vector{ MakeHostId(0) }, 1);
  hosts.network.Cut(MakeHostId(1), MakeHostId(0), true);
  Renew(hosts, Engine("s1"), std::vector{ MakeHostId(1) }, 10);
  cr_assert_eq(CountHostsShowing(hosts), 4);
}

Test(sharing, a_change_bypasses_a_one_way_partition)
{
  auto hosts = JoinedHosts(5, 0, 5);
  hosts.network.Cut(MakeHostId(1), MakeHostId(2), true);
  Renew(hosts, Engine("s1"), std::vector{ MakeHostId(1) }, 8);
  cr_assert_eq(CountHostsShowing(hosts), 5);
}

Test(sharing, a_server_moves_to_another_host_when_its_host_fails)
{
  auto hosts = JoinedHosts(5, 0, 6);
  Renew(hosts, Engine("s1"), std::vector{ MakeHostId(1) }, 2);
  hosts.Kill(MakeHostId(1));
  Renew(hosts, Engine("s1"), std::vector{ MakeHostId(2) }, 12);
  cr_assert_eq(CountHostsShowing(hosts), 4);
  cr_assert_eq(
    hosts.hosts.at(MakeHostId(0)).registry.records.at(kServer).claim.owner,
    MakeHostId(2));
}

Test(sharing, a_server_lost_with_its_host_is_hidden)
{
  auto hosts = JoinedHosts(5, 0, 7);
  Renew(hosts, Engine("s1"), std::vector{ MakeHostId(1) }, 2);
  hosts.Kill(MakeHostId(1));
  hosts.RunTo(hosts.now + 6s);
  cr_assert_eq(CountHostsShowing(hosts), 0);
}

Test(sharing, each_side_of_a_partitioned_zone_serves_its_own_servers)
{
  auto hosts = JoinedHosts(4, 0, 8);
  const std::vector left{ MakeHostId(0), MakeHostId(1) };
  const std::vector right{ MakeHostId(2), MakeHostId(3) };
  hosts.CutBetween(left, right, true);
  Renew(hosts, Engine("s1"), left, 20);
  cr_assert(hosts.Shows(MakeHostId(0), kServer));
  cr_assert_not(hosts.Shows(MakeHostId(3), kServer));
  hosts.CutBetween(left, right, false);
  Renew(hosts, Engine("s1"), left, 10);
  cr_assert_eq(CountHostsShowing(hosts), 4);
}

Test(sharing, a_split_zone_that_others_bridge_hides_the_silent_side)
{
  auto hosts = JoinedHosts(4, 4, 11);
  const std::vector left{ MakeHostId(0), MakeHostId(1) };
  const std::vector right{ MakeHostId(2), MakeHostId(3) };
  Renew(hosts, Engine("s1"), right, 2);
  hosts.CutBetween(left, right, true);
  hosts.RunTo(hosts.now + 15s);
  cr_assert_not(hosts.Shows(MakeHostId(0), kServer));
  hosts.CutBetween(left, right, false);
  Renew(hosts, Engine("s1"), right, 10);
  cr_assert_eq(CountHostsShowing(hosts), 4);
}

Test(sharing, a_host_that_joins_late_learns_the_zone)
{
  auto hosts = JoinedHosts(3, 0, 9);
  Renew(hosts, Engine("s1"), std::vector{ MakeHostId(1) }, 4);
  hosts.Start(MakeHostId(3), kColombo, std::vector{ MakeHostId(0) });
  Renew(hosts, Engine("s1"), std::vector{ MakeHostId(1) }, 6);
  cr_assert_eq(CountHostsShowing(hosts), 4);
}

Test(sharing, only_the_host_that_saw_errors_avoids_a_server)
{
  auto hosts = JoinedHosts(3, 0, 10);
  Renew(hosts, Engine("s1"), std::vector{ MakeHostId(1) }, 1);
  const std::vector<Observation> errors(3,
                                        { .server = kServer,
                                          .incarnation = Incarnation{ 1 },
                                          .outcome = Outcome::Failed });
  hosts.Tell(MakeHostId(0), Event{ Observed{ .observations = errors } });
  Renew(hosts, Engine("s1"), std::vector{ MakeHostId(1) }, 1);
  const auto avoided = [&](int aHost) {
    const auto& view = *hosts.hosts.at(MakeHostId(aHost)).view;
    return view.servers.at(0).health.avoidUntil > hosts.now;
  };
  cr_assert(avoided(0));
  cr_assert_not(avoided(1));
  cr_assert_not(avoided(2));
}

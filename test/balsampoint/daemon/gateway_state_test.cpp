#include "balsampoint/daemon/gateway_state.hpp"

#include "balsampoint/consensus/group.hpp"

#include <criterion/criterion.h>

using namespace balsampoint;
using namespace balsampoint::consensus::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/** Time after its start in which a host takes the place of a lost one. */
constexpr Duration kCatchUp = seconds{ 4 };
/** Time after which the group serves again once its hosts are back. */
constexpr Duration kRecovery = seconds{ 12 };
constexpr std::uint64_t kSeeds = 20;
const HostId kStandby{ "d" };

consensus::Settings
GatewayConsensus()
{
  return daemon::TuningOf({ .controlLosses = 1 }, {}).consensus;
}

/** @brief A group of three voters, tuned as gateways are, and an empty host
 * that isn't running yet. */
Group
MakeGroup(std::uint64_t aSeed)
{
  Group group{ 3, 1, aSeed };
  group.Kill(kStandby);
  const auto members = group.settings.initialMembers;
  group.settings = GatewayConsensus();
  group.settings.initialMembers = members;
  for (auto& [id, host] : group.hosts) {
    const auto self = host.state.settings.self;
    host.state.settings = group.settings;
    host.state.settings.self = self;
  }
  return group;
}

HostId
AFollower(const Group& aGroup, const HostId& aLeader)
{
  for (const auto& member : aGroup.settings.initialMembers.members) {
    if (member.host != aLeader && aGroup.hosts.at(member.host).up) {
      return member.host;
    }
  }
  return {};
}

void
ReportStandby(Group& aGroup)
{
  for (const auto& [id, host] : aGroup.hosts) {
    aGroup.Handle(
      id,
      consensus::StandbyHostsUpdated{ { { kStandby, ZoneId{ "zone-0" } } } });
  }
}

/** @brief Kills a follower for good and starts the standby host in its place.
 */
void
ReplaceFollower(Group& aGroup, const HostId& aLeader)
{
  aGroup.Kill(AFollower(aGroup, aLeader));
  aGroup.Run(milliseconds{ 200 });
  aGroup.Start(kStandby);
  ReportStandby(aGroup);
}

/** @brief Commits once more, then restarts the leader with an empty disk. */
void
LoseDiskAfterCommit(Group& aGroup, const HostId& aLeader)
{
  cr_assert(aGroup.Commit(aLeader, "acknowledged").done);
  aGroup.Kill(aLeader);
  aGroup.hosts.at(aLeader).store.Wipe();
  aGroup.Run(seconds{ 2 });
  auto members = std::exchange(aGroup.settings.initialMembers, {});
  aGroup.Start(aLeader);
  aGroup.settings.initialMembers = std::move(members);
}

void
AssertServesAcknowledged(Group& aGroup, std::uint64_t aSeed)
{
  const auto next = aGroup.Elect(kRecovery);
  cr_assert_not(next.Empty(), "no leader, seed %lu", aSeed);
  cr_assert_eq(aGroup.hosts.at(next).table, "acknowledged\n");
  cr_assert(aGroup.violations.empty());
}

} // namespace

// Guards against a group without a quorum: a voter was gone for good, its
// successor ran, but was no voter yet when another voter lost its disk.
Test(gateway_state, a_lost_voter_is_replaced_within_the_catch_up_time)
{
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    auto group = MakeGroup(seed);
    const auto leader = group.Elect();
    ReplaceFollower(group, leader);
    group.Run(kCatchUp);
    LoseDiskAfterCommit(group, leader);
    AssertServesAcknowledged(group, seed);
  }
}

// Guards against the same, where a restart of the leader delayed the
// replacement.
Test(gateway_state, a_restart_of_the_leader_leaves_a_lost_voter_replaced)
{
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    auto group = MakeGroup(seed);
    const auto first = group.Elect();
    ReplaceFollower(group, first);
    group.Run(seconds{ 7 });
    group.Kill(first);
    group.Run(milliseconds{ 500 });
    group.Start(first);
    ReportStandby(group);
    group.Run(seconds{ 2 } + kCatchUp);
    LoseDiskAfterCommit(group, group.Leader());
    AssertServesAcknowledged(group, seed);
  }
}

Test(gateway_state, members_are_reached_at_the_port_of_this_host)
{
  config::GatewaySettings settings{ .host = HostId{ "10.0.0.1" } };
  settings.listen.peers = { "10.0.0.1", 7000 };
  const consensus::Membership members{
    { { HostId{ "10.0.0.1" }, ZoneId{ "a" }, consensus::MemberRole::Voter, {} },
      { HostId{ "10.0.0.2" },
        ZoneId{ "b" },
        consensus::MemberRole::Learner,
        {} } }
  };
  const auto addresses = daemon::MemberAddresses(settings, members);
  cr_assert_eq(addresses.size(), 1);
  cr_assert(addresses.front() ==
            roster::HostAddress(HostId{ "10.0.0.2" }, "10.0.0.2:7000"));
}

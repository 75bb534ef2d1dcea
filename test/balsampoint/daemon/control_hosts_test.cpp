#include "balsampoint/daemon/control_hosts.hpp"

#include <criterion/criterion.h>

using namespace balsampoint;
using namespace balsampoint::daemon::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::size_t kHosts = 6;
constexpr std::uint32_t kLosses = 2;
/** Time after its start in which a host takes the place of a lost one. */
constexpr Duration kCatchUp = seconds{ 6 };
/** Time in which all hosts start before the first request. */
constexpr Duration kLead = seconds{ 14 };
/** Time after which the group serves again once its hosts are back. */
constexpr Duration kRecovery = seconds{ 15 };
constexpr std::uint64_t kSeeds = 20;

ControlHosts
MakeHosts(std::uint64_t aSeed, std::size_t aHosts = kHosts)
{
  ControlHosts hosts{ aHosts, kLosses, kCatchUp, aSeed };
  hosts.Run(kLead);
  return hosts;
}

bool
Contains(const std::vector<HostId>& aHosts, const HostId& aHost)
{
  return std::ranges::find(aHosts, aHost) != aHosts.end();
}

/** @brief Restarts one leader after the other until one is no seed. */
HostId
LeadByNoSeed(ControlHosts& aHosts)
{
  auto leader = aHosts.Leader();
  while (leader.Empty() || Contains(aHosts.seeds, leader)) {
    if (!leader.Empty()) {
      aHosts.Kill(leader);
      aHosts.Run(seconds{ 2 });
      aHosts.Start(leader);
    }
    aHosts.Run(kCatchUp);
    leader = aHosts.Leader();
  }
  return leader;
}

HostId
AFollower(const ControlHosts& aHosts)
{
  const auto leader = aHosts.Leader();
  for (const auto& voter : aHosts.Voters()) {
    if (voter != leader && aHosts.hosts.at(voter).up) {
      return voter;
    }
  }
  return {};
}

/** @brief Ends a host for good; an empty one starts at another address. */
void
Replace(ControlHosts& aHosts, const HostId& aHost)
{
  aHosts.Kill(aHost);
  const auto successor = aHosts.Add(0);
  aHosts.Run(seconds{ 1 });
  aHosts.Start(successor);
}

HostId
FindLearner(const ControlHosts& aHosts)
{
  const auto leader = aHosts.Leader();
  if (leader.Empty()) {
    return {};
  }
  for (const auto& member : aHosts.hosts.at(leader).log.members.members) {
    if (member.role == consensus::MemberRole::Learner) {
      return member.host;
    }
  }
  return {};
}

void
CutOff(ControlHosts& aHosts, const HostId& aHost, bool aCut)
{
  for (const auto& [id, host] : aHosts.hosts) {
    aHosts.Cut(aHost, id, aCut);
  }
}

} // namespace

// Guards against a group that is never repaired: hosts joined the fan-out tree
// at their seeds only, so that a leader that is no seed knew no standby host.
Test(control_hosts, a_leader_that_is_no_seed_replaces_a_lost_voter)
{
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    auto hosts = MakeHosts(seed);
    const auto leader = LeadByNoSeed(hosts);
    const auto lost = AFollower(hosts);
    Replace(hosts, lost);
    hosts.Run(kCatchUp);
    cr_assert_not(Contains(hosts.Voters(), lost),
                  "seed %lu, leader %s:\n%s",
                  seed,
                  leader.String().c_str(),
                  hosts.Describe().c_str());
  }
}

// Guards against a group that is repaired too late: each new leader counted the
// silence of a lost voter anew.
Test(control_hosts, changes_of_the_leader_do_not_delay_a_replacement)
{
  constexpr Duration kCut = milliseconds{ 1500 };
  constexpr Duration kPause = milliseconds{ 500 };
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    auto hosts = MakeHosts(seed);
    const auto lost = AFollower(hosts);
    Replace(hosts, lost);
    for (int cut = 0; cut < 2; ++cut) {
      hosts.Run(kPause);
      const auto leader = hosts.Leader();
      CutOff(hosts, leader, true);
      hosts.Run(kCut);
      CutOff(hosts, leader, false);
    }
    hosts.Run(kCatchUp - 2 * (kCut + kPause));
    cr_assert_not(Contains(hosts.Voters(), lost),
                  "seed %lu:\n%s",
                  seed,
                  hosts.Describe().c_str());
  }
}

// Guards against a standby host that no leader knows: it joined the fan-out
// tree at the seeds of its own start only, and all of them were gone.
Test(control_hosts, a_host_whose_seeds_are_gone_replaces_a_lost_voter)
{
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    auto hosts = MakeHosts(seed, kHosts + 3);
    for (const auto& old : hosts.seeds) {
      hosts.Kill(old);
      hosts.Run(kCatchUp);
    }
    const auto lost = AFollower(hosts);
    hosts.Kill(lost);
    hosts.Run(kCatchUp);
    cr_assert_not(
      Contains(hosts.Voters(), lost), "seed %lu:\n%s", seed, hosts.log.c_str());
  }
}

// Guards against a group that never reaches its size: a learner that was lost
// while the group grew kept its place.
Test(control_hosts, a_learner_lost_while_the_group_grows_gives_up_its_place)
{
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    ControlHosts hosts{ kHosts, kLosses, kCatchUp, seed };
    HostId learner;
    hosts.RunUntil(
      [&] {
        learner = FindLearner(hosts);
        return !learner.Empty();
      },
      hosts.clock.Now() + kLead);
    cr_assert_not(learner.Empty());
    Replace(hosts, learner);
    hosts.Run(kCatchUp);
    cr_assert_eq(
      hosts.Voters().size(), 5, "seed %lu:\n%s", seed, hosts.log.c_str());
  }
}

// Guards against a group without a quorum: a successor that may not vote yet
// was made a voter, and all hosts lost power before it could.
Test(control_hosts, a_power_loss_during_a_replacement_leaves_a_quorum)
{
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    auto hosts = MakeHosts(seed);
    cr_assert(hosts.Commit(seconds{ 3 }));
    hosts.Kill(AFollower(hosts));
    hosts.Kill(AFollower(hosts));
    hosts.RunUntil([&] { return hosts.Voters().size() > 5; },
                   hosts.clock.Now() + kCatchUp);
    cr_assert_eq(hosts.Voters().size(), 6);
    hosts.Run(hosts.syncTime);
    std::vector<HostId> running;
    for (const auto& [id, host] : hosts.hosts) {
      if (host.up) {
        running.push_back(id);
      }
    }
    for (const auto& id : running) {
      hosts.Kill(id);
    }
    for (const auto& id : running) {
      hosts.Start(id);
    }
    cr_assert(hosts.ReadsAcknowledged(kRecovery),
              "seed %lu:\n%s%s",
              seed,
              hosts.log.c_str(),
              hosts.Describe().c_str());
  }
}

// Guards against voters that do not find each other after a power loss: their
// settings name only seeds that they can't reach.
Test(control_hosts, voters_find_each_other_without_their_seeds)
{
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    auto hosts = MakeHosts(seed);
    cr_assert(hosts.Commit(seconds{ 3 }));
    auto voters = hosts.Voters();
    const std::vector<HostId> lost{ voters.at(0), voters.at(1) };
    for (const auto& [id, host] : hosts.hosts) {
      hosts.Kill(id);
    }
    hosts.seeds = lost;
    for (const auto& voter : voters) {
      if (!Contains(lost, voter)) {
        hosts.Start(voter);
      }
    }
    cr_assert(hosts.ReadsAcknowledged(kRecovery),
              "seed %lu:\n%s%s",
              seed,
              hosts.log.c_str(),
              hosts.Describe().c_str());
  }
}

// Guards against a control host that refuses changes and reads: it is no member
// of the group, and all hosts that it asks for the leader are gone.
Test(control_hosts, a_host_whose_seeds_are_gone_knows_the_leader)
{
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    auto hosts = MakeHosts(seed, kHosts + 3);
    for (const auto& old : hosts.seeds) {
      hosts.Kill(old);
      hosts.Run(kCatchUp);
    }
    for (const auto& [id, host] : hosts.hosts) {
      cr_assert(!host.up || host.tree.leader == hosts.Leader(),
                "seed %lu, %s:\n%s",
                seed,
                id.String().c_str(),
                hosts.log.c_str());
    }
  }
}

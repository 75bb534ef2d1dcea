#include "balsampoint/roster/hosts.hpp"

#include <criterion/criterion.h>
#include <string>

using namespace balsampoint;
using namespace balsampoint::roster;
using namespace std::chrono_literals;
using balsampoint::test::HostSet;

namespace {

constexpr Duration kPushDelay = 3 * Settings{}.minPushInterval;
/** Relays of a zone that control hosts serve at most. */
constexpr std::size_t kMaxRelays = 8;

std::string
EntryName(std::size_t aNumber)
{
  return "e" + std::to_string(aNumber);
}

HostSet
MakeZone(std::size_t aEntries)
{
  HostSet hosts;
  hosts.Add("c1", true);
  hosts.Add("c2", true);
  for (std::size_t number = 0; number < aEntries; ++number) {
    hosts.Add(EntryName(number), false);
  }
  hosts.Run(5s);
  return hosts;
}

Heartbeat
MakeHeartbeat(std::uint64_t aSequence, Presence aPresence = Presence::Ready)
{
  return { { .server = ServerId{ "s" },
             .stamp = { Incarnation{ 7 }, aSequence },
             .presence = aPresence,
             .description = { .service = ServiceId{ "desk" },
                              .address = "10.0.0.9:80" } } };
}

/** @brief Entry hosts that would send the server a request. */
std::size_t
SendersOf(const HostSet& aHosts, std::size_t aEntries)
{
  std::size_t senders = 0;
  for (std::size_t number = 0; number < aEntries; ++number) {
    const auto* server = aHosts.Find(EntryName(number), "s");
    senders += server != nullptr && server->TakesWork() ? 1 : 0;
  }
  return senders;
}

std::set<std::string>
RelaysIn(const HostSet& aHosts, std::size_t aEntries)
{
  std::set<std::string> relays;
  for (std::size_t number = 0; number < aEntries; ++number) {
    if (aHosts.StateOf(EntryName(number)).role == Role::Relay) {
      relays.insert(EntryName(number));
    }
  }
  return relays;
}

/**
 * @brief Entry hosts, other than the given ones, to which nothing has
 * advertised a configuration.
 */
std::size_t
HostsWithout(const HostSet& aHosts,
             ChangeNumber aNumber,
             const std::set<std::string>& aExcept,
             std::size_t aEntries)
{
  std::size_t without = 0;
  for (std::size_t number = 0; number < aEntries; ++number) {
    const auto advertised =
      aHosts.advertisedNumbers.find(HostId{ EntryName(number) });
    const bool known = advertised != aHosts.advertisedNumbers.end() &&
                       advertised->second >= aNumber;
    without += known || aExcept.contains(EntryName(number)) ? 0 : 1;
  }
  return without;
}

/** @brief Messages that a control host receives in ten calm seconds. */
std::size_t
ReceivedByControl(std::size_t aEntries)
{
  auto hosts = MakeZone(aEntries);
  hosts.received.clear();
  hosts.Run(10s);
  return hosts.received[HostId{ "c1" }];
}

} // namespace

Test(roster_tree, claims_reach_every_host_through_a_few_relays)
{
  constexpr std::size_t kEntries = 60;
  auto hosts = MakeZone(kEntries);
  const auto relays = RelaysIn(hosts, kEntries);
  cr_assert(!relays.empty());
  cr_assert_leq(relays.size(), kMaxRelays);
  hosts.Deliver("c1", MakeHeartbeat(1));
  hosts.Run(kPushDelay);
  cr_assert_eq(SendersOf(hosts, kEntries), kEntries);
}

// Guards against a cost of control hosts that grows with the entry hosts, which
// kept hundreds of them from ever becoming ready.
Test(roster_tree, messages_to_a_control_host_do_not_grow_with_the_zone)
{
  const auto few = ReceivedByControl(20);
  const auto many = ReceivedByControl(160);
  // Each of the others registers every 8 s at one of two control hosts.
  const std::size_t registrations = (160 - 20) * 10 / 8 / 2;
  cr_assert_leq(many, few + 2 * registrations, "%zu of %zu", many, few);
}

Test(roster_tree, the_loss_of_one_relay_delays_no_claim)
{
  constexpr std::size_t kEntries = 40;
  auto hosts = MakeZone(kEntries);
  hosts.Deliver("c1", MakeHeartbeat(1));
  hosts.Run(kPushDelay);
  const auto lost = *RelaysIn(hosts, kEntries).begin();
  hosts.stopped.insert(HostId{ lost });
  hosts.Deliver("c1", MakeHeartbeat(2, Presence::Leaving));
  hosts.Run(kPushDelay);
  hosts.stopped.clear();
  cr_assert_leq(SendersOf(hosts, kEntries), 1U);
}

// A leaving server may get no request later than 2 s after its
// acknowledgement where two losses coincide with it.
Test(roster_tree, hosts_whose_relays_are_all_lost_return_to_control_hosts)
{
  constexpr std::size_t kEntries = 40;
  auto hosts = MakeZone(kEntries);
  hosts.Deliver("c1", MakeHeartbeat(1));
  hosts.Run(kPushDelay);
  const auto relays = RelaysIn(hosts, kEntries);
  for (const auto& relay : relays) {
    hosts.stopped.insert(HostId{ relay });
  }
  hosts.Deliver("c1", MakeHeartbeat(2, Presence::Leaving));
  hosts.Run(3s);
  cr_assert_leq(SendersOf(hosts, kEntries), relays.size());
  cr_assert_leq(RelaysIn(hosts, kEntries).size(),
                relays.size() + 2 * kMaxRelays);
}

// Guards against hosts in touch that miss a configuration and a leaving server
// for 4.5 s, since control hosts referred them back to the relays they had
// lost. A configuration may take 2 s.
Test(roster_tree, the_loss_of_all_relays_delays_news_by_less_than_two_seconds)
{
  constexpr ChangeNumber kNumber{ 5 };
  for (const std::size_t entries : { 19, 60 }) {
    for (Duration phase{}; phase < Settings{}.renewalInterval; phase += 100ms) {
      auto hosts = MakeZone(entries);
      hosts.Deliver("c1", MakeHeartbeat(1));
      hosts.Run(1s + phase);
      const auto relays = RelaysIn(hosts, entries);
      for (const auto& relay : relays) {
        hosts.stopped.insert(HostId{ relay });
      }
      hosts.Deliver("c1", MakeHeartbeat(2, Presence::Leaving));
      hosts.Deliver("c1", ConfigurationUpdated{ kNumber });
      hosts.Deliver("c2", ConfigurationUpdated{ kNumber });
      hosts.Run(1700ms);
      cr_expect_eq(HostsWithout(hosts, kNumber, relays, entries), 0U);
      cr_expect_leq(SendersOf(hosts, entries), relays.size());
    }
  }
}

Test(roster_tree, a_relay_that_reaches_no_control_host_is_left)
{
  constexpr std::size_t kEntries = 40;
  auto hosts = MakeZone(kEntries);
  hosts.Deliver("c1", MakeHeartbeat(1));
  const auto relays = RelaysIn(hosts, kEntries);
  for (const auto& relay : relays) {
    for (const auto* control : { "c1", "c2" }) {
      hosts.cut.insert({ HostId{ relay }, HostId{ control } });
      hosts.cut.insert({ HostId{ control }, HostId{ relay } });
    }
  }
  hosts.Run(4s);
  hosts.Deliver("c1", MakeHeartbeat(2, Presence::Leaving));
  hosts.Run(kPushDelay);
  cr_assert_leq(SendersOf(hosts, kEntries), relays.size());
}

// Guards against followers that trust relays for 2.5 s that receive nothing.
Test(roster_tree, relays_that_are_cut_off_delay_news_by_less_than_two_seconds)
{
  constexpr ChangeNumber kNumber{ 5 };
  constexpr std::size_t kEntries = 40;
  for (Duration phase{}; phase < Settings{}.renewalInterval; phase += 100ms) {
    auto hosts = MakeZone(kEntries);
    hosts.Deliver("c1", MakeHeartbeat(1));
    hosts.Run(1s + phase);
    const auto relays = RelaysIn(hosts, kEntries);
    for (const auto& relay : relays) {
      for (const auto* control : { "c1", "c2" }) {
        hosts.cut.insert({ HostId{ relay }, HostId{ control } });
        hosts.cut.insert({ HostId{ control }, HostId{ relay } });
      }
    }
    hosts.Deliver("c1", MakeHeartbeat(2, Presence::Leaving));
    hosts.Deliver("c1", ConfigurationUpdated{ kNumber });
    hosts.Deliver("c2", ConfigurationUpdated{ kNumber });
    hosts.Run(1800ms);
    cr_expect_eq(HostsWithout(hosts, kNumber, relays, kEntries), 0U);
    cr_expect_leq(SendersOf(hosts, kEntries), relays.size());
  }
}

Test(roster_tree, surplus_relays_become_followers_again)
{
  constexpr std::size_t kEntries = 40;
  auto hosts = MakeZone(kEntries);
  const auto before = RelaysIn(hosts, kEntries);
  for (const auto& relay : before) {
    hosts.stopped.insert(HostId{ relay });
  }
  hosts.Run(6s);
  hosts.stopped.clear();
  hosts.Run(6s);
  cr_assert_leq(RelaysIn(hosts, kEntries).size(), kMaxRelays);
  hosts.Deliver("c2", MakeHeartbeat(1));
  hosts.Run(kPushDelay);
  cr_assert_eq(SendersOf(hosts, kEntries), kEntries);
}

Test(roster_tree, servers_of_a_lost_control_host_are_suspected_by_followers)
{
  constexpr std::size_t kEntries = 30;
  auto hosts = MakeZone(kEntries);
  hosts.Deliver("c1", MakeHeartbeat(1));
  hosts.Run(kPushDelay);
  hosts.stopped.insert(HostId{ "c1" });
  hosts.Run(5s);
  cr_assert_eq(SendersOf(hosts, kEntries), 0U);
  hosts.Deliver("c2", MakeHeartbeat(2));
  hosts.Run(kPushDelay);
  cr_assert_eq(SendersOf(hosts, kEntries), kEntries);
}

Test(roster_tree, each_host_reports_its_work_to_a_relay)
{
  constexpr std::size_t kEntries = 40;
  auto hosts = MakeZone(kEntries);
  hosts.Deliver("c1", MakeHeartbeat(1));
  hosts.Run(1s);
  const auto relays = RelaysIn(hosts, kEntries);
  for (std::size_t number = 0; number < kEntries; ++number) {
    const auto& topology = hosts.StateOf(EntryName(number)).view->topology;
    cr_assert(relays.contains(topology.collector.String()));
    if (!relays.contains(EntryName(number))) {
      cr_assert(topology.upstream.Empty());
      continue;
    }
    cr_assert_eq(topology.peers.size(), relays.size() - 1);
    cr_assert_eq(topology.upstream, HostId{ "c1" });
  }
}

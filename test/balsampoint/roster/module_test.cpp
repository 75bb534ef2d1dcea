#include "balsampoint/roster/hosts.hpp"

#include <chrono>
#include <criterion/criterion.h>

using namespace balsampoint;
using namespace balsampoint::roster;
using balsampoint::test::HostSet;
using namespace std::chrono_literals;

namespace {

/** Longest time until a change is sent that follows another one. */
constexpr Duration kPushDelay = Settings{}.minPushInterval + 50ms;

Heartbeat
MakeHeartbeat(std::uint64_t aIncarnation, std::uint64_t aSequence)
{
  return { { .server = ServerId{ "s" },
             .stamp = { Incarnation{ aIncarnation }, aSequence },
             .description = { .service = ServiceId{ "desk" },
                              .address = "10.0.0.9:80" } } };
}

HostSet
MakeHosts()
{
  HostSet hosts;
  hosts.Add("c1", true);
  hosts.Add("c2", true);
  hosts.Add("entry", false);
  hosts.Run(1s);
  return hosts;
}

} // namespace

Test(roster, a_heartbeat_reaches_every_host_at_once)
{
  auto hosts = MakeHosts();
  hosts.Deliver("c1", MakeHeartbeat(7, 1));
  cr_assert(hosts.Find("entry", "s")->TakesWork());
  cr_assert(hosts.Find("c2", "s")->TakesWork());
}

Test(roster, a_leaving_server_is_known_at_once)
{
  auto hosts = MakeHosts();
  hosts.Deliver("c1", MakeHeartbeat(7, 1));
  auto leaving = MakeHeartbeat(7, 2);
  leaving.claim.presence = Presence::Leaving;
  hosts.Deliver("c2", leaving);
  cr_assert_not(hosts.Find("entry", "s")->TakesWork());
}

Test(roster, a_server_that_returned_during_a_partition_is_advertised_again)
{
  auto hosts = MakeHosts();
  hosts.Deliver("c2", MakeHeartbeat(7, 1));
  hosts.cut = { { HostId{ "c1" }, HostId{ "c2" } },
                { HostId{ "c2" }, HostId{ "c1" } } };
  hosts.Deliver("c1", MakeHeartbeat(7, 2));
  hosts.Deliver("c2", MakeHeartbeat(7, 3));
  hosts.cut.clear();
  for (std::uint64_t sequence = 4; sequence < 14; ++sequence) {
    hosts.Run(1s);
    hosts.Deliver("c2", MakeHeartbeat(7, sequence));
  }
  for (const auto* host : { "c1", "c2", "entry" }) {
    cr_assert(hosts.Find(host, "s")->TakesWork(), "%s", host);
  }
}

Test(roster, a_heartbeat_received_by_two_hosts_does_not_mark_a_server_silent)
{
  auto hosts = MakeHosts();
  hosts.Deliver("c1", MakeHeartbeat(7, 1));
  hosts.cut = { { HostId{ "c1" }, HostId{ "c2" } },
                { HostId{ "c2" }, HostId{ "c1" } } };
  hosts.Deliver("c2", MakeHeartbeat(7, 2));
  hosts.Deliver("c1", MakeHeartbeat(7, 2));
  hosts.cut.clear();
  for (std::uint64_t sequence = 3; sequence < 13; ++sequence) {
    hosts.Run(1s);
    hosts.Deliver("c2", MakeHeartbeat(7, sequence));
  }
  for (const auto* host : { "c1", "c2", "entry" }) {
    cr_assert(hosts.Find(host, "s")->TakesWork(), "%s", host);
  }
}

Test(roster, a_late_heartbeat_does_not_bring_a_server_back)
{
  auto hosts = MakeHosts();
  hosts.Deliver("c1", MakeHeartbeat(7, 5));
  hosts.Deliver("c1", SignedOff{ ServerId{ "s" }, {} });
  hosts.Run(kPushDelay);
  cr_assert_null(hosts.Find("entry", "s"));
  hosts.Deliver("c2", MakeHeartbeat(7, 6));
  cr_assert_null(hosts.Find("entry", "s"));
  hosts.Run(kPushDelay);
  hosts.Deliver("c2", MakeHeartbeat(8, 1));
  cr_assert(hosts.Find("entry", "s")->TakesWork());
  hosts.Deliver("c1", MakeHeartbeat(7, 9));
  cr_assert_eq(hosts.Find("entry", "s")->claim.stamp.incarnation,
               Incarnation{ 8 });
}

// Guards against a server that is used after its acknowledged sign-off, which
// was dropped where no heartbeat had arrived before.
Test(roster, a_sign_off_before_any_heartbeat_is_kept)
{
  auto hosts = MakeHosts();
  hosts.Deliver("c1", SignedOff{ ServerId{ "s" }, Incarnation{ 7 } });
  hosts.Run(kPushDelay);
  hosts.Deliver("c2", MakeHeartbeat(7, 1));
  hosts.Deliver("c1", MakeHeartbeat(7, 2));
  hosts.Run(1s);
  for (const auto* host : { "c1", "c2", "entry" }) {
    cr_assert_null(hosts.Find(host, "s"));
  }
  hosts.Deliver("c2", MakeHeartbeat(8, 1));
  hosts.Run(kPushDelay);
  cr_assert(hosts.Find("entry", "s")->TakesWork());
}

// A control host that was started again knows nothing of the server, the
// others still do.
Test(roster, a_sign_off_at_a_restarted_control_host_reaches_the_others)
{
  auto hosts = MakeHosts();
  hosts.Deliver("c1", MakeHeartbeat(7, 1));
  hosts.Restart("c1");
  hosts.Run(2s);
  hosts.Deliver("c1", SignedOff{ ServerId{ "s" }, Incarnation{ 7 } });
  hosts.Run(1s);
  cr_assert_null(hosts.Find("entry", "s"));
  cr_assert_null(hosts.Find("c2", "s"));
}

Test(roster, a_sign_off_of_a_later_incarnation_is_kept)
{
  auto hosts = MakeHosts();
  hosts.Deliver("c1", MakeHeartbeat(7, 5));
  hosts.Deliver("c1", SignedOff{ ServerId{ "s" }, Incarnation{ 8 } });
  hosts.Run(kPushDelay);
  hosts.Deliver("c2", MakeHeartbeat(8, 1));
  hosts.Run(1s);
  cr_assert_null(hosts.Find("entry", "s"));
}

Test(roster, sign_offs_before_any_heartbeat_do_not_replace_each_other)
{
  auto hosts = MakeHosts();
  hosts.Deliver("c1", SignedOff{ ServerId{ "later" }, Incarnation{ 9 } });
  hosts.Deliver("c1", SignedOff{ ServerId{ "s" }, Incarnation{ 7 } });
  hosts.Run(kPushDelay);
  hosts.Deliver("c2", MakeHeartbeat(7, 1));
  hosts.Run(1s);
  cr_assert_null(hosts.Find("entry", "s"));
}

Test(roster, a_later_server_at_the_same_address_replaces_the_earlier)
{
  auto hosts = MakeHosts();
  hosts.Deliver("c1", MakeHeartbeat(7, 5));
  auto other = MakeHeartbeat(9, 1);
  other.claim.server = ServerId{ "t" };
  hosts.Deliver("c1", other);
  hosts.Run(kPushDelay);
  cr_assert_null(hosts.Find("entry", "s"));
  hosts.Deliver("c2", MakeHeartbeat(7, 6));
  cr_assert_null(hosts.Find("entry", "s"));
  cr_assert(hosts.Find("entry", "t")->TakesWork());
}

Test(roster, missed_heartbeats_exclude_a_server_and_a_new_one_restores_it)
{
  auto hosts = MakeHosts();
  hosts.Deliver("c1", MakeHeartbeat(7, 1));
  hosts.Run(5s);
  cr_assert_eq(hosts.Find("entry", "s")->claim.presence, Presence::Silent);
  hosts.Deliver("c2", MakeHeartbeat(7, 2));
  cr_assert(hosts.Find("entry", "s")->TakesWork());
}

Test(roster, servers_of_an_unreachable_control_host_are_suspected)
{
  auto hosts = MakeHosts();
  hosts.Deliver("c1", MakeHeartbeat(7, 1));
  hosts.stopped.insert(HostId{ "c1" });
  hosts.Run(3s);
  cr_assert(hosts.Find("entry", "s")->suspected);
  hosts.Deliver("c2", MakeHeartbeat(7, 2));
  cr_assert(hosts.Find("entry", "s")->TakesWork());
}

Test(roster, without_any_control_host_the_last_view_stays)
{
  auto hosts = MakeHosts();
  hosts.Deliver("c1", MakeHeartbeat(7, 1));
  hosts.stopped = { HostId{ "c1" }, HostId{ "c2" } };
  hosts.Run(20s);
  cr_assert(hosts.Find("entry", "s")->TakesWork());
}

Test(roster, lost_updates_are_requested_again)
{
  auto hosts = MakeHosts();
  hosts.stopped.insert(HostId{ "entry" });
  hosts.Deliver("c1", MakeHeartbeat(7, 1));
  hosts.stopped.clear();
  hosts.Run(1s);
  cr_assert(hosts.Find("entry", "s")->TakesWork());
}

Test(roster, subscribers_receive_the_number_of_a_newer_configuration)
{
  auto hosts = MakeHosts();
  hosts.Deliver("c2", ConfigurationUpdated{ ChangeNumber{ 28 } });
  cr_assert_eq(hosts.advertisedNumbers[HostId{ "entry" }], ChangeNumber{ 28 });
}

Test(roster, a_change_of_role_names_the_control_host_that_decided_it)
{
  auto hosts = MakeHosts();
  const HostId entry{ "entry" };
  cr_assert(hosts.roles.at(entry).role == Role::Relay);
  const Referral referral{ .relays = { { HostId{ "other" }, "other:1" } } };
  hosts.Deliver("entry", Received{ HostId{ "c2" }, referral });
  cr_assert(hosts.roles.at(entry).role == Role::Entry);
  cr_assert_eq(hosts.roles.at(entry).by, HostId{ "c2" });
}

// Guards against a control thread that runs without a pause: a relay that is
// referred to others has no one to send a waiting change to.
Test(roster, a_relay_that_steps_down_leaves_no_deadline_in_the_past)
{
  auto hosts = MakeHosts();
  const Subscribe subscription{ .address = "follower:1",
                                .zone = ZoneId{ "a" } };
  hosts.Deliver("entry", Received{ HostId{ "follower" }, subscription });
  hosts.Deliver("entry", ConfigurationUpdated{ ChangeNumber{ 1 } });
  hosts.Deliver("entry", ConfigurationUpdated{ ChangeNumber{ 2 } });
  const Referral referral{ .relays = { { HostId{ "other" }, "other:1" } } };
  hosts.Deliver("entry", Received{ HostId{ "c1" }, referral });
  cr_assert(hosts.StateOf("entry").role == Role::Entry);
  hosts.Run(kPushDelay);
  cr_assert_gt(Module::NextDeadline(hosts.StateOf("entry")), hosts.Now());
}

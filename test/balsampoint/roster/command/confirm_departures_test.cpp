#include "balsampoint/roster/hosts.hpp"

#include <chrono>
#include <criterion/criterion.h>

using namespace balsampoint;
using namespace balsampoint::roster;
using balsampoint::test::HostSet;
using namespace std::chrono_literals;

namespace {

constexpr Duration kPushDelay = Settings{}.minPushInterval + 50ms;
constexpr Ticket kTicket{ 5 };

Heartbeat
MakeHeartbeat(std::uint64_t aSequence, Presence aPresence, Ticket aTicket = {})
{
  return { .claim = { .server = ServerId{ "s" },
                      .stamp = { Incarnation{ 7 }, aSequence },
                      .presence = aPresence,
                      .description = { .service = ServiceId{ "desk" },
                                       .address = "10.0.0.9:80" } },
           .ticket = aTicket };
}

const SignedOff kSignedOff{ .server = ServerId{ "s" },
                            .incarnation = Incarnation{ 7 },
                            .ticket = kTicket };
const Heartbeat kLeaving = MakeHeartbeat(2, Presence::Leaving, kTicket);

/** @brief Two control hosts, one of which has just heard of a server, and an
 * entry host. */
HostSet
MakeHosts()
{
  HostSet hosts;
  hosts.departureCopies = 2;
  hosts.Add("c1", true);
  hosts.Add("c2", true);
  hosts.Add("entry", false);
  hosts.Run(1s);
  hosts.Deliver("c2", MakeHeartbeat(1, Presence::Ready));
  hosts.Run(kPushDelay);
  return hosts;
}

bool
TakesWork(const HostSet& aHosts, std::string_view aHost)
{
  const auto* server = aHosts.Find(aHost, "s");
  return server != nullptr && server->TakesWork();
}

} // namespace

// Guards against a server that is used after its acknowledged departure,
// because the one control host that knew of it was lost.
Test(confirm_departures, an_acknowledged_departure_survives_its_control_host)
{
  for (const auto& event : { Event{ kSignedOff }, Event{ kLeaving } }) {
    auto hosts = MakeHosts();
    hosts.cut.insert({ HostId{ "c1" }, HostId{ "entry" } });
    hosts.Deliver("c1", event);
    hosts.Run(kPushDelay);
    cr_assert(hosts.answers.contains(kTicket));
    cr_assert(hosts.answers.at(kTicket));
    hosts.stopped.insert(HostId{ "c1" });
    hosts.Run(kPushDelay);
    cr_expect_not(TakesWork(hosts, "entry"));
    cr_expect_not(TakesWork(hosts, "c2"));
  }
}

Test(confirm_departures, no_departure_is_acknowledged_without_a_copy)
{
  for (const auto& event : { Event{ kSignedOff }, Event{ kLeaving } }) {
    auto hosts = MakeHosts();
    hosts.cut.insert({ HostId{ "c1" }, HostId{ "c2" } });
    hosts.Deliver("c1", event);
    hosts.Run(Settings{}.departureTimeout - 100ms);
    cr_assert(hosts.answers.empty());
    hosts.Run(150ms);
    cr_assert(hosts.answers.contains(kTicket));
    cr_expect_not(hosts.answers.at(kTicket));
  }
}

Test(confirm_departures, a_lone_control_host_answers_at_once)
{
  HostSet hosts;
  hosts.departureCopies = 1;
  hosts.Add("c1", true);
  hosts.Deliver("c1", MakeHeartbeat(1, Presence::Ready));
  hosts.Deliver("c1", kSignedOff);
  cr_assert(hosts.answers.at(kTicket));
}

Test(confirm_departures, a_restarted_control_host_learns_of_departures)
{
  auto hosts = MakeHosts();
  hosts.Deliver("c1", kSignedOff);
  hosts.Run(kPushDelay);
  hosts.Restart("c1");
  hosts.Run(1s);
  hosts.Deliver("c1", MakeHeartbeat(3, Presence::Ready));
  hosts.Run(kPushDelay);
  cr_expect_not(TakesWork(hosts, "c1"));
  cr_expect_not(TakesWork(hosts, "entry"));
}

// A copy of a departure receives no heartbeats, and must not make the server
// silent.
Test(confirm_departures, a_copied_departure_does_not_expire)
{
  auto hosts = MakeHosts();
  hosts.Deliver("c1", kLeaving);
  for (std::uint64_t sequence = 3; sequence < 12; ++sequence) {
    hosts.Run(1s);
    hosts.Deliver("c1", MakeHeartbeat(sequence, Presence::Leaving));
  }
  for (const auto* host : { "c1", "c2", "entry" }) {
    const auto* server = hosts.Find(host, "s");
    cr_assert_not_null(server);
    cr_expect_eq(server->claim.presence, Presence::Leaving, "%s", host);
  }
}

Test(confirm_departures, a_sign_off_that_names_nothing_known_is_refused)
{
  auto hosts = MakeHosts();
  hosts.Deliver("c1",
                SignedOff{ .server = ServerId{ "x" }, .ticket = kTicket });
  cr_assert_not(hosts.answers.at(kTicket));
}

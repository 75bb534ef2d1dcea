#include "balsampoint/roster/module.hpp"

#include <algorithm>
#include <chrono>
#include <criterion/criterion.h>
#include <map>
#include <set>

using namespace balsampoint;
using namespace balsampoint::roster;
using namespace std::chrono_literals;

namespace {

constexpr Instant kStart{ 1h };

/**
 * @brief Hosts that deliver messages to each other at once unless the link
 * is cut.
 */
class Hosts
{
public:
  void Add(std::string_view aName, bool aHears)
  {
    const HostId host{ std::string{ aName } };
    Settings settings{ .self = host,
                       .incarnation = Incarnation{ 1 },
                       .address = host.String() + ":1",
                       .hears = aHears };
    for (const auto* seed : { "c1", "c2" }) {
      settings.seeds.push_back({ HostId{ seed }, std::string{ seed } + ":1" });
    }
    mStates.emplace(host, Module::Start(settings, mNow));
  }

  void Tell(std::string_view aHost, const Event& aEvent)
  {
    const HostId host{ std::string{ aHost } };
    Actions actions;
    Module::Handle(mStates.at(host), aEvent, mNow, actions);
    Take(host, actions);
  }

  void Run(Duration aTime)
  {
    const auto end = mNow + aTime;
    while (mNow < end) {
      mNow = std::min(end, mNow + 50ms);
      for (auto& [host, state] : mStates) {
        if (stopped.contains(host) || Module::NextDeadline(state) > mNow) {
          continue;
        }
        Actions actions;
        Module::Tick(state, mNow, actions);
        Take(host, actions);
      }
    }
  }

  const Server* Find(std::string_view aHost, std::string_view aServer) const
  {
    const auto view = mStates.at(HostId{ std::string{ aHost } }).view;
    if (!view) {
      return nullptr;
    }
    for (const auto& server : view->servers) {
      if (server.claim.server.Value() == aServer) {
        return &server;
      }
    }
    return nullptr;
  }

  std::set<HostId> stopped;
  /** Links that drop messages, as pairs of sender and receiver. */
  std::set<std::pair<HostId, HostId>> cut;
  std::map<HostId, ChangeNumber> heardNumbers;

private:
  void Take(const HostId& aFrom, const Actions& aActions)
  {
    for (const auto& action : aActions) {
      if (const auto* heard = std::get_if<ConfigurationHeard>(&action)) {
        heardNumbers[aFrom] = heard->number;
      }
      const auto* send = std::get_if<Send>(&action);
      if (send == nullptr || !mStates.contains(send->to) ||
          stopped.contains(send->to) || stopped.contains(aFrom) ||
          cut.contains({ aFrom, send->to })) {
        continue;
      }
      Tell(send->to.Value(), Received{ aFrom, send->message });
    }
  }

  Instant mNow{ kStart };
  std::map<HostId, State> mStates;
};

Heartbeat
Beat(std::uint64_t aIncarnation, std::uint64_t aSequence)
{
  return { { .server = ServerId{ "s" },
             .stamp = { Incarnation{ aIncarnation }, aSequence },
             .description = { .service = ServiceId{ "desk" },
                              .address = "10.0.0.9:80" } } };
}

Hosts
MakeHosts()
{
  Hosts hosts;
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
  hosts.Tell("c1", Beat(7, 1));
  cr_assert(hosts.Find("entry", "s")->TakesWork());
  cr_assert(hosts.Find("c2", "s")->TakesWork());
}

Test(roster, a_leaving_server_is_known_at_once)
{
  auto hosts = MakeHosts();
  hosts.Tell("c1", Beat(7, 1));
  auto leaving = Beat(7, 2);
  leaving.claim.presence = Presence::Leaving;
  hosts.Tell("c2", leaving);
  cr_assert_not(hosts.Find("entry", "s")->TakesWork());
}

Test(roster, a_server_that_came_back_during_a_cut_is_told_again)
{
  auto hosts = MakeHosts();
  hosts.Tell("c2", Beat(7, 1));
  hosts.cut = { { HostId{ "c1" }, HostId{ "c2" } },
                { HostId{ "c2" }, HostId{ "c1" } } };
  hosts.Tell("c1", Beat(7, 2));
  hosts.Tell("c2", Beat(7, 3));
  hosts.cut.clear();
  for (std::uint64_t sequence = 4; sequence < 14; ++sequence) {
    hosts.Run(1s);
    hosts.Tell("c2", Beat(7, sequence));
  }
  for (const auto* host : { "c1", "c2", "entry" }) {
    cr_assert(hosts.Find(host, "s")->TakesWork(), "%s", host);
  }
}

Test(roster, a_heartbeat_that_reached_two_hosts_does_not_silence_a_server)
{
  auto hosts = MakeHosts();
  hosts.Tell("c1", Beat(7, 1));
  hosts.cut = { { HostId{ "c1" }, HostId{ "c2" } },
                { HostId{ "c2" }, HostId{ "c1" } } };
  hosts.Tell("c2", Beat(7, 2));
  hosts.Tell("c1", Beat(7, 2));
  hosts.cut.clear();
  for (std::uint64_t sequence = 3; sequence < 13; ++sequence) {
    hosts.Run(1s);
    hosts.Tell("c2", Beat(7, sequence));
  }
  for (const auto* host : { "c1", "c2", "entry" }) {
    cr_assert(hosts.Find(host, "s")->TakesWork(), "%s", host);
  }
}

Test(roster, a_late_heartbeat_does_not_bring_a_server_back)
{
  auto hosts = MakeHosts();
  hosts.Tell("c1", Beat(7, 5));
  hosts.Tell("c1", SignedOff{ ServerId{ "s" }, {} });
  cr_assert_null(hosts.Find("entry", "s"));
  hosts.Tell("c2", Beat(7, 6));
  cr_assert_null(hosts.Find("entry", "s"));
  hosts.Tell("c2", Beat(8, 1));
  cr_assert(hosts.Find("entry", "s")->TakesWork());
  hosts.Tell("c1", Beat(7, 9));
  cr_assert_eq(hosts.Find("entry", "s")->claim.stamp.incarnation,
               Incarnation{ 8 });
}

Test(roster, a_later_server_at_the_same_address_replaces_the_earlier)
{
  auto hosts = MakeHosts();
  hosts.Tell("c1", Beat(7, 5));
  auto other = Beat(9, 1);
  other.claim.server = ServerId{ "t" };
  hosts.Tell("c1", other);
  cr_assert_null(hosts.Find("entry", "s"));
  hosts.Tell("c2", Beat(7, 6));
  cr_assert_null(hosts.Find("entry", "s"));
  cr_assert(hosts.Find("entry", "t")->TakesWork());
}

Test(roster, silence_takes_a_server_out_and_a_heartbeat_brings_it_back)
{
  auto hosts = MakeHosts();
  hosts.Tell("c1", Beat(7, 1));
  hosts.Run(5s);
  cr_assert_eq(hosts.Find("entry", "s")->claim.presence, Presence::Silent);
  hosts.Tell("c2", Beat(7, 2));
  cr_assert(hosts.Find("entry", "s")->TakesWork());
}

Test(roster, servers_of_a_lost_control_host_are_doubted)
{
  auto hosts = MakeHosts();
  hosts.Tell("c1", Beat(7, 1));
  hosts.stopped.insert(HostId{ "c1" });
  hosts.Run(3s);
  cr_assert(hosts.Find("entry", "s")->doubted);
  hosts.Tell("c2", Beat(7, 2));
  cr_assert(hosts.Find("entry", "s")->TakesWork());
}

Test(roster, without_any_control_host_the_last_view_holds)
{
  auto hosts = MakeHosts();
  hosts.Tell("c1", Beat(7, 1));
  hosts.stopped = { HostId{ "c1" }, HostId{ "c2" } };
  hosts.Run(20s);
  cr_assert(hosts.Find("entry", "s")->TakesWork());
}

Test(roster, lost_updates_are_asked_for_again)
{
  auto hosts = MakeHosts();
  hosts.stopped.insert(HostId{ "entry" });
  hosts.Tell("c1", Beat(7, 1));
  hosts.stopped.clear();
  hosts.Run(1s);
  cr_assert(hosts.Find("entry", "s")->TakesWork());
}

Test(roster, subscribers_hear_of_a_newer_configuration)
{
  auto hosts = MakeHosts();
  hosts.Tell("c2", ConfigurationKnown{ ChangeNumber{ 28 } });
  cr_assert_eq(hosts.heardNumbers[HostId{ "entry" }], ChangeNumber{ 28 });
}

#include "balsampoint/usage/module.hpp"

#include <chrono>
#include <criterion/criterion.h>

using namespace balsampoint;
using namespace balsampoint::usage;
using namespace std::chrono_literals;

namespace {

constexpr Instant kNow{ 1h };

LocalUsage
MakeUsage(std::uint32_t aPassing, double aKv)
{
  return { { { .server = ServerId{ "s" }, .passing = aPassing, .kv = aKv } } };
}

const RemoteUsage&
SentTo(const Actions& aActions, std::string_view aHost)
{
  for (const auto& action : aActions) {
    const auto* send = std::get_if<Send>(&action);
    if (send != nullptr && send->to.Value() == aHost) {
      return std::get<RemoteUsage>(send->message);
    }
  }
  cr_assert_fail("no message to the host");
  static const RemoteUsage none;
  return none;
}

} // namespace

Test(usage, each_host_receives_the_work_of_the_others)
{
  State state{ .settings = { .self = HostId{ "c" } } };
  Actions actions;
  Module::Handle(
    state, Received{ HostId{ "e1" }, MakeUsage(3, 30) }, kNow, actions);
  Module::Handle(
    state, Received{ HostId{ "e2" }, MakeUsage(4, 40) }, kNow, actions);
  Module::Handle(
    state, Received{ HostId{ "e3" }, MakeUsage(0, 0) }, kNow, actions);
  Module::Tick(state, kNow + 200ms, actions);
  cr_assert_eq(SentTo(actions, "e1").servers.front().passing, 4U);
  cr_assert_eq(SentTo(actions, "e2").servers.front().kv, 30.0);
  cr_assert_eq(SentTo(actions, "e3").servers.front().passing, 7U);
  cr_assert_eq(SentTo(actions, "e3").hosts, 2U);
}

Test(usage, an_expired_report_no_longer_counts)
{
  State state{ .settings = { .self = HostId{ "c" } } };
  Actions actions;
  Module::Handle(
    state, Received{ HostId{ "e1" }, MakeUsage(3, 30) }, kNow, actions);
  Module::Handle(
    state, Received{ HostId{ "e2" }, MakeUsage(4, 40) }, kNow + 2s, actions);
  Module::Tick(state, kNow + 2200ms, actions);
  cr_assert(SentTo(actions, "e2").servers.empty());
}

Test(usage, work_is_sent_to_the_collector)
{
  State state{ .settings = { .self = HostId{ "e1" } } };
  Actions actions;
  Module::Handle(state, Measured{ MakeUsage(1, 1) }, kNow, actions);
  cr_assert(actions.empty());
  Module::Handle(state, CollectorChanged{ HostId{ "c" } }, kNow, actions);
  Module::Handle(state, Measured{ MakeUsage(1, 1) }, kNow, actions);
  cr_assert_eq(std::get<Send>(actions.front()).to, HostId{ "c" });
}

// Guards against crashes that seem to have happened at one moment, since a
// report of an earlier one had waited longer to be passed on.
Test(usage, suspects_are_passed_on_with_the_time_they_were_held)
{
  State state{ .settings = { .self = HostId{ "c" } } };
  Actions actions;
  const quarantine::PartReport report{
    .part = PromptPartId{ "p" },
    .crashes = { { { ServerId{ "s" }, Incarnation{ 1 } }, 100ms } },
    .answeredFor = 50ms,
    .activeFor = 100ms
  };
  Module::Handle(state,
                 Received{ HostId{ "e1" }, LocalUsage{ {}, { report } } },
                 kNow,
                 actions);
  Module::Handle(
    state, Received{ HostId{ "e2" }, MakeUsage(0, 0) }, kNow, actions);
  Module::Tick(state, kNow + 180ms, actions);
  const auto& passedOn = SentTo(actions, "e2").suspects.front();
  cr_assert_eq(passedOn.crashes.front().age, Duration{ 280ms });
  cr_assert_eq(*passedOn.answeredFor, Duration{ 230ms });
  cr_assert_eq(passedOn.activeFor, Duration{ 280ms });
}

#include "balsampoint/usage/module.hpp"

#include <chrono>
#include <criterion/criterion.h>

using namespace balsampoint;
using namespace balsampoint::usage;
using namespace std::chrono_literals;

namespace {

constexpr Instant kNow{ 1h };

OwnUse
Use(std::uint32_t aPassing, double aKv)
{
  return { { { .server = ServerId{ "s" }, .passing = aPassing, .kv = aKv } } };
}

const OthersUse&
To(const Actions& aActions, std::string_view aHost)
{
  for (const auto& action : aActions) {
    const auto* send = std::get_if<Send>(&action);
    if (send != nullptr && send->to.Value() == aHost) {
      return std::get<OthersUse>(send->message);
    }
  }
  cr_assert_fail("no message to the host");
  static const OthersUse none;
  return none;
}

} // namespace

Test(usage, each_host_is_told_what_the_others_have)
{
  State state{ .settings = { .self = HostId{ "c" } } };
  Actions actions;
  Module::Handle(state, Received{ HostId{ "e1" }, Use(3, 30) }, kNow, actions);
  Module::Handle(state, Received{ HostId{ "e2" }, Use(4, 40) }, kNow, actions);
  Module::Handle(state, Received{ HostId{ "e3" }, Use(0, 0) }, kNow, actions);
  Module::Tick(state, kNow + 200ms, actions);
  cr_assert_eq(To(actions, "e1").servers.front().passing, 4U);
  cr_assert_eq(To(actions, "e2").servers.front().kv, 30.0);
  cr_assert_eq(To(actions, "e3").servers.front().passing, 7U);
  cr_assert_eq(To(actions, "e3").hosts, 2U);
}

Test(usage, a_host_that_falls_silent_no_longer_counts)
{
  State state{ .settings = { .self = HostId{ "c" } } };
  Actions actions;
  Module::Handle(state, Received{ HostId{ "e1" }, Use(3, 30) }, kNow, actions);
  Module::Handle(
    state, Received{ HostId{ "e2" }, Use(4, 40) }, kNow + 2s, actions);
  Module::Tick(state, kNow + 2200ms, actions);
  cr_assert(To(actions, "e2").servers.empty());
}

Test(usage, work_goes_to_the_host_that_sums_up)
{
  State state{ .settings = { .self = HostId{ "e1" } } };
  Actions actions;
  Module::Handle(state, Measured{ Use(1, 1) }, kNow, actions);
  cr_assert(actions.empty());
  Module::Handle(state, CollectorKnown{ HostId{ "c" } }, kNow, actions);
  Module::Handle(state, Measured{ Use(1, 1) }, kNow, actions);
  cr_assert_eq(std::get<Send>(actions.front()).to, HostId{ "c" });
}

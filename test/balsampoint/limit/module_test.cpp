#include "balsampoint/limit/module.hpp"

#include <criterion/criterion.h>

using namespace balsampoint;
using namespace balsampoint::limit;

namespace {

using namespace std::chrono_literals;

constexpr Instant kStart{ 1h };

struct Host
{
  State state;
  std::vector<Action> actions;
  Instant now{ kStart };
  std::uint64_t last{};

  explicit Host(std::uint32_t aSlots)
  {
    state.settings.slots = aSlots;
    Handle(CapacityChanged{ .kvCapacity = 1000, .kvUsed = 0 });
  }

  void Handle(const Event& aEvent)
  {
    actions.clear();
    Module::Handle(state, aEvent, now, actions);
  }

  void Configure(std::map<WorkspaceId, WorkspaceRule> aRules)
  {
    Handle(Configured{ std::move(aRules) });
  }

  Ticket Arrive(const std::string& aWorkspace,
                Instant aDeadline = kNever,
                std::uint64_t aKvTokens = 0)
  {
    Handle(Arrived{ .ticket = Ticket{ ++last },
                    .workspace = WorkspaceId{ aWorkspace },
                    .kvTokens = aKvTokens,
                    .deadline = aDeadline,
                    .predictedFirstOutput = 100ms });
    return Ticket{ last };
  }

  const Error* Refusal() const
  {
    const auto* refused =
      actions.empty() ? nullptr : std::get_if<Refused>(&actions.back());
    return refused == nullptr ? nullptr : &refused->error;
  }

  std::uint32_t Running(const std::string& aWorkspace)
  {
    return state.workspaces[WorkspaceId{ aWorkspace }].running;
  }

  /** Ends the running request with the lowest ticket. */
  void EndOldest() { Handle(Ended{ state.running.begin()->first }); }
};

} // namespace

Test(module, admits_while_slots_are_free_and_queues_after)
{
  Host host{ 1 };
  host.Arrive("a");
  cr_assert(std::holds_alternative<Admitted>(host.actions.back()));
  const auto second = host.Arrive("a");
  cr_assert(host.actions.empty());
  host.EndOldest();
  cr_assert_eq(std::get<Admitted>(host.actions.back()).ticket, second);
}

Test(module, busy_workspace_cannot_take_the_share_of_another)
{
  Host host{ 10 };
  host.Configure({ { WorkspaceId{ "heavy" }, { .weight = 1.0 } },
                   { WorkspaceId{ "light" }, { .weight = 1.0 } } });
  for (int at = 0; at < 200; ++at) {
    host.Arrive("heavy");
  }
  for (int at = 0; at < 20; ++at) {
    host.Arrive("light");
  }
  for (int at = 0; at < 10; ++at) {
    host.EndOldest();
  }
  cr_assert_eq(host.Running("light"), 5);
  cr_assert_eq(host.Running("heavy"), 5);
}

Test(module, weights_divide_the_slots)
{
  Host host{ 12 };
  host.Configure({ { WorkspaceId{ "two" }, { .weight = 2.0 } },
                   { WorkspaceId{ "one" }, { .weight = 1.0 } } });
  for (int at = 0; at < 100; ++at) {
    host.Arrive("one");
    host.Arrive("two");
  }
  for (int at = 0; at < 60; ++at) {
    host.EndOldest();
  }
  cr_assert_eq(host.Running("two"), 8);
  cr_assert_eq(host.Running("one"), 4);
}

Test(module, priority_applies_only_within_the_fair_share)
{
  Host host{ 4 };
  host.Configure({ { WorkspaceId{ "first" }, { .priority = 0 } },
                   { WorkspaceId{ "later" }, { .priority = 5 } } });
  for (int at = 0; at < 40; ++at) {
    host.Arrive("later");
  }
  for (int at = 0; at < 40; ++at) {
    host.Arrive("first");
  }
  host.EndOldest();
  host.EndOldest();
  cr_assert_eq(host.Running("first"), 2);
  for (int at = 0; at < 8; ++at) {
    host.EndOldest();
  }
  cr_assert_eq(host.Running("later"), 2);
}

Test(module, request_predicted_to_miss_its_deadline_is_refused_at_once)
{
  Host host{ 1 };
  host.Arrive("a");
  host.Arrive("a", kStart + 200ms);
  cr_assert_eq(host.Refusal()->kind, ErrorKind::Overloaded);
  cr_assert_eq(host.Refusal()->executed, Executed::No);
  cr_assert(host.Refusal()->retryAfter > 0s);
}

Test(module, waiting_request_is_refused_once_it_cannot_meet_its_deadline)
{
  Host host{ 1 };
  host.Arrive("a");
  const auto late = host.Arrive("a", kStart + 2s);
  host.now = Module::NextDeadline(host.state);
  cr_assert(host.now == kStart + 1900ms);
  Module::Tick(host.state, host.now, host.actions);
  cr_assert_eq(std::get<Refused>(host.actions.back()).ticket, late);
  cr_assert_eq(Module::NextDeadline(host.state), kNever);
}

Test(module, full_queue_refuses_the_newest_request_of_the_longest_queue)
{
  Host host{ 1 };
  host.state.settings.maxWaiting = 4;
  host.Arrive("heavy");
  for (int at = 0; at < 4; ++at) {
    host.Arrive("heavy");
  }
  const Ticket newest{ host.last };
  host.Arrive("light");
  cr_assert_eq(std::get<Refused>(host.actions.front()).ticket, newest);
  cr_assert_eq(host.state.workspaces[WorkspaceId{ "light" }].waiting.size(), 1);
  host.Arrive("heavy");
  cr_assert_eq(std::get<Refused>(host.actions.back()).ticket,
               Ticket{ host.last });
}

Test(module, free_kv_limits_running_requests)
{
  Host host{ 10 };
  host.Arrive("a", kNever, 600);
  host.Arrive("a", kNever, 600);
  cr_assert_eq(host.Running("a"), 1);
  host.EndOldest();
  cr_assert_eq(host.Running("a"), 1);
  cr_assert_eq(host.state.kvReserved, 600);
}

Test(module, rate_and_concurrency_limits_are_divided_among_hosts)
{
  Host host{ 100 };
  host.Configure({ { WorkspaceId{ "a" }, { .concurrentRequests = 6 } },
                   { WorkspaceId{ "b" }, { .requestsPerSecond = 3.0 } } });
  host.Handle(HostsChanged{ 3 });
  host.Arrive("a");
  host.Arrive("a");
  host.Arrive("a");
  cr_assert_eq(host.Refusal()->kind, ErrorKind::RateLimited);
  host.Arrive("b");
  cr_assert_null(host.Refusal());
  host.Arrive("b");
  cr_assert(host.Refusal()->retryAfter == 1s);
  host.now += 1s;
  host.Arrive("b");
  cr_assert_null(host.Refusal());
}

Test(module, request_cancelled_while_waiting_leaves_no_state)
{
  Host host{ 1 };
  host.Arrive("a");
  const auto waiting = host.Arrive("a", kStart + 10s);
  host.Handle(Ended{ waiting });
  host.EndOldest();
  cr_assert(host.state.running.empty());
  cr_assert(host.state.waiting.empty());
  cr_assert(host.state.timers.empty());
}

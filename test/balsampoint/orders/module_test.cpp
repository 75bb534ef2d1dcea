#include "balsampoint/orders/module.hpp"

#include "balsampoint/orders/internal/bounds.hpp"
#include "fake/isolated_holder.hpp"

#include <criterion/criterion.h>

using namespace balsampoint;
using namespace balsampoint::orders;
using namespace std::chrono_literals;

namespace {

constexpr Instant kStart{};

/** @brief One host whose proposals are applied at once while connected. */
struct Fixture
{
  State state{ .settings = { .self = HostId{ "h1" },
                             .incarnation = Incarnation{ 1 } } };
  Instant now = kStart;
  std::vector<SendOrder> sent;
  std::vector<Finished> finished;
  bool connected{ true };

  void Handle(const Event& aEvent)
  {
    std::vector<Action> actions;
    Module::Handle(state, aEvent, now, actions);
    RunActions(actions);
  }

  void RunTo(Instant aEnd)
  {
    while (Module::NextDeadline(state) <= aEnd) {
      now = std::max(now, Module::NextDeadline(state));
      std::vector<Action> actions;
      Module::Tick(state, now, actions);
      RunActions(actions);
    }
    now = aEnd;
  }

  void RunActions(const std::vector<Action>& aActions)
  {
    for (const auto& action : aActions) {
      if (const auto* send = std::get_if<SendOrder>(&action)) {
        sent.push_back(*send);
      } else if (const auto* end = std::get_if<Finished>(&action)) {
        finished.push_back(*end);
      } else if (connected) {
        Handle(Applied{ std::get<Propose>(action).command });
      }
    }
  }

  void AcquireLease()
  {
    Handle(Candidacy{ true });
    RunTo(now + internal::GrantDelay(state.settings));
    cr_assert(state.lease.Held());
  }

  void Submit(std::string_view aServer, bool aChecks)
  {
    Handle(Submitted{ .ticket = Ticket{ 1 },
                      .server = ServerId{ std::string{ aServer } },
                      .checksFencing = aChecks,
                      .task = ChangeRole{ Role::Decode } });
  }
};

} // namespace

Test(orders,
     are_sent_before_the_takeover_delay_only_to_engines_that_check_fencing)
{
  Fixture host;
  host.AcquireLease();
  host.Submit("checks", true);
  host.Submit("ignores", false);
  cr_assert_eq(host.sent.size(), 1);
  cr_assert_eq(host.sent[0].order.server, ServerId{ "checks" });
  const auto delayEnd = kStart + internal::TakeoverDelay(host.state.settings);
  host.RunTo(delayEnd - 1ms);
  cr_assert_eq(host.sent.size(), 1);
  host.RunTo(delayEnd);
  cr_assert_eq(host.sent.size(), 2);
}

Test(orders, end_with_an_answer_or_at_their_deadline)
{
  Fixture host;
  host.AcquireLease();
  host.Submit("s1", true);
  host.Submit("s1", true);
  cr_assert_eq(host.sent.size(), 1, "one open order per engine");
  host.Handle(Answered{ host.sent[0].order.id, Outcome::Refused });
  cr_assert_eq(*host.finished.at(0).result, Outcome::Refused);
  cr_assert_eq(host.sent.size(), 2);
  host.Handle(Answered{ host.sent[1].order.id, Outcome::Unknown });
  cr_assert_eq(host.finished.size(), 1);
  host.RunTo(host.now + host.state.settings.orderLimit);
  cr_assert_eq(*host.finished.at(1).result, Outcome::Unknown);
}

Test(orders, stop_when_the_lease_is_not_renewed)
{
  Fixture host;
  host.AcquireLease();
  host.connected = false;
  host.RunTo(host.now + host.state.settings.lease);
  host.Submit("s1", true);
  cr_assert(host.sent.empty());
  cr_assert_eq(host.finished.at(0).result.error().kind,
               ErrorKind::ControlUnavailable);
}

Test(orders, a_released_lease_needs_no_takeover_delay)
{
  Fixture host;
  host.AcquireLease();
  host.Handle(Candidacy{ false });
  cr_assert(host.state.table.holder.Empty());
  cr_assert_not(host.state.lease.Held());
  host.Handle(Candidacy{ true });
  cr_assert(host.state.lease.Held());
  cr_assert_eq(host.state.table.fencing, FencingNumber{ 2 });
  host.Submit("ignores", false);
  cr_assert_eq(host.sent.size(), 1);
}

Test(orders, nothing_is_sent_while_a_release_is_pending)
{
  Fixture host;
  host.AcquireLease();
  host.connected = false;
  host.Handle(Candidacy{ false });
  host.Handle(Candidacy{ true });
  host.Submit("s1", true);
  cr_assert(host.sent.empty());
}

Test(orders, a_grant_received_late_counts_from_the_first_request)
{
  Fixture host;
  host.connected = false;
  host.Handle(Candidacy{ true });
  host.RunTo(kStart + 100s);
  host.Handle(Applied{
    Grant{ .holder = HostId{ "h1" }, .incarnation = Incarnation{ 1 } } });
  host.Submit("s1", true);
  cr_assert(host.sent.empty());
}

Test(orders, a_grant_is_refused_after_a_renewal_in_between)
{
  Table table;
  cr_assert(Apply(table, Grant{ .holder = HostId{ "h1" } }));
  const Grant late{ .holder = HostId{ "h2" },
                    .seenFencing = FencingNumber{ 1 } };
  cr_assert(Apply(table, Renew{ FencingNumber{ 1 }, 1 }));
  cr_assert_not(Apply(table, late));
  cr_assert_not(Apply(table, Renew{ FencingNumber{ 1 }, 1 }));
}

Test(orders, of_an_isolated_holder_never_take_effect_after_those_of_a_newer_one)
{
  std::uint64_t sent{};
  for (std::uint64_t seed = 0; seed < 2000; ++seed) {
    fake::IsolatedHolder run{ seed, fake::ShortOrderTimes() };
    const auto result = run.Run(25s);
    cr_assert_eq(result.lateEffects, 0, "seed %lu", seed);
    sent += result.sent[1];
  }
  cr_assert_gt(sent, 0);
}

Test(orders, the_simulation_detects_a_takeover_delay_that_is_too_short)
{
  std::uint64_t late{};
  for (std::uint64_t seed = 0; seed < 2000; ++seed) {
    auto settings = fake::ShortOrderTimes();
    settings.orderLimit = 0s;
    fake::IsolatedHolder run{ seed, settings };
    run.SetEngineLimit(3s);
    late += run.Run(25s).lateEffects;
  }
  cr_assert_gt(late, 0);
}

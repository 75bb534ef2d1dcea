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
  std::vector<Give> given;
  std::vector<Finished> finished;
  bool connected{ true };

  void Tell(const Event& aEvent)
  {
    std::vector<Action> actions;
    Module::Handle(state, aEvent, now, actions);
    Take(actions);
  }

  void RunTo(Instant aEnd)
  {
    while (Module::NextDeadline(state) <= aEnd) {
      now = std::max(now, Module::NextDeadline(state));
      std::vector<Action> actions;
      Module::Tick(state, now, actions);
      Take(actions);
    }
    now = aEnd;
  }

  void Take(const std::vector<Action>& aActions)
  {
    for (const auto& action : aActions) {
      if (const auto* give = std::get_if<Give>(&action)) {
        given.push_back(*give);
      } else if (const auto* end = std::get_if<Finished>(&action)) {
        finished.push_back(*end);
      } else if (connected) {
        Tell(Applied{ std::get<Propose>(action).command });
      }
    }
  }

  void Hold()
  {
    Tell(Candidacy{ true });
    RunTo(now + internal::LeaseWait(state.settings));
    cr_assert(state.lease.Held());
  }

  void Submit(std::string_view aServer, bool aChecks)
  {
    Tell(Submitted{ .ticket = Ticket{ 1 },
                    .server = ServerId{ std::string{ aServer } },
                    .checksFencing = aChecks,
                    .task = ChangeRole{ Role::Decode } });
  }
};

} // namespace

Test(orders, go_at_once_only_to_engines_that_check_numbers)
{
  Fixture host;
  host.Hold();
  host.Submit("checks", true);
  host.Submit("ignores", false);
  cr_assert_eq(host.given.size(), 1);
  cr_assert_eq(host.given[0].order.server, ServerId{ "checks" });
  const auto quiet = kStart + internal::QuietTime(host.state.settings);
  host.RunTo(quiet - 1ms);
  cr_assert_eq(host.given.size(), 1);
  host.RunTo(quiet);
  cr_assert_eq(host.given.size(), 2);
}

Test(orders, are_followed_to_their_end)
{
  Fixture host;
  host.Hold();
  host.Submit("s1", true);
  host.Submit("s1", true);
  cr_assert_eq(host.given.size(), 1, "one open order per engine");
  host.Tell(Answered{ host.given[0].order.id, Outcome::Refused });
  cr_assert_eq(*host.finished.at(0).result, Outcome::Refused);
  cr_assert_eq(host.given.size(), 2);
  host.Tell(Answered{ host.given[1].order.id, Outcome::Unknown });
  cr_assert_eq(host.finished.size(), 1);
  host.RunTo(host.now + host.state.settings.orderLimit);
  cr_assert_eq(*host.finished.at(1).result, Outcome::Unknown);
}

Test(orders, stop_when_the_lease_is_not_renewed)
{
  Fixture host;
  host.Hold();
  host.connected = false;
  host.RunTo(host.now + host.state.settings.lease);
  host.Submit("s1", true);
  cr_assert(host.given.empty());
  cr_assert_eq(host.finished.at(0).result.error().kind,
               ErrorKind::ControlUnavailable);
}

Test(orders, a_released_lease_leaves_no_silence)
{
  Fixture host;
  host.Hold();
  host.Tell(Candidacy{ false });
  cr_assert(host.state.table.holder.Empty());
  cr_assert_not(host.state.lease.Held());
  host.Tell(Candidacy{ true });
  cr_assert(host.state.lease.Held());
  cr_assert_eq(host.state.table.fencing, FencingNumber{ 2 });
  host.Submit("ignores", false);
  cr_assert_eq(host.given.size(), 1);
}

Test(orders, nothing_is_given_while_a_release_is_under_way)
{
  Fixture host;
  host.Hold();
  host.connected = false;
  host.Tell(Candidacy{ false });
  host.Tell(Candidacy{ true });
  host.Submit("s1", true);
  cr_assert(host.given.empty());
}

Test(orders, a_grant_learnt_late_counts_from_the_first_asking)
{
  Fixture host;
  host.connected = false;
  host.Tell(Candidacy{ true });
  host.RunTo(kStart + 100s);
  host.Tell(Applied{
    Grant{ .holder = HostId{ "h1" }, .incarnation = Incarnation{ 1 } } });
  host.Submit("s1", true);
  cr_assert(host.given.empty());
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

Test(orders, of_an_isolated_holder_never_take_effect_after_a_newer_one)
{
  std::uint64_t given{};
  for (std::uint64_t seed = 0; seed < 2000; ++seed) {
    fake::IsolatedHolder run{ seed, fake::ShortOrderTimes() };
    const auto result = run.Run(25s);
    cr_assert_eq(result.lateEffects, 0, "seed %lu", seed);
    given += result.given[1];
  }
  cr_assert_gt(given, 0);
}

Test(orders, the_check_finds_a_silence_that_is_too_short)
{
  std::uint64_t late{};
  for (std::uint64_t seed = 0; seed < 2000; ++seed) {
    auto settings = fake::ShortOrderTimes();
    settings.orderLimit = 0s;
    fake::IsolatedHolder run{ seed, settings };
    run.KeepLimit(3s);
    late += run.Run(25s).lateEffects;
  }
  cr_assert_gt(late, 0);
}

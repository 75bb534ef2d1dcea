#include "balsampoint/registry/module.hpp"

#include "announcements.hpp"

#include <criterion/criterion.h>

using namespace balsampoint;
using namespace balsampoint::registry;

namespace {

constexpr Instant kStart{};

std::vector<Action>
Announce(State& aState, const Announcement& aAnnouncement, Instant aNow)
{
  std::vector<Action> actions;
  Module::Handle(
    aState,
    Announced{ .ticket = Ticket{ 7 }, .announcement = aAnnouncement },
    aNow,
    actions);
  return actions;
}

} // namespace

Test(registry, answers_and_publishes_a_new_server_at_once)
{
  auto state = ColomboState();
  const auto actions = Announce(state, Engine("s1"), kStart);
  cr_assert_eq(actions.size(), 2);
  cr_assert_eq(std::get<Answered>(actions[0]).ticket, Ticket{ 7 });
  cr_assert_eq(std::get<Publish>(actions[1]).view->servers.size(), 1);
}

Test(registry, batches_views_that_differ_only_in_load)
{
  auto state = ColomboState();
  Announce(state, Engine("s1"), kStart);
  auto loaded = Engine("s1");
  loaded.load.queuedRequests = 3;
  cr_assert_eq(Announce(state, loaded, kStart).size(), 1);
  const auto due = Module::NextDeadline(state);
  cr_assert_eq(due, kStart + state.settings.loadInterval);
  std::vector<Action> actions;
  Module::Tick(state, due, actions);
  const auto& view = *std::get<Publish>(actions.at(0)).view;
  cr_assert_eq(view.servers.at(0).announcement.load.queuedRequests, 3);
}

Test(registry, publishes_the_loss_of_a_lease)
{
  auto state = ColomboState();
  Announce(state, Engine("s1"), kStart);
  const auto due = Module::NextDeadline(state);
  cr_assert_eq(due, kStart + state.settings.lease);
  std::vector<Action> actions;
  Module::Tick(state, due, actions);
  cr_assert(std::get<Publish>(actions.at(0)).view->servers.empty());
}

#include "balsampoint/registry/command/announce.hpp"

#include "../announcements.hpp"
#include "balsampoint/registry/command/expire.hpp"

#include <criterion/criterion.h>

using namespace balsampoint;
using namespace balsampoint::registry;

namespace {

constexpr Instant kStart{};

ErrorKind
Refusal(const Announcement& aAnnouncement)
{
  auto state = ColomboState();
  state.modelLayers[ModelId{ "verse" }] = 32;
  const auto result = Announce(state, aAnnouncement, kStart);
  cr_assert_not(result.has_value());
  cr_assert(state.records.empty());
  return result.error().kind;
}

} // namespace

Test(announce, grants_a_lease_and_renews_it)
{
  auto state = ColomboState();
  const auto later = kStart + std::chrono::seconds{ 1 };
  cr_assert_eq(Announce(state, Engine("s1"), kStart), state.settings.lease);
  cr_assert(Announce(state, Engine("s1"), later).has_value());
  Expire(state, kStart + state.settings.lease);
  cr_assert(state.records.at(ServerId{ "s1" }).claim.live);
  Expire(state, later + state.settings.lease);
  cr_assert_not(state.records.at(ServerId{ "s1" }).claim.live);
}

Test(announce, refuses_invalid_announcements)
{
  auto outside = Engine("s1");
  outside.holdings.front().layers.end = 33;
  cr_assert_eq(Refusal(outside), ErrorKind::BadRequest);
  auto foreign = Engine("s1");
  foreign.zone = ZoneId{ "negombo-c" };
  cr_assert_eq(Refusal(foreign), ErrorKind::BadRequest);
  auto resized = Engine("s1");
  resized.holdings.front().modelLayers = 40;
  cr_assert_eq(Refusal(resized), ErrorKind::BadRequest);
  auto named = Engine("s1");
  named.address = "engine.example:80";
  cr_assert_eq(Refusal(named), ErrorKind::BadRequest);
  auto twice = Engine("s1");
  twice.holdings.push_back(twice.holdings.front());
  cr_assert_eq(Refusal(twice), ErrorKind::BadRequest);
  auto idle = Engine("s1");
  idle.layerTokensPerSecond = 0.0;
  cr_assert_eq(Refusal(idle), ErrorKind::BadRequest);
}

Test(announce, refuses_older_incarnations_even_after_the_lease)
{
  auto state = ColomboState();
  cr_assert(Announce(state, Engine("s1", 2), kStart).has_value());
  cr_assert_eq(Announce(state, Engine("s1", 1), kStart).error().kind,
               ErrorKind::Conflict);
  const auto later = kStart + std::chrono::seconds{ 5 };
  Expire(state, later);
  cr_assert_eq(Announce(state, Engine("s1", 1), later).error().kind,
               ErrorKind::Conflict);
}

Test(announce, refuses_a_second_address_for_one_id)
{
  auto state = ColomboState();
  cr_assert(Announce(state, Engine("s1"), kStart).has_value());
  auto other = Engine("s1");
  other.address = "127.0.0.2:9000";
  cr_assert_eq(Announce(state, other, kStart).error().kind,
               ErrorKind::Conflict);
  other.incarnation = Incarnation{ 2 };
  cr_assert(Announce(state, other, kStart).has_value());
  cr_assert_eq(Announce(state, Engine("s1"), kStart).error().kind,
               ErrorKind::Conflict);
}

Test(announce, keeps_a_leaving_server_leaving)
{
  auto state = ColomboState();
  auto leaving = Engine("s1");
  leaving.state = ServerState::Leaving;
  cr_assert(Announce(state, leaving, kStart).has_value());
  cr_assert_eq(Announce(state, Engine("s1"), kStart).error().kind,
               ErrorKind::Conflict);
  cr_assert(Announce(state, Engine("s1", 2), kStart).has_value());
}

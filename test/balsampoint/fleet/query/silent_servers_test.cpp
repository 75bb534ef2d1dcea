#include "balsampoint/fleet/query/silent_servers.hpp"

#include "balsampoint/fleet/command/record_probe.hpp"
#include "balsampoint/fleet/command/track_work.hpp"
#include "balsampoint/fleet/fixture.hpp"

#include <criterion/criterion.h>

using namespace balsampoint;
using namespace balsampoint::fleet;
using namespace balsampoint::test;
using namespace std::chrono_literals;

namespace {

constexpr Instant kNow{ 1h };
const ServiceId kService{ "verse" };

/** @brief Streams through two chains that share only the first server. */
struct Fixture
{
  Fixture()
  {
    state.settings.zone = ZoneId{ "a" };
    FollowRoster(state,
                 { .servers = { MakeEngine("first", "a", { 0, 4 }),
                                MakeEngine("dead", "a", { 4, 8 }),
                                MakeEngine("alive", "a", { 4, 8 }) } },
                 SmallModel());
    for (int stream = 0; stream < 3; ++stream) {
      CountStream(state, kService, Through("dead"), true);
      CountStream(state, kService, Through("alive"), true);
    }
    Reservation none;
    RecordEvent(state, kService, Through("dead"), none, {}, kNow);
    RecordEvent(state, kService, Through("alive"), none, {}, kNow);
  }

  static std::vector<Hop> Through(const std::string& aSecond)
  {
    return {
      { ServerId{ "first" }, Incarnation{ 1 }, "first:80", { 0, 4 } },
      { ServerId{ aSecond }, Incarnation{ 1 }, aSecond + ":80", { 4, 8 } }
    };
  }

  State state;
};

} // namespace

Test(silent_servers, finds_the_server_that_all_paused_streams_share)
{
  Fixture fixture;
  Reservation none;
  for (int event = 1; event <= 5; ++event) {
    RecordEvent(fixture.state,
                kService,
                Fixture::Through("alive"),
                none,
                50ms,
                kNow + event * 50ms);
  }
  const auto silent = SilentServers(fixture.state, kNow + 250ms);
  cr_assert_eq(silent.size(), 1U);
  cr_assert_eq(silent.front().server, ServerId{ "dead" });
}

Test(silent_servers, leaves_out_recently_probed_servers)
{
  Fixture fixture;
  const auto now = kNow + 400ms;
  cr_assert_eq(SilentServers(fixture.state, now).size(), 3U);
  RecordProbe(fixture.state, kService, ServerId{ "first" }, now);
  cr_assert_eq(SilentServers(fixture.state, now).size(), 2U);
}

Test(silent_servers, finds_none_without_streams)
{
  Fixture fixture;
  for (int stream = 0; stream < 3; ++stream) {
    CountStream(fixture.state, kService, Fixture::Through("dead"), false);
    CountStream(fixture.state, kService, Fixture::Through("alive"), false);
  }
  cr_assert(SilentServers(fixture.state, kNow + 5s).empty());
}

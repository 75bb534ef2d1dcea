#include "balsampoint/fleet/query/return_after.hpp"

#include "balsampoint/fleet/command/track_work.hpp"
#include "balsampoint/fleet/fixture.hpp"
#include "balsampoint/fleet/query/choose_chain.hpp"

#include <criterion/criterion.h>

using namespace balsampoint;
using namespace balsampoint::fleet;
using namespace balsampoint::test;
using namespace std::chrono_literals;

namespace {

constexpr Instant kNow{ 1h };
const ServiceId kService{ "verse" };

void
BeginStream(State& aState, Instant aNow)
{
  const auto chain = ChooseChain(
    aState,
    { .service = kService, .promptTokens = 100.0, .answerTokens = 40.0 },
    aNow);
  NoteEvent(aState, kService, chain->hops, {}, aNow);
}

} // namespace

Test(return_after, is_short_where_requests_have_just_found_room)
{
  auto state = MakeFleet({ MakeEngine("a1", "a", { 0, 8 }) });
  BeginStream(state, kNow);
  cr_assert(ReturnAfter(state, kService, kNow + 10ms) ==
            state.settings.shortestReturn);
}

Test(return_after, grows_with_the_time_without_room)
{
  auto state = MakeFleet({ MakeEngine("a1", "a", { 0, 8 }) });
  BeginStream(state, kNow);
  cr_assert(ReturnAfter(state, kService, kNow + 700ms) == 700ms);
  cr_assert(ReturnAfter(state, kService, kNow + 1min) ==
            state.settings.longestReturn);
}

Test(return_after, is_long_where_nothing_is_known)
{
  const auto state = MakeFleet({ MakeEngine("a1", "a", { 0, 8 }) });
  cr_assert(ReturnAfter(state, kService, kNow) == state.settings.longestReturn);
  cr_assert(ReturnAfter(state, ServiceId{ "other" }, kNow) ==
            state.settings.longestReturn);
}

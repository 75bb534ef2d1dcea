#include "balsampoint/fleet/query/retry_after.hpp"

#include "balsampoint/fleet/command/record_statement.hpp"
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
  Reservation none;
  RecordEvent(aState, kService, chain->hops, none, {}, aNow);
}

} // namespace

Test(retry_after, is_short_after_a_request_has_just_started)
{
  auto state = MakeFleet({ MakeEngine("a1", "a", { 0, 8 }) });
  BeginStream(state, kNow);
  cr_assert(RetryAfter(state, kService, kNow + 10ms) ==
            state.settings.minRetryAfter);
}

Test(retry_after, grows_with_the_length_of_the_shortage)
{
  auto state = MakeFleet({ MakeEngine("a1", "a", { 0, 8 }) });
  BeginStream(state, kNow);
  cr_assert(RetryAfter(state, kService, kNow + 700ms) == 700ms);
  cr_assert(RetryAfter(state, kService, kNow + 1min) ==
            state.settings.maxRetryAfter);
}

Test(retry_after, is_long_without_any_information)
{
  const auto state = MakeFleet({ MakeEngine("a1", "a", { 0, 8 }) });
  cr_assert(RetryAfter(state, kService, kNow) == state.settings.maxRetryAfter);
  cr_assert(RetryAfter(state, ServiceId{ "other" }, kNow) ==
            state.settings.maxRetryAfter);
}

Test(retry_after, is_the_time_that_limited_servers_need_for_what_they_refuse)
{
  auto state = MakeFleet(
    { MakeEngine("a1", "a", { 0, 8 }), MakeEngine("a2", "a", { 0, 8 }) });
  BeginStream(state, kNow);
  for (int choice = 0; choice < 17; ++choice) {
    CountChoice(state, kService, kNow);
  }
  const auto limit = [&](const char* aServer) {
    RecordRateLimit(
      state,
      kService,
      { .server = ServerId{ aServer }, .incarnation = Incarnation{ 1 } },
      1.0,
      kNow);
  };
  limit("a1");
  cr_assert(RetryAfter(state, kService, kNow) == state.settings.minRetryAfter);
  limit("a2");
  // 8 requests a second for servers that take 2.
  cr_assert(RetryAfter(state, kService, kNow) == 3s);
}

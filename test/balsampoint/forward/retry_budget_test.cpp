#include "balsampoint/forward/retry_budget.hpp"

#include "balsampoint/core/split_mix.hpp"

#include <chrono>
#include <criterion/criterion.h>
#include <deque>

using namespace balsampoint;
using namespace balsampoint::forward;
using namespace std::chrono_literals;

namespace {

const ServiceId kService{ "verse" };
constexpr RetryAllowance kAllowance{ .ratio = 0.2,
                                     .extra = 12.0,
                                     .hosts = 4.0,
                                     .window = 10s };

} // namespace

Test(retry_budget, an_idle_host_gets_its_share_of_the_extra_retries)
{
  RetryBudget budget{ kAllowance };
  const Instant now{ 1h };
  for (int retry = 0; retry < 3; ++retry) {
    cr_assert(budget.TakeRetry(kService, RetryPurpose::Repeat, now));
  }
  cr_assert_not(budget.TakeRetry(kService, RetryPurpose::Repeat, now));
  cr_assert(budget.TakeRetry(ServiceId{ "desk" }, RetryPurpose::Repeat, now));
  cr_assert(budget.TakeRetry(kService, RetryPurpose::Repeat, now + 11s));
}

Test(retry_budget, retries_are_limited_by_the_requests_of_the_window)
{
  RetryBudget budget{ kAllowance };
  SplitMix64 random{ 5 };
  Instant now{ 1h };
  std::deque<Instant> requests;
  std::deque<Instant> retries;
  for (int step = 0; step < 20000; ++step) {
    now += std::chrono::milliseconds{ 10 };
    budget.CountRequest(kService, now);
    requests.push_back(now);
    if (random.Next() % 2 == 0 &&
        budget.TakeRetry(kService, RetryPurpose::Repeat, now)) {
      retries.push_back(now);
    }
    while (requests.front() <= now - 10s) {
      requests.pop_front();
    }
    while (!retries.empty() && retries.front() <= now - 10s) {
      retries.pop_front();
    }
    const auto allowed = 0.2 * static_cast<double>(requests.size()) + 3.0;
    cr_assert_leq(static_cast<double>(retries.size()), allowed);
  }
}

Test(retry_budget, hosts_no_longer_known_still_count)
{
  RetryBudget budget{ kAllowance };
  budget.SetHostCount(8);
  budget.SetHostCount(2);
  const Instant now{ 1h };
  cr_assert(budget.TakeRetry(kService, RetryPurpose::Repeat, now));
  cr_assert_not(budget.TakeRetry(kService, RetryPurpose::Repeat, now));
}

Test(retry_budget, reserves_a_part_for_resumed_streams)
{
  RetryBudget budget{
    { .ratio = 0.0, .extra = 10.0, .hosts = 1.0, .reservedForResumes = 0.2 }
  };
  const Instant now{ 1h };
  int repeats = 0;
  while (budget.TakeRetry(kService, RetryPurpose::Repeat, now)) {
    ++repeats;
  }
  int resumes = 0;
  while (budget.TakeRetry(kService, RetryPurpose::Resume, now)) {
    ++resumes;
  }
  cr_assert_eq(repeats, 8);
  cr_assert_eq(resumes, 2);
}

#include "balsampoint/forward/retry_budget.hpp"

#include <algorithm>

namespace balsampoint::forward {

void
RetryBudget::SetHostCount(std::uint32_t aHosts)
{
  /** Margin for hosts that are added or not yet known. */
  constexpr double kHostMargin = 1.5;
  // A host that has just started may not know most of the others yet.
  constexpr std::uint32_t kMinHosts = 4;
  mMaxHosts = std::max({ mMaxHosts, aHosts, kMinHosts });
  mAllowance.hosts = mMaxHosts * kHostMargin;
}

void
RetryBudget::CountRequest(const ServiceId& aService, Instant aNow)
{
  ++PartAt(mServices[aService], aNow).requests;
}

bool
RetryBudget::TakeRetry(const ServiceId& aService,
                       RetryPurpose aPurpose,
                       Instant aNow)
{
  auto& parts = mServices[aService];
  const auto oldest = NumberAt(aNow) - static_cast<std::int64_t>(kParts);
  double requests = 0.0;
  double retries = 0.0;
  for (const auto& part : parts) {
    if (part.number < oldest) {
      continue;
    }
    retries += part.retries;
    // The oldest part may lie outside the window.
    requests += part.number == oldest ? 0 : part.requests;
  }
  const auto all =
    mAllowance.ratio * requests + mAllowance.extra / mAllowance.hosts;
  const auto allowed = aPurpose == RetryPurpose::Resume
                         ? all
                         : all * (1.0 - mAllowance.reservedForResumes);
  if (retries + 1.0 > allowed) {
    return false;
  }
  ++PartAt(parts, aNow).retries;
  return true;
}

RetryBudget::Part&
RetryBudget::PartAt(Parts& aParts, Instant aNow) const
{
  const auto number = NumberAt(aNow);
  auto& part = aParts[static_cast<std::size_t>(number) % aParts.size()];
  if (part.number != number) {
    part = { .number = number };
  }
  return part;
}

std::int64_t
RetryBudget::NumberAt(Instant aNow) const
{
  const auto length = mAllowance.window / static_cast<Duration::rep>(kParts);
  return aNow.time_since_epoch() / length;
}

} // namespace balsampoint::forward

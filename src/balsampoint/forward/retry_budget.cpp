#include "balsampoint/forward/retry_budget.hpp"

#include <algorithm>

namespace balsampoint::forward {

void
RetryBudget::ShareAmong(std::uint32_t aHosts)
{
  /** Margin for hosts that are added or not yet known. */
  constexpr double kRoom = 1.5;
  // A host that has just started may not know most of the others yet.
  constexpr std::uint32_t kFewest = 4;
  mMostHosts = std::max({ mMostHosts, aHosts, kFewest });
  mAllowance.hosts = mMostHosts * kRoom;
}

void
RetryBudget::CountRequest(const ServiceId& aService, Instant aNow)
{
  ++PartAt(mServices[aService], aNow).requests;
}

bool
RetryBudget::TakeRetry(const ServiceId& aService, RetryUse aUse, Instant aNow)
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
  const auto allowed =
    aUse == RetryUse::Resume ? all : all * (1.0 - mAllowance.keptForResumes);
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

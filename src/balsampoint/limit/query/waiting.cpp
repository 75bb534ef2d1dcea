#include "balsampoint/limit/query/waiting.hpp"

#include "balsampoint/limit/internal/demand.hpp"

#include <algorithm>
#include <chrono>

namespace balsampoint::limit {

namespace {

void
AppendTries(const ServiceShortage& aService,
            std::size_t aMaxTries,
            std::vector<Ticket>& aTickets)
{
  auto ordered = aService.waiting;
  std::ranges::sort(ordered,
                    [&](const WaitRequest& aOne, const WaitRequest& aOther) {
                      return internal::IsBefore(aService, aOne, aOther);
                    });
  std::vector<WaitRequest> tried;
  for (const auto& request : ordered) {
    const bool blocked =
      std::ranges::any_of(tried, [&](const WaitRequest& aBefore) {
        return internal::Blocks(aService, aBefore, request);
      });
    if (blocked) {
      continue;
    }
    if (tried.size() >= aMaxTries) {
      return;
    }
    tried.push_back(request);
    aTickets.push_back(request.ticket);
  }
}

} // namespace

std::vector<Ticket>
NextToTry(const Shortage& aState)
{
  std::vector<Ticket> tickets;
  for (const auto& [id, service] : aState.services) {
    AppendTries(service, aState.settings.maxTries, tickets);
  }
  return tickets;
}

bool
IsBlocked(const Shortage& aState,
          const ServiceId& aService,
          const WaitRequest& aRequest)
{
  const auto service = aState.services.find(aService);
  return service != aState.services.end() &&
         std::ranges::any_of(
           service->second.waiting, [&](const WaitRequest& aWaiting) {
             return internal::Blocks(service->second, aWaiting, aRequest);
           });
}

std::size_t
WaitingCount(const Shortage& aState)
{
  std::size_t count = 0;
  for (const auto& [id, service] : aState.services) {
    count += service.waiting.size();
  }
  return count;
}

Instant
NextExpiry(const Shortage& aState)
{
  auto next = kNever;
  for (const auto& [id, service] : aState.services) {
    for (const auto& request : service.waiting) {
      next = std::min(next, request.latest);
    }
  }
  return next;
}

Duration
RetrySpread(const Shortage& aState, const ServiceId& aService, Instant aNow)
{
  const auto service = aState.services.find(aService);
  if (service == aState.services.end()) {
    return {};
  }
  constexpr Duration kRecent = std::chrono::seconds{ 1 };
  const auto refused = service->second.refusals.Within(kRecent, aNow);
  const auto rate = internal::StartRate(service->second, aNow);
  const auto longest = aState.settings.maxRetrySpread;
  const std::chrono::duration<double> limit = longest;
  if (refused == 0) {
    return {};
  }
  if (refused >= rate * limit.count()) {
    return longest;
  }
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>{ refused / rate });
}

} // namespace balsampoint::limit

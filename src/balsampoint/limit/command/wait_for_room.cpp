#include "balsampoint/limit/command/wait_for_room.hpp"

#include "balsampoint/limit/internal/demand.hpp"

#include <algorithm>

namespace balsampoint::limit {

namespace {

/** Service with reservation and waiting; null for any other. */
ServiceShortage*
Find(Shortage& aState, const ServiceId& aService)
{
  const auto found = aState.services.find(aService);
  return found == aState.services.end() ? nullptr : &found->second;
}

} // namespace

WaitDecision
Wait(Shortage& aState,
     const ServiceId& aService,
     const WaitRequest& aRequest,
     Instant aNow)
{
  auto* service = Find(aState, aService);
  if (service == nullptr) {
    return { .verdict = WaitVerdict::NotApplicable };
  }
  if (!internal::IsInTime(*service, aRequest, aNow)) {
    return { .verdict = WaitVerdict::TooLate };
  }
  auto& waiting = service->waiting;
  WaitDecision decision{ .verdict = WaitVerdict::Waits };
  if (waiting.size() >= aState.settings.maxWaiting) {
    const auto last = std::ranges::max_element(
      waiting, [&](const WaitRequest& aOne, const WaitRequest& aOther) {
        return internal::IsBefore(*service, aOne, aOther);
      });
    if (last == waiting.end() ||
        !internal::IsBefore(*service, aRequest, *last)) {
      return { .verdict = WaitVerdict::QueueFull };
    }
    decision.displaced = last->ticket;
    waiting.erase(last);
  }
  waiting.push_back(aRequest);
  return decision;
}

void
Leave(Shortage& aState, Ticket aTicket)
{
  for (auto& [id, service] : aState.services) {
    std::erase_if(service.waiting, [&](const WaitRequest& aRequest) {
      return aRequest.ticket == aTicket;
    });
  }
}

std::vector<Ticket>
RemoveExpired(Shortage& aState, Instant aNow)
{
  std::vector<Ticket> expired;
  for (auto& [id, service] : aState.services) {
    std::erase_if(service.waiting, [&](const WaitRequest& aRequest) {
      const bool late = aRequest.latest <= aNow;
      if (late) {
        expired.push_back(aRequest.ticket);
      }
      return late;
    });
  }
  return expired;
}

void
CountStart(Shortage& aState,
           const ServiceId& aService,
           const WorkspaceId& aWorkspace,
           Instant aNow)
{
  if (auto* service = Find(aState, aService)) {
    service->starts.Add(aNow);
    if (!aWorkspace.Empty()) {
      service->lastUse[aWorkspace] = aNow;
    }
  }
}

void
CountEnd(Shortage& aState, const ServiceId& aService, Instant aNow)
{
  if (auto* service = Find(aState, aService)) {
    service->ends.Add(aNow);
  }
}

void
CountRefusal(Shortage& aState, const ServiceId& aService, Instant aNow)
{
  if (auto* service = Find(aState, aService)) {
    service->refusals.Add(aNow);
  }
}

} // namespace balsampoint::limit

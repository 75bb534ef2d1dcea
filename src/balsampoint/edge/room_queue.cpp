#include "balsampoint/edge/room_queue.hpp"

#include "balsampoint/limit/query/waiting.hpp"
#include "balsampoint/runtime/steady_clock.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace balsampoint::edge {

limit::WaitVerdict
RoomQueue::Wait(const ServiceId& aService,
                const limit::WaitRequest& aRequest,
                Callbacks aCallbacks)
{
  const auto decision =
    limit::Wait(mShortage, aService, aRequest, runtime::SteadyClock::Now());
  if (decision.verdict == limit::WaitVerdict::Waits) {
    if (mCallbacks.empty()) {
      // Its own search has just failed.
      mLastRound = runtime::SteadyClock::Now();
    }
    mCallbacks.emplace(aRequest.ticket, std::move(aCallbacks));
    mMetrics.Add(trace::Count::RequestsWaited);
    CountWaiting();
    Schedule(kMaxInterval);
  }
  if (decision.displaced) {
    GiveUp({ &*decision.displaced, 1 });
  }
  return decision.verdict;
}

void
RoomQueue::Leave(Ticket aTicket)
{
  if (mCallbacks.erase(aTicket) > 0) {
    limit::Leave(mShortage, aTicket);
    CountWaiting();
  }
}

void
RoomQueue::Notify()
{
  if (!mCallbacks.empty()) {
    Schedule({});
  }
}

void
RoomQueue::GiveUp(std::span<const Ticket> aTickets)
{
  for (const auto ticket : aTickets) {
    auto found = mCallbacks.extract(ticket);
    if (!found.empty()) {
      CountWaiting();
      found.mapped().giveUp();
    }
  }
}

void
RoomQueue::RunRound()
{
  mLastRound = runtime::SteadyClock::Now();
  GiveUp(limit::RemoveExpired(mShortage, mLastRound));
  for (const auto ticket : limit::NextToTry(mShortage)) {
    const auto found = mCallbacks.find(ticket);
    if (found == mCallbacks.end()) {
      continue;
    }
    // The call removes the entry if the request finds room.
    const auto tryAgain = found->second.tryAgain;
    tryAgain();
  }
  if (!mCallbacks.empty()) {
    Schedule(kMaxInterval);
  }
}

void
RoomQueue::Schedule(Duration aAtMost)
{
  const auto now = runtime::SteadyClock::Now();
  const auto latest = std::min(
    { now + aAtMost, mLastRound + kMaxInterval, limit::NextExpiry(mShortage) });
  const auto at = std::max({ latest, mLastRound + kMinInterval, now });
  mTimer.Set(at - now, [this] { RunRound(); });
}

void
RoomQueue::CountWaiting()
{
  mMetrics.Set(trace::Level::RequestsWaiting,
               static_cast<double>(mCallbacks.size()));
}

} // namespace balsampoint::edge

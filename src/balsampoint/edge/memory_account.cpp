#include "balsampoint/edge/memory_account.hpp"

#include "balsampoint/memory/command/relieve.hpp"
#include "balsampoint/memory/query/may_grow.hpp"
#include "balsampoint/runtime/steady_clock.hpp"
#include "balsampoint/trace/event.hpp"

#include <chrono>

namespace balsampoint::edge {

namespace {

/** Time between two checks for holders that have stalled. */
constexpr Duration kCheckInterval = std::chrono::milliseconds{ 50 };

} // namespace

MemoryAccount::MemoryAccount(boost::asio::io_context& aContext,
                             memory::Settings aSettings,
                             std::size_t aSocketBytes)
  : mState{ .settings = aSettings }
  , mTimer{ aContext }
  , mSocketBytes{ aSocketBytes }
{
}

memory::HolderId
MemoryAccount::Add(MemoryCallbacks aCallbacks)
{
  const auto id = memory::AddHolder(mState, runtime::SteadyClock::Now());
  mCallbacks[id] = std::move(aCallbacks);
  return id;
}

void
MemoryAccount::Remove(memory::HolderId aId)
{
  memory::RemoveHolder(mState, aId);
  mCallbacks.erase(aId);
}

void
MemoryAccount::Record(memory::HolderId aId, const memory::Report& aReport)
{
  memory::RecordHolder(mState, aId, aReport, runtime::SteadyClock::Now());
  ScheduleIfNeeded();
}

bool
MemoryAccount::MayRead(memory::HolderId aId)
{
  const bool may = memory::MayGrow(mState, aId);
  if (!may) {
    memory::SetPaused(mState, aId, true, runtime::SteadyClock::Now());
    ScheduleIfNeeded();
  }
  return may;
}

std::size_t
MemoryAccount::PausedCount() const
{
  return mState.pausedHolders;
}

void
MemoryAccount::ScheduleIfNeeded()
{
  const bool urgent = mState.heldBytes > mState.settings.budgetBytes;
  if (mScheduled ? (mUrgent || !urgent) : !memory::NeedsRelief(mState)) {
    return;
  }
  mScheduled = true;
  mUrgent = urgent;
  mTimer.Set(urgent ? Duration{} : kCheckInterval, [this] { Act(); });
}

void
MemoryAccount::Act()
{
  mScheduled = false;
  mUrgent = false;
  for (const auto& action :
       memory::Relieve(mState, runtime::SteadyClock::Now())) {
    const auto found = mCallbacks.find(action.holder);
    if (found == mCallbacks.end()) {
      continue;
    }
    trace::Event{ "memory_released" }
      .With("relief",
            action.relief == memory::Relief::Refuse ? "refused" : "cut")
      .With("bytes", action.bytes)
      .With("held", mState.heldBytes);
    if (mObserver) {
      mObserver(action);
    }
    // The callback may remove the holder and itself.
    const auto release = found->second.release;
    release(action.relief);
  }
  Resume();
  ScheduleIfNeeded();
}

void
MemoryAccount::Resume()
{
  for (const auto id : memory::FindResumable(mState)) {
    const auto found = mCallbacks.find(id);
    if (found == mCallbacks.end()) {
      continue;
    }
    memory::SetPaused(mState, id, false, runtime::SteadyClock::Now());
    const auto resume = found->second.resume;
    resume();
  }
}

} // namespace balsampoint::edge

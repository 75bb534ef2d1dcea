#include "engine/batch_schedule.hpp"

#include <algorithm>

namespace balsampoint::engine {

Instant
BatchSchedule::Place(Instant aNow, std::uint32_t aLayers)
{
  const bool joins = aNow <= mStart && mCalls < mModel.maxBatch;
  if (!joins) {
    mStart = std::max(aNow, mEnd);
    mEnd = mStart;
    mCalls = 0;
  }
  ++mCalls;
  mEnd = std::max(mEnd, mStart + mModel.overhead + mModel.perLayer * aLayers);
  return mEnd;
}

Instant
BatchSchedule::PlaceReplay(Instant aNow,
                           std::uint32_t aLayers,
                           std::uint64_t aPositions)
{
  mStart = std::max(aNow, mEnd);
  mEnd =
    mStart + mModel.overhead + mModel.perReplayedLayer * (aLayers * aPositions);
  mCalls = mModel.maxBatch;
  return mEnd;
}

} // namespace balsampoint::engine

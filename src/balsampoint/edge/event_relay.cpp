#include "balsampoint/edge/event_relay.hpp"

#include "balsampoint/wire/write.hpp"

namespace balsampoint::edge {

bool
EventRelay::Take(std::string_view aBytes, std::string& aInto)
{
  mSplitter.Append(aBytes);
  while (true) {
    const auto event = mSplitter.Next();
    if (!event.has_value()) {
      return true;
    }
    if (!TakeEvent(event.value(), aInto)) {
      return false;
    }
  }
}

bool
EventRelay::TakeEvent(const wire::StreamEvent& aEvent, std::string& aInto)
{
  if (aEvent.id) {
    if (mLast && *aEvent.id <= *mLast) {
      return true;
    }
    if (mLast && *aEvent.id != *mLast + 1) {
      return false;
    }
    mLast = aEvent.id;
  }
  ++mCount;
  if (mChunks) {
    wire::AppendChunk(aInto, aEvent.bytes);
  } else {
    aInto += aEvent.bytes;
  }
  return true;
}

} // namespace balsampoint::edge

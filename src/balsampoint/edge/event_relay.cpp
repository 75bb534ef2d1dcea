#include "balsampoint/edge/event_relay.hpp"

#include "balsampoint/wire/embedded_head.hpp"
#include "balsampoint/wire/write.hpp"

namespace balsampoint::edge {

bool
EventRelay::Append(std::string_view aBytes, std::string& aOutput)
{
  mSplitter.Append(aBytes);
  while (true) {
    const auto event = mSplitter.Next();
    if (!event.has_value()) {
      return true;
    }
    if (!AppendEvent(event.value(), aOutput)) {
      return false;
    }
  }
}

bool
EventRelay::IsOwn(const wire::StreamEvent& aEvent)
{
  const auto inner = wire::FindEmbeddedHead(aEvent.bytes);
  if (!inner || !inner->head || inner->head->fields.All().empty()) {
    return true;
  }
  mHeadRead = true;
  return inner->begin == 0;
}

bool
EventRelay::AppendEvent(const wire::StreamEvent& aEvent, std::string& aOutput)
{
  if (!IsOwn(aEvent)) {
    return false;
  }
  if (aEvent.id && mLastId && *aEvent.id <= *mLastId) {
    return true;
  }
  // A copy of this answer only repeats events.
  if (mHeadRead) {
    return false;
  }
  if (aEvent.id) {
    if (mLastId && *aEvent.id != *mLastId + 1) {
      return false;
    }
    mLastId = aEvent.id;
  }
  ++mSentCount;
  if (mChunked) {
    wire::AppendChunk(aOutput, aEvent.bytes);
  } else {
    aOutput += aEvent.bytes;
  }
  return true;
}

} // namespace balsampoint::edge

#pragma once

#include "balsampoint/wire/event_splitter.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace balsampoint::edge {

/**
 * @brief Merges the parts of one event stream, which several servers may send
 * in turn, so that the caller receives each event once and in order.
 */
class EventRelay
{
public:
  /**
   * @brief Starts a stream to one caller.
   * @param aChunked Whether the response uses chunked transfer encoding.
   * @param aAfter Id of the last event that the caller received of an
   * interrupted stream; absent for a new one.
   */
  EventRelay(bool aChunked, std::optional<std::uint64_t> aAfter)
    : mChunked{ aChunked }
    , mLastId{ aAfter }
  {
  }

  /**
   * @brief Processes a part of a server's response body.
   * @param aBytes The part.
   * @param aOutput Receives the events to send, framed for the caller; events
   * that were sent before are skipped.
   * @return False if an event id is missing from the sequence, or if an event
   * may belong to another answer; events before it are still appended.
   */
  [[nodiscard]] bool Append(std::string_view aBytes, std::string& aOutput);

  /** @brief Whether an incomplete event is buffered. */
  [[nodiscard]] bool HasPartialEvent() const noexcept
  {
    return mSplitter.HasPartialEvent();
  }

  /** @brief Discards the rest of a part, before the next one begins. */
  void EndPart()
  {
    mSplitter.Clear();
    mHeadRead = false;
  }

  /** @brief Id of the last event sent to the caller; absent before the first.
   */
  [[nodiscard]] std::optional<std::uint64_t> LastId() const noexcept
  {
    return mLastId;
  }

  /** @brief Number of events sent to the caller by this host. */
  [[nodiscard]] std::uint32_t SentCount() const noexcept { return mSentCount; }

private:
  [[nodiscard]] bool AppendEvent(const wire::StreamEvent& aEvent,
                                 std::string& aOutput);
  /** Whether an event belongs to the answer, as far as its bytes tell. */
  [[nodiscard]] bool IsOwn(const wire::StreamEvent& aEvent);

  bool mChunked{};
  /** Whether the part holds the head of a copy of some answer. */
  bool mHeadRead{ false };
  std::optional<std::uint64_t> mLastId;
  wire::EventSplitter mSplitter;
  std::uint32_t mSentCount{};
};

} // namespace balsampoint::edge

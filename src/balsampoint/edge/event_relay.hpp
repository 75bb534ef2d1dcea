#pragma once

#include "balsampoint/wire/event_splitter.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace balsampoint::edge {

/**
 * @brief Joins the events of one stream, which several servers may send parts
 * of, so that each event goes to the caller once and in order.
 */
class EventRelay
{
public:
  /**
   * @brief Frames the events for one caller.
   * @param aChunks Whether the caller's answer is sent in chunks.
   * @param aAfter Last event that the caller has of an earlier answer.
   */
  EventRelay(bool aChunks, std::optional<std::uint64_t> aAfter)
    : mChunks{ aChunks }
    , mLast{ aAfter }
  {
  }

  /**
   * @brief Takes a piece of a server's answer.
   * @param aBytes The piece.
   * @param aInto Receives the framed bytes of events that are due.
   * @return False where an event is missing; what is due before it is passed on
   * all the same.
   */
  [[nodiscard]] bool Take(std::string_view aBytes, std::string& aInto);

  /** @brief Whether the server's answer has stopped within an event. */
  [[nodiscard]] bool HasPart() const noexcept { return mSplitter.HasPart(); }

  /** @brief Drops what a server has sent of an event that isn't whole. */
  void DropPart() { mSplitter.Clear(); }

  /** @brief Number of the last event passed on. */
  [[nodiscard]] std::optional<std::uint64_t> Last() const noexcept
  {
    return mLast;
  }

  /** @brief Events passed on by this host. */
  [[nodiscard]] std::uint32_t Count() const noexcept { return mCount; }

private:
  [[nodiscard]] bool TakeEvent(const wire::StreamEvent& aEvent,
                               std::string& aInto);

  bool mChunks{};
  std::optional<std::uint64_t> mLast;
  wire::EventSplitter mSplitter;
  std::uint32_t mCount{};
};

} // namespace balsampoint::edge

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace balsampoint::wire {

/** @brief One complete event of a server-sent event stream. */
struct StreamEvent
{
  /** Bytes of the event, including the empty line at its end. */
  std::string_view bytes;
  /** Number in its `id` field; absent if there is none. */
  std::optional<std::uint64_t> id;
};

/** @brief Splits the body of an event stream into complete events. */
class EventSplitter
{
public:
  /**
   * @brief Appends the next part of the body.
   * @param aBytes Bytes of any length, which may end inside an event.
   */
  void Append(std::string_view aBytes);

  /**
   * @brief Removes the next complete event.
   * @return The event, valid until the next `Append` or `Clear`; nothing if no
   * complete event is buffered.
   */
  [[nodiscard]] std::optional<StreamEvent> Next();

  /** @brief Whether bytes are buffered that `Next` has not returned. */
  [[nodiscard]] bool HasPartialEvent() const noexcept
  {
    return mAt < mBytes.size();
  }

  /** @brief Discards all buffered bytes. */
  void Clear();

private:
  std::string mBytes;
  std::size_t mAt{};
};

} // namespace balsampoint::wire

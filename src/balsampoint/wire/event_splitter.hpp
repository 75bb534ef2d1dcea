#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace balsampoint::wire {

/** @brief One whole event of a stream. */
struct StreamEvent
{
  /** Its bytes, with the empty line that ends it. */
  std::string_view bytes;
  /** Its number; absent if it has none. */
  std::optional<std::uint64_t> id;
};

/** @brief Cuts the body of an event stream into whole events. */
class EventSplitter
{
public:
  /**
   * @brief Adds a piece of the body.
   * @param aBytes The piece.
   */
  void Append(std::string_view aBytes);

  /**
   * @brief Takes the next whole event.
   * @return The event, valid until the next `Append`; nothing if there is no
   * whole one.
   */
  [[nodiscard]] std::optional<StreamEvent> Next();

  /** @brief Whether a part of an event is left. */
  [[nodiscard]] bool HasPart() const noexcept { return mAt < mBytes.size(); }

  /** @brief Drops everything. */
  void Clear();

private:
  std::string mBytes;
  std::size_t mAt{};
};

} // namespace balsampoint::wire

#pragma once

#include "balsampoint/wire/head.hpp"

#include <cstddef>
#include <optional>
#include <string_view>

namespace balsampoint::wire {

/** @brief Head of a response among other bytes. */
struct EmbeddedHead
{
  /** Offset of its first byte. */
  std::size_t begin{};
  /** Offset of the first byte behind it, its empty line included unless it
   * breaks off before. */
  std::size_t end{};
  /** Absent if the bytes end inside the head. */
  std::optional<ResponseHead> head;
};

/**
 * @brief Finds the first head of a response among other bytes. It may break
 * off after some of its fields. Interim responses right before a head belong to
 * it.
 * @param aBytes Bytes to search.
 * @return The head; nothing if there is none, or if the bytes end inside its
 * version or status.
 */
[[nodiscard]] std::optional<EmbeddedHead>
FindEmbeddedHead(std::string_view aBytes);

} // namespace balsampoint::wire

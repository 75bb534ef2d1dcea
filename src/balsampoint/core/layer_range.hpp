#pragma once

#include "balsampoint/core/error.hpp"

#include <compare>
#include <cstdint>
#include <tl/expected.hpp>

namespace balsampoint {

/** @brief A half-open range of a model's layers, [begin, end). */
struct LayerRange
{
  std::uint32_t begin{};
  std::uint32_t end{};

  /**
   * @brief Creates a range of at least one layer of a model.
   * @param aBegin First layer.
   * @param aEnd One past the last layer.
   * @param aLayers Number of layers of the model.
   * @return The range, or `ErrorKind::BadRequest` if it is empty or outside
   * the model.
   */
  [[nodiscard]] static tl::expected<LayerRange, Error>
  Make(std::uint32_t aBegin, std::uint32_t aEnd, std::uint32_t aLayers);

  /** @brief Number of layers. */
  [[nodiscard]] constexpr std::uint32_t Size() const noexcept
  {
    return end - begin;
  }

  /**
   * @brief Whether the range contains a layer.
   * @param aLayer The layer.
   */
  [[nodiscard]] constexpr bool Holds(std::uint32_t aLayer) const noexcept
  {
    return begin <= aLayer && aLayer < end;
  }

  auto operator<=>(const LayerRange&) const = default;
};

} // namespace balsampoint

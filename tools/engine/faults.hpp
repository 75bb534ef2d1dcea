#pragma once

#include "balsampoint/core/time.hpp"

#include <cstdint>
#include <string_view>
#include <tl/expected.hpp>

#include "balsampoint/core/error.hpp"

namespace balsampoint::engine {

/** @brief Faults of a stand-in; a count of zero means never. */
struct Faults
{
  /** The process ends at this call, before it is run. */
  std::uint64_t dieAt{};
  /** The process ends at this call, after it was run and before its answer. */
  std::uint64_t dieAfter{};
  /** From this call on nothing is answered. */
  std::uint64_t hangAt{};
  /** Every so many calls the connection is closed without an answer. */
  std::uint64_t dropEvery{};
  /** Every so many calls the answer of an earlier call is given instead. */
  std::uint64_t crossEvery{};
  /** Added to each call. */
  Duration slow{};
  bool ignoreCancel{ false };

  /**
   * @brief Reads faults from text such as `die_at=5,slow_ms=20`.
   * @param aText Names and values; empty for no faults.
   * @return The faults, or `BadRequest` naming the unknown word.
   */
  [[nodiscard]] static tl::expected<Faults, Error> Parse(
    std::string_view aText);
};

} // namespace balsampoint::engine

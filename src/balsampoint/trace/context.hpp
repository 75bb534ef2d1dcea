#pragma once

#include "balsampoint/core/concepts.hpp"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace balsampoint::trace {

/** @brief Which trace a request belongs to, as W3C `traceparent` carries it. */
struct Context
{
  std::uint64_t traceHigh{};
  std::uint64_t traceLow{};
  /** The caller's span; zero for the first of a trace. */
  std::uint64_t span{};
  bool sampled{ true };

  /**
   * @brief Reads a `traceparent` field.
   * @param aText The field.
   * @return The context, or nothing when the field is not valid.
   */
  [[nodiscard]] static std::optional<Context> Parse(std::string_view aText);

  /** @brief The `traceparent` field for a call made within this context. */
  [[nodiscard]] std::string Text() const;

  /** @brief The trace's id in 32 hexadecimal digits. */
  [[nodiscard]] std::string TraceId() const;

  auto operator<=>(const Context&) const = default;
};

/**
 * @brief Writes a number in 16 lower-case hexadecimal digits.
 * @param aValue The number.
 * @return The digits.
 */
[[nodiscard]] std::string
Hex(std::uint64_t aValue);

/**
 * @brief Continues the trace of a request or starts a new one.
 * @tparam Random Gives ids.
 * @param aTraceParent The field as received; empty or wrong starts a trace.
 * @param aRandom Source of ids.
 * @return The context of the caller.
 */
template<RandomSource Random>
[[nodiscard]] Context
Continue(std::string_view aTraceParent, Random& aRandom)
{
  if (const auto given = Context::Parse(aTraceParent)) {
    return *given;
  }
  return { .traceHigh = aRandom.Next(), .traceLow = aRandom.Next() | 1U };
}

} // namespace balsampoint::trace

#pragma once

#include "balsampoint/trace/context.hpp"

#include <chrono>
#include <string>
#include <vector>

namespace balsampoint::trace {

/** @brief A point in wall-clock time, as spans show it. */
using WallTime = std::chrono::sys_time<std::chrono::nanoseconds>;

/** @brief One fact about a span. */
struct Attribute
{
  std::string name;
  std::string value;
};

/** @brief The time one hop took, with the hop that caused it. */
struct Span
{
  /** The trace and this span's own id. */
  Context context;
  /** Span that caused this one; zero for none. */
  std::uint64_t parent{};
  std::string name;
  WallTime start;
  WallTime end;
  bool failed{ false };
  std::vector<Attribute> attributes;
};

} // namespace balsampoint::trace

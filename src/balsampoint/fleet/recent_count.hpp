#pragma once

#include "balsampoint/core/time.hpp"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>

namespace balsampoint::fleet {

/** @brief Number of events, or sum of amounts, within a sliding window of time.
 */
class RecentCount
{
public:
  /** @brief Longest window that can be asked for. */
  static constexpr Duration kLongest = std::chrono::seconds{ 4 };
  /** @brief Length of the parts of time in which events are counted. */
  static constexpr Duration kPart = std::chrono::milliseconds{ 250 };

  /**
   * @brief Counts an event.
   * @param aNow Current time.
   * @param aAmount Amount that the event adds.
   */
  void Add(Instant aNow, std::uint32_t aAmount = 1)
  {
    auto& part = mParts.at(Slot(NumberAt(aNow)));
    if (part.number != NumberAt(aNow)) {
      part = { .number = NumberAt(aNow) };
    }
    part.count += aAmount;
  }

  /**
   * @brief Number of events within the last time; up to `kPart` older ones are
   * included.
   * @param aWindow Length of the time, at most `kLongest`.
   * @param aNow Current time.
   */
  [[nodiscard]] std::uint32_t Within(Duration aWindow, Instant aNow) const
  {
    std::uint32_t sum = 0;
    for (const auto& part : mParts) {
      sum += part.number >= NumberAt(aNow - aWindow) ? part.count : 0;
    }
    return sum;
  }

private:
  /** One more than fit into the longest window, as it may begin inside one. */
  static constexpr std::size_t kParts = kLongest / kPart + 1;

  struct Part
  {
    std::int64_t number{ -1 };
    std::uint32_t count{};
  };

  static std::int64_t NumberAt(Instant aAt)
  {
    return aAt.time_since_epoch() / kPart;
  }
  static std::size_t Slot(std::int64_t aNumber)
  {
    return static_cast<std::size_t>(aNumber) % kParts;
  }

  std::array<Part, kParts> mParts{};
};

} // namespace balsampoint::fleet

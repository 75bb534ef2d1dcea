#pragma once

#include "balsampoint/core/time.hpp"

#include <algorithm>
#include <cstddef>
#include <vector>

namespace balsampoint::load {

/** @brief Times of one kind, kept whole so that quantiles are exact. */
class Histogram
{
public:
  /**
   * @brief Adds a time.
   * @param aTime The time.
   */
  void Add(Duration aTime) { mTimes.push_back(aTime); }

  /**
   * @brief Adds all times of another histogram.
   * @param aOther The other.
   */
  void Merge(const Histogram& aOther)
  {
    mTimes.insert(mTimes.end(), aOther.mTimes.begin(), aOther.mTimes.end());
  }

  /** @brief Number of times. */
  [[nodiscard]] std::size_t Count() const { return mTimes.size(); }

  /**
   * @brief A quantile.
   * @param aShare Share of the times that are not above it, from 0 to 1.
   * @return The time in milliseconds; zero without times.
   */
  [[nodiscard]] double Milliseconds(double aShare) const
  {
    if (mTimes.empty()) {
      return 0;
    }
    auto times = mTimes;
    const auto last = static_cast<double>(times.size() - 1);
    const auto at = static_cast<std::ptrdiff_t>(aShare * last);
    std::nth_element(times.begin(), times.begin() + at, times.end());
    return std::chrono::duration<double, std::milli>(
             times[static_cast<std::size_t>(at)])
      .count();
  }

private:
  std::vector<Duration> mTimes;
};

} // namespace balsampoint::load

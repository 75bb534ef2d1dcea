#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <vector>

namespace balsampoint::bench {

/**
 * @brief Runs a function several times and takes the median.
 * @tparam Function Callable without arguments.
 * @param aRuns Number of runs, over zero.
 * @param aFunction The function.
 * @return Median time of one run in seconds.
 */
template<typename Function>
double
MedianSeconds(std::size_t aRuns, Function aFunction)
{
  std::vector<double> times;
  for (std::size_t run = 0; run < aRuns; ++run) {
    const auto start = std::chrono::steady_clock::now();
    aFunction();
    const std::chrono::duration<double> took =
      std::chrono::steady_clock::now() - start;
    times.push_back(took.count());
  }
  std::ranges::sort(times);
  return times[times.size() / 2];
}

} // namespace balsampoint::bench

#pragma once

#include "balsampoint/core/time.hpp"

#include <algorithm>
#include <cstdint>

namespace balsampoint::stream {

/**
 * @brief Smoothed mean, mean deviation and decaying peak of the step times of
 * one stage.
 *
 * Mean and deviation follow TCP's retransmission timer (RFC 6298). A bound of
 * these alone is exceeded by rare long steps, so a slowly decaying peak is kept
 * as well.
 */
class StepTimes
{
public:
  /**
   * @brief Adds an observed step.
   * @param aTime Time from the call to its reply.
   */
  constexpr void Observe(Duration aTime)
  {
    mPeak -= mPeak / kPeakDivisor;
    mPeak = aTime > mPeak ? aTime : mPeak;
    ++mObserved;
    if (mObserved == 1) {
      mMean = aTime;
      mDeviation = aTime / 2;
      return;
    }
    const auto error = aTime - mMean;
    const auto distance = error < Duration::zero() ? -error : error;
    mDeviation += (distance - mDeviation) / kDeviationDivisor;
    mMean += error / kMeanDivisor;
  }

  /** @brief Whether any step was observed. */
  [[nodiscard]] constexpr bool Observed() const { return mObserved > 0; }

  /** @brief The smoothed time of a step; zero before the first. */
  [[nodiscard]] constexpr Duration Mean() const { return mMean; }

  /** @brief A time that few regular steps exceed; zero before the first. */
  [[nodiscard]] constexpr Duration Bound() const
  {
    const auto spread = mMean + kDeviationFactor * mDeviation;
    const auto peak = mPeak + mPeak / kPeakMargin;
    const auto early =
      mObserved < kEarlySteps ? kEarlyMeanFactor * mMean : Duration::zero();
    return std::max({ spread, peak, early });
  }

private:
  static constexpr int kMeanDivisor = 8;
  static constexpr int kDeviationDivisor = 4;
  static constexpr int kDeviationFactor = 4;
  static constexpr int kEarlyMeanFactor = 3;

  /** The peak decays by one part in this many with each step. */
  static constexpr int kPeakDivisor = 512;
  /** The bound exceeds the peak by one part in this many. */
  static constexpr int kPeakMargin = 8;
  /** Steps needed before the bound relies on deviation and peak alone. */
  static constexpr std::uint64_t kEarlySteps = 32;

  std::uint64_t mObserved{};
  Duration mPeak{};
  Duration mMean{};
  Duration mDeviation{};
};

} // namespace balsampoint::stream

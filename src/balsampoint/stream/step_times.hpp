#pragma once

#include "balsampoint/core/time.hpp"

namespace balsampoint::stream {

/**
 * @brief Smoothed time of one stage's steps and how far they deviate.
 *
 * The estimator of TCP's retransmission timer (RFC 6298).
 */
class StepTimes
{
public:
  /**
   * @brief Adds an observed step.
   * @param aTime From the call to its reply.
   */
  constexpr void Observe(Duration aTime)
  {
    if (!mObserved) {
      mObserved = true;
      mMean = aTime;
      mDeviation = aTime / 2;
      return;
    }
    const auto error = aTime - mMean;
    const auto distance = error < Duration::zero() ? -error : error;
    mDeviation += (distance - mDeviation) / kDeviationDivisor;
    mMean += error / kMeanDivisor;
  }

  /** @brief Whether a step was observed. */
  [[nodiscard]] constexpr bool Observed() const { return mObserved; }

  /** @brief The smoothed time of a step; zero before the first. */
  [[nodiscard]] constexpr Duration Mean() const { return mMean; }

  /** @brief A time that few regular steps exceed; zero before the first. */
  [[nodiscard]] constexpr Duration Bound() const
  {
    const auto spread = mMean + kDeviations * mDeviation;
    const auto multiple = kMeans * mMean;
    return spread > multiple ? spread : multiple;
  }

private:
  static constexpr int kMeanDivisor = 8;
  static constexpr int kDeviationDivisor = 4;
  static constexpr int kDeviations = 4;
  static constexpr int kMeans = 3;

  bool mObserved{ false };
  Duration mMean{};
  Duration mDeviation{};
};

} // namespace balsampoint::stream

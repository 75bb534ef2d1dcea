#pragma once

#include <cstdint>

namespace balsampoint {

/** @brief A deterministic pseudorandom number generator (SplitMix64). */
class SplitMix64
{
public:
  SplitMix64() = default;

  /**
   * @brief Creates a generator.
   * @param aSeed Seed of the sequence.
   */
  explicit SplitMix64(std::uint64_t aSeed)
    : mState{ aSeed }
  {
  }

  /** @brief Returns the next number. */
  std::uint64_t Next()
  {
    mState += 0x9E3779B97F4A7C15ULL;
    auto value = mState;
    value = (value ^ (value >> 30U)) * 0xBF58476D1CE4E5B9ULL;
    value = (value ^ (value >> 27U)) * 0x94D049BB133111EBULL;
    return value ^ (value >> 31U);
  }

  /** @brief Returns the next number, scaled to the half-open range [0, 1). */
  double NextUnit()
  {
    constexpr unsigned kFractionBits = 53;
    constexpr double kScale = 1.0 / static_cast<double>(1ULL << kFractionBits);
    return static_cast<double>(Next() >> (64U - kFractionBits)) * kScale;
  }

private:
  std::uint64_t mState{};
};

} // namespace balsampoint

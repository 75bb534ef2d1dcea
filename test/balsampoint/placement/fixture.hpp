#pragma once

#include "balsampoint/placement/engine.hpp"

#include <string>
#include <vector>

namespace balsampoint::test {

/** @brief Reference model: 80 layers of 1,750 MB. */
inline constexpr placement::ModelSize kReferenceModel{ .layers = 80,
                                                       .layerMb = 1750.0,
                                                       .requestMb = 7.3 };

/**
 * @brief Adds engines of one kind to a zone.
 * @param aOut Engines are appended to it.
 * @param aZone Availability zone of the engines.
 * @param aCount Number of engines.
 * @param aMemoryMb Memory of each engine, in megabytes.
 * @param aStepFactor Slowdown of each engine.
 */
inline void
AddEngines(std::vector<placement::Engine>& aOut,
           const std::string& aZone,
           int aCount,
           double aMemoryMb,
           double aStepFactor)
{
  for (int at = 0; at < aCount; ++at) {
    aOut.push_back(
      { .server =
          ServerId{ aZone + "-" + std::to_string(static_cast<int>(aMemoryMb)) +
                    "-" + std::to_string(at) },
        .zone = ZoneId{ aZone },
        .memoryMb = aMemoryMb,
        .stepFactor = aStepFactor });
  }
}

/**
 * @brief Adds engines of the three reference types to a zone.
 * @param aOut Engines are appended to it.
 * @param aZone Availability zone of the engines.
 * @param aLarge Number of engines with the most memory.
 * @param aSmall Number of engines with the least memory.
 * @param aSlow Number of the slowest engines.
 */
inline void
AddZone(std::vector<placement::Engine>& aOut,
        const std::string& aZone,
        int aLarge,
        int aSmall,
        int aSlow)
{
  AddEngines(aOut, aZone, aLarge, 72000.0, 2.4);
  AddEngines(aOut, aZone, aSmall, 14400.0, 5.3);
  AddEngines(aOut, aZone, aSlow, 21600.0, 16.0);
}

/** @brief Reference fleet of 38 engines in three zones. */
[[nodiscard]] inline std::vector<placement::Engine>
ReferenceFleet()
{
  std::vector<placement::Engine> engines;
  AddZone(engines, "a", 2, 4, 4);
  AddZone(engines, "b", 1, 6, 6);
  AddZone(engines, "c", 1, 10, 4);
  return engines;
}

/** @brief Larger fleet of 93 engines of the same types in three zones. */
[[nodiscard]] inline std::vector<placement::Engine>
LargeFleet()
{
  std::vector<placement::Engine> engines;
  AddZone(engines, "a", 4, 10, 11);
  AddZone(engines, "b", 3, 14, 16);
  AddZone(engines, "c", 2, 24, 9);
  return engines;
}

} // namespace balsampoint::test

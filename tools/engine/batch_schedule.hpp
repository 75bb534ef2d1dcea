#pragma once

#include "balsampoint/core/time.hpp"

#include <cstdint>

namespace balsampoint::engine {

/** @brief How long one iteration of an accelerator takes. */
struct TimeModel
{
  /** Cost of an iteration whatever it holds. */
  Duration overhead{};
  /** Cost of one layer for the whole batch. */
  Duration perLayer{};
  /** Cost of one layer for each position when a KV is built anew. */
  Duration perReplayedLayer{};
  /** Calls that share an iteration at most. */
  std::uint32_t maxBatch{ 32 };
};

/**
 * @brief Continuous batching on a virtual time line.
 *
 * Calls that arrive while an iteration runs share the next one, up to the
 * batch limit.
 */
class BatchSchedule
{
public:
  /**
   * @brief Starts idle.
   * @param aModel Times of the accelerator.
   */
  explicit BatchSchedule(TimeModel aModel)
    : mModel{ aModel }
  {
  }

  /**
   * @brief Places one step.
   * @param aNow Time of arrival.
   * @param aLayers Layers that the step runs.
   * @return When the step is done.
   */
  [[nodiscard]] Instant Place(Instant aNow, std::uint32_t aLayers);

  /**
   * @brief Places the rebuilding of a KV, which nothing else shares.
   * @param aNow Time of arrival.
   * @param aLayers Layers to rebuild.
   * @param aPositions Positions to rebuild.
   * @return When it is done.
   */
  [[nodiscard]] Instant PlaceReplay(Instant aNow,
                                    std::uint32_t aLayers,
                                    std::uint64_t aPositions);

private:
  TimeModel mModel;
  Instant mStart{};
  Instant mEnd{};
  std::uint32_t mCalls{};
};

} // namespace balsampoint::engine

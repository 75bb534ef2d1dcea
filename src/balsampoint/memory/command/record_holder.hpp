#pragma once

#include "balsampoint/memory/state.hpp"

namespace balsampoint::memory {

/** @brief What a connection holds now. */
struct Report
{
  Work work{ Work::Receiving };
  /** Allocated bytes and those that the kernel may hold unread. */
  std::uint64_t bytes{};
  /** Bytes received or sent since the last report. */
  std::uint64_t moved{};
};

/**
 * @brief Adds a connection that holds nothing.
 * @param aState State to change.
 * @param aNow Current time.
 * @return Its id.
 */
[[nodiscard]] HolderId
AddHolder(State& aState, Instant aNow);

/**
 * @brief Records what a connection holds now.
 * @param aState State to change.
 * @param aId Id of the holder; ignored if it is unknown.
 * @param aReport What it holds.
 * @param aNow Current time.
 */
void
RecordHolder(State& aState, HolderId aId, const Report& aReport, Instant aNow);

/**
 * @brief Records whether a connection is no longer read because it may not
 * grow.
 * @param aState State to change.
 * @param aId Id of the holder; ignored if it is unknown.
 * @param aPaused Whether it is paused.
 * @param aNow Current time.
 */
void
SetPaused(State& aState, HolderId aId, bool aPaused, Instant aNow);

/**
 * @brief Removes a connection that has ended.
 * @param aState State to change.
 * @param aId Id of the holder; ignored if it is unknown.
 */
void
RemoveHolder(State& aState, HolderId aId);

} // namespace balsampoint::memory

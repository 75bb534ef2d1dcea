#pragma once

#include "balsampoint/core/concepts.hpp"
#include "balsampoint/placement/state.hpp"

namespace balsampoint::placement {

/** @brief Control module of placement. */
struct Module
{
  using State = placement::State;
  using Event = placement::Event;
  using Action = placement::Action;

  /**
   * @brief Applies one event to the state.
   * @param aState State to change.
   * @param aEvent Event to apply.
   * @param aNow Current time.
   * @param aActions Actions for the daemon are appended to it.
   */
  static void Handle(State& aState,
                     const Event& aEvent,
                     Instant aNow,
                     Actions& aActions);

  /**
   * @brief Runs timers that have expired.
   * @param aState State to change.
   * @param aNow Current time.
   * @param aActions Actions for the daemon are appended to it.
   */
  static void Tick(State& aState, Instant aNow, Actions& aActions);

  /**
   * @brief Returns when `Tick` must run next.
   * @param aState State to read.
   * @return Time of the next call, or `kNever` if none is scheduled.
   */
  [[nodiscard]] static Instant NextDeadline(const State& aState);
};

static_assert(ControlModule<Module>);

} // namespace balsampoint::placement

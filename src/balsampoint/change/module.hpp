#pragma once

#include "balsampoint/change/state.hpp"

namespace balsampoint::change {

/** @brief Interface of the module to the control thread. */
struct Module
{
  using State = change::State;
  using Event = change::Event;
  using Action = change::Action;

  /**
   * @brief Handles one event.
   * @param aState State to change.
   * @param aEvent The event.
   * @param aNow Current time.
   * @param aActions Receives the resulting actions.
   */
  static void Handle(State& aState,
                     const Event& aEvent,
                     Instant aNow,
                     Actions& aActions);

  /**
   * @brief Runs the timers that have expired.
   * @param aState State to change.
   * @param aNow Current time.
   * @param aActions Receives the resulting actions.
   */
  static void Tick(State& aState, Instant aNow, Actions& aActions);

  /**
   * @brief Time of the earliest pending timer.
   * @param aState State to read.
   * @return When to call `Tick` next; `kNever` if no timer is pending.
   */
  [[nodiscard]] static Instant NextDeadline(const State& aState);
};

} // namespace balsampoint::change

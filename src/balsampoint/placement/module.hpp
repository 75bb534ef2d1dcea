#pragma once

#include "balsampoint/core/concepts.hpp"
#include "balsampoint/placement/state.hpp"

namespace balsampoint::placement {

/** @brief Placement as the control thread runs it. */
struct Module
{
  using State = placement::State;
  using Event = placement::Event;
  using Action = placement::Action;

  /**
   * @brief Reacts to one event.
   * @param aState State to change.
   * @param aEvent The event.
   * @param aNow The time.
   * @param aActions Receives the actions.
   */
  static void Handle(State& aState,
                     const Event& aEvent,
                     Instant aNow,
                     Actions& aActions);

  /**
   * @brief Does what has become due.
   * @param aState State to change.
   * @param aNow The time.
   * @param aActions Receives the actions.
   */
  static void Tick(State& aState, Instant aNow, Actions& aActions);

  /**
   * @brief Tells when `Tick` is due.
   * @param aState State to read.
   * @return The time, or `kNever`.
   */
  [[nodiscard]] static Instant NextDeadline(const State& aState);
};

static_assert(ControlModule<Module>);

} // namespace balsampoint::placement

#pragma once

#include "balsampoint/change/state.hpp"

namespace balsampoint::change {

/** @brief The module as the control thread runs it. */
struct Module
{
  using State = change::State;
  using Event = change::Event;
  using Action = change::Action;

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
   * @return The time; `kNever` for none.
   */
  [[nodiscard]] static Instant NextDeadline(const State& aState);
};

} // namespace balsampoint::change

#pragma once

#include "balsampoint/core/concepts.hpp"
#include "balsampoint/usage/state.hpp"

namespace balsampoint::usage {

/** @brief The exchange of work in progress as the control thread runs it. */
struct Module
{
  using State = usage::State;
  using Event = usage::Event;
  using Action = usage::Action;

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
   * @brief Tells every entry host that reports here what the others have.
   * @param aState State to change.
   * @param aNow The time.
   * @param aActions Receives the messages.
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

} // namespace balsampoint::usage

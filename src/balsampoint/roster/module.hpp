#pragma once

#include "balsampoint/core/concepts.hpp"
#include "balsampoint/roster/state.hpp"

namespace balsampoint::roster {

/** @brief The roster as the control thread runs it. */
struct Module
{
  using State = roster::State;
  using Event = roster::Event;
  using Action = roster::Action;

  /**
   * @brief Starts with the seeds only.
   * @param aSettings Fixed values of the host.
   * @param aNow The time.
   * @return The state.
   */
  [[nodiscard]] static State Start(Settings aSettings, Instant aNow);

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
   * @return The time.
   */
  [[nodiscard]] static Instant NextDeadline(const State& aState);
};

static_assert(ControlModule<Module>);

} // namespace balsampoint::roster

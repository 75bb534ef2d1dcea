#pragma once

#include "balsampoint/fanout/state.hpp"

namespace balsampoint::fanout {

/** @brief The module as the control thread runs it. */
struct Module
{
  using State = fanout::State;
  using Event = fanout::Event;
  using Action = fanout::Action;

  /**
   * @brief Starts a host; it joins at its first tick.
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
   * @return The time; `kNever` for none.
   */
  [[nodiscard]] static Instant NextDeadline(const State& aState);
};

} // namespace balsampoint::fanout

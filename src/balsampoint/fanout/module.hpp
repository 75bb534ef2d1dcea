#pragma once

#include "balsampoint/fanout/state.hpp"

namespace balsampoint::fanout {

/** @brief The module that the control thread runs. */
struct Module
{
  using State = fanout::State;
  using Event = fanout::Event;
  using Action = fanout::Action;

  /**
   * @brief Creates the state of a host, which joins the tree at its first tick.
   * @param aSettings Fixed values of the host.
   * @param aNow The current time.
   * @return The state.
   */
  [[nodiscard]] static State Start(Settings aSettings, Instant aNow);

  /**
   * @brief Handles one event.
   * @param aState State to change.
   * @param aEvent The event.
   * @param aNow The current time.
   * @param aActions Actions are appended here.
   */
  static void Handle(State& aState,
                     const Event& aEvent,
                     Instant aNow,
                     Actions& aActions);

  /**
   * @brief Runs the timers that are due: joins, fetches, sends heartbeats and
   * reports.
   * @param aState State to change.
   * @param aNow The current time.
   * @param aActions Actions are appended here.
   */
  static void Tick(State& aState, Instant aNow, Actions& aActions);

  /**
   * @brief Returns when `Tick` must be called next.
   * @param aState State to read.
   * @return The time, or `kNever` if nothing is scheduled.
   */
  [[nodiscard]] static Instant NextDeadline(const State& aState);
};

} // namespace balsampoint::fanout

#pragma once

#include "balsampoint/core/concepts.hpp"
#include "balsampoint/roster/state.hpp"

namespace balsampoint::roster {

/** @brief Control module of the roster. */
struct Module
{
  using State = roster::State;
  using Event = roster::Event;
  using Action = roster::Action;

  /**
   * @brief Creates a state that knows no servers and only the seed control
   * hosts.
   * @param aSettings Settings of the host.
   * @param aNow Current time.
   * @return Initial state.
   */
  [[nodiscard]] static State Start(Settings aSettings, Instant aNow);

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
   * @return Time of the next call, or `kNever` on a host with neither
   * servers nor control hosts to watch.
   */
  [[nodiscard]] static Instant NextDeadline(const State& aState);
};

static_assert(ControlModule<Module>);

} // namespace balsampoint::roster

#pragma once

#include "balsampoint/core/concepts.hpp"
#include "balsampoint/usage/state.hpp"

namespace balsampoint::usage {

/** @brief Control module of the exchange of work in progress. */
struct Module
{
  using State = usage::State;
  using Event = usage::Event;
  using Action = usage::Action;

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
   * @brief Sends every entry host that reports here the work of the others.
   * @param aState State to change.
   * @param aNow Current time.
   * @param aActions Messages to send are appended to it.
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

} // namespace balsampoint::usage
